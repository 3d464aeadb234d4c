export * as registry from './registry';
