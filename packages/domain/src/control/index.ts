export * as state from './state';
export * as view from './view';
