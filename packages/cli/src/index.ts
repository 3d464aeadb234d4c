/** The command-line tool and its line diff, for use as a library. */
export * as main from './main';
export * as textDiff from './textDiff';
