/** Stand-ins (test doubles) for model engines and plain services. */
export * as engineModel from './engine/engineModel';
export * as engineServer from './engine/engineServer';
export * as faults from './faults';
export * as parameters from './engine/parameters';
export * as plainService from './service/plainService';
export * as main from './main';
