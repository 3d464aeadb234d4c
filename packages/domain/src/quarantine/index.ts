export * as crashedLifetimes from './endedLifetimes';
export * as quarantine from './quarantine';
export * as suspect from './suspect';
export * as canaryRuns from './trials';
