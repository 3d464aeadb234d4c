export * as coldTargets from './coldTargets';
export * as coldShares from './coldShares';
