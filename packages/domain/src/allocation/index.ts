export * as allocator from './allocator';
export * as cost from './cost';
export * as load from './load';
export * as planner from './planner';
export * as soundness from './soundness';
