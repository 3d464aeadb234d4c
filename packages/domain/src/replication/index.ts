export * as log from './log';
export * as messages from './messages';
export * as repair from './repair';
export * as replica from './replica';
