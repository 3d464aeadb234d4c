export * as order from './order';
