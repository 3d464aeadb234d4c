export * as ledger from './ledger';
