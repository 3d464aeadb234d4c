export * as quarantine from './quarantine';
export * as trials from './trials';
