export * as quarantineModel from './quarantineModel';
