export * as pressure from './pressure';
