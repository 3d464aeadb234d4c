export * as incompleteBodies from './incompleteBodies';
export * as pressure from './pressure';
