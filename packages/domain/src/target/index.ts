export * as keeper from './keeper';
export * as target from './target';
