/** Unsafe calls in waves: many at once at each of a few entries, which keep many connections to the plain targets in use. */
import type * as callers from './callers';
import type * as fleet from './fleet';
import * as operator from './operator';

const INTERVAL_MS = 100;
const ENTRIES = 3;
const CALLS_PER_ENTRY = 8;

export interface Dependencies {
  entries: readonly fleet.Vm[];
  key: () => string;
  send: (request: callers.CallerRequest) => void;
  /** Whether the next wave is left out. */
  isPaused: () => boolean;
}

/** Sends waves for a while. Each wave has a body of its own, so that the quarantine of one doesn't stop the next. */
export async function sendFor(
  forSeconds: number,
  { entries, key, send, isPaused }: Dependencies,
): Promise<void> {
  const path = operator.basePath('unsafe');
  const until = Date.now() + forSeconds * 1_000;
  for (let wave = 1; Date.now() < until; wave++) {
    const calls = isPaused() ? 0 : ENTRIES * CALLS_PER_ENTRY;
    for (let i = 0; i < calls; i++) {
      const entry = entries[(wave + (i % ENTRIES)) % entries.length];
      send({ entry, kind: 'unsafe', path, key: key(), body: `wave ${wave}` });
    }
    await operator.sleep(INTERVAL_MS);
  }
}
