/** Model checking as a library, for its tests. */
export * as explorer from './explorer';
export * as models from './models';
