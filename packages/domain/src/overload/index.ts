export * as concurrencyLimit from './concurrencyLimit';
