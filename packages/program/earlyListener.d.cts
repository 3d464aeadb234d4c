/** Under this key the program finds the listener that was begun. */
export const KEY: symbol;

/** Begins to listen where the settings file names callers; calls `done` as soon as that is done, or not possible. */
export function listenEarly(file: string | undefined, done: () => void): void;
