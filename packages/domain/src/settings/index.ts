export * as directory from './directory';
export * as document from './document';
export * as schema from './schema';
export * as tree from './tree';
