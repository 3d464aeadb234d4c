/** The daemon as a library: for measurements, tests, and programs that supply a platform adapter. */
export * as configuration from './configuration/configuration';
export * as daemon from './daemon';
export * as fingerprint from './entry/fingerprint';
export * as hopByHop from './edges/hopByHop';
export * as listening from './http/listening';
export * as main from './main';
export * as contentionPolicy from './keeper/contentionPolicy';
export * as placer from './keeper/placer';
export * as protocols from './edges/protocols';
export * as registrySnapshots from './fleet/registrySnapshots';
export * as roleMain from './roleMain';
export * as responseTimeout from './entry/responseTimeout';
