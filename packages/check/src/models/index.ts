export * as partModel from './partModel';
export * as quarantineModel from './quarantineModel';
export * as registryModel from './registryModel';
export * as replicationModel from './replicationModel';
