/** The fault soak as a library, for its tests. */
export * as checks from './checks';
export * as run from './run';
export * as schedule from './schedule';
