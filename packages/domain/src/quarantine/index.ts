export * as endedLifetimes from './endedLifetimes';
export * as quarantine from './quarantine';
export * as suspect from './suspect';
export * as trials from './trials';
