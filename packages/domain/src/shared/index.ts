export * as hashing from './hashing';
export * as random from './random';
