/** Public modules of the soak test, exported for its tests. */
export * as checks from './checks';
export * as run from './run';
export * as schedule from './schedule';
