export * as gathering from './gathering';
export * as holding from './holding';
