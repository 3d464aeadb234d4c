/** The aggregates of celerydrift: state and rules, without input, output, clock or chance. */
export * as allocation from './allocation';
export * as catalogue from './catalogue';
export * as control from './control';
export * as ledger from './ledger';
export * as membership from './membership';
export * as memory from './memory';
export * as placement from './placement';
export * as quarantine from './quarantine';
export * as rateLimits from './rateLimits';
export * as registry from './registry';
export * as replication from './replication';
export * as request from './request';
export * as routing from './routing';
export * as settings from './settings';
export * as shared from './shared';
export * as stop from './stop';
export * as target from './target';
