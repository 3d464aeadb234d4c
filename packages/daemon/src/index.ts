/** The daemon as a library, for measurements and tests. */
export * as configuration from './configuration/configuration';
export * as daemon from './daemon';
export * as main from './main';
