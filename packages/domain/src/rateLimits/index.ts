export * as rateLimits from './rateLimits';
export * as tokenBucket from './tokenBucket';
