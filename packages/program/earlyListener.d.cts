/** Key on `globalThis` under which the program finds the early listener. */
export const KEY: symbol;

/** Listens at the callers' address of the settings file; calls `done` once it listens or if it cannot. */
export function listenEarly(file: string | undefined, done: () => void): void;

/** Most connections that wait for the program. */
export function readHeldLimit(): number;
