export * as daemon from './daemon';
export * as detector from './detector';
export * as freshness from './freshness';
export * as gossip from './gossip';
export * as relay from './relay';
