/** Public modules of the model checker, exported for its tests. */
export * as explorer from './explorer';
export * as models from './models';
