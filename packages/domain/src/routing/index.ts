export * as band from './band';
export * as cost from './cost';
export * as dispatcher from './dispatcher';
export * as estimate from './estimate';
export * as fairQueue from './fairQueue';
export * as policy from './policy';
export * as prefixIndex from './prefixIndex';
export * as subset from './subset';
