export * as registry from './registry';
export * as validity from './validity';
