export * as quarantineModel from './quarantineModel';
export * as registryModel from './registryModel';
