export * as gathering from './gathering';
export * as leasedResources from './leasedResources';
