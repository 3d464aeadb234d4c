/**
 * Separates suspect requests, those that ran on a target when it crashed, from each other. A crash
 * leaves about ten suspects; if they were placed together again, the next crash would count against
 * all of them, and the innocent ones would be refused with the one that causes the crashes. Kept
 * apart, only that one counts two crashes. A suspect with two crashes runs on a nearly empty
 * engine, and nothing is added there while it runs.
 */
import * as crashedLifetimes from '../quarantine/crashedLifetimes';
import type * as load from './load';

const { lifetimeKey } = crashedLifetimes;

/** Crashes from which on a suspect runs alone. */
const MIN_CRASHES_TO_RUN_ALONE = 2;

/**
 * Fraction of the engines, the least loaded, among which such a suspect is placed; enough for a
 * long prompt to find helpers.
 */
const LEAST_LOADED_FRACTION = 1 / 3;

/**
 * Largest fraction of the engines reserved for such suspects. When many engines crash at once,
 * twice in a row, dozens of innocent requests count two crashes, and their engines would be
 * unavailable until they finish.
 */
const MAX_RESERVED_FRACTION = 0.1;

interface Suspect {
  id: string;
  /** Number of targets that crashed while running it; undefined if none did. */
  endings?: number;
}

export class SuspectIsolation {
  /** Running suspects by request id. */
  private readonly running = new Map<string, { endings: number; lifetime: string }>();

  begin({ id, endings = 0 }: Suspect, { record }: load.Load): void {
    if (endings > 0) this.running.set(id, { endings, lifetime: lifetimeKey(record) });
  }

  end(id: string): void {
    this.running.delete(id);
  }

  /**
   * Engines allowed for a request with this number of crashes; all if none is left, as a suspicion
   * may be wrong and must not cause a refusal.
   */
  eligibleEngines(loads: load.Load[], endings = 0): load.Load[] {
    if (this.running.size === 0 && endings < MIN_CRASHES_TO_RUN_ALONE) return loads;
    const running = [...this.running.values()];
    const alone = running.filter((suspect) => suspect.endings >= MIN_CRASHES_TO_RUN_ALONE);
    const maxReserved = Math.ceil(MAX_RESERVED_FRACTION * loads.length);
    const avoidedSuspects = endings > 0 ? running : alone.slice(0, maxReserved);
    const avoided = new Set(avoidedSuspects.map(({ lifetime }) => lifetime));
    const apart = loads.filter(({ record }) => !avoided.has(lifetimeKey(record)));
    if (apart.length === 0) return loads;
    return endings < MIN_CRASHES_TO_RUN_ALONE ? apart : leastLoaded(apart);
  }
}

function leastLoaded(loads: readonly load.Load[]): load.Load[] {
  const byDecodingCount = [...loads].sort((a, b) => a.decodingCount - b.decodingCount);
  return byDecodingCount.slice(0, Math.ceil(LEAST_LOADED_FRACTION * loads.length));
}
