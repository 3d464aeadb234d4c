export * as circuit from './circuit';
export * as eventSplitter from './eventSplitter';
export * as limit from './limit';
export * as outcome from './outcome';
export * as repeatBudget from './repeatBudget';
export * as retry from './retry';
export * as stream from './stream';
export * as tokens from './tokens';
