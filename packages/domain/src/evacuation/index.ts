export * as evacuations from './evacuations';
