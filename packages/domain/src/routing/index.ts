export * as band from './band';
export * as cell from './cell';
export * as cost from './cost';
export * as dispatcher from './dispatcher';
export * as estimate from './estimate';
export * as fairQueue from './fairQueue';
export * as policy from './policy';
export * as prefixIndex from './prefixIndex';
