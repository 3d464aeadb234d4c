export * as targetPaths from './targetPaths';
