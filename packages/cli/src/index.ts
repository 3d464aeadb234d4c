/** The command-line tool as a library. */
export * as main from './main';
export * as textDiff from './textDiff';
