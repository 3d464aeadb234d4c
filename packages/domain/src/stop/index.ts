export * as stop from './stop';
