export * as catalogue from './catalogue';
export * as directory from './directory';
export * as newestCatalogue from './newestCatalogue';
