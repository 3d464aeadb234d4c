export * as crashedLifetimes from './crashedLifetimes';
export * as quarantine from './quarantine';
export * as suspect from './suspect';
export * as canaryRuns from './canaryRuns';
export * as partFingerprint from './partFingerprint';
