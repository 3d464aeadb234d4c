/**
 * Which engines a request may use beside requests that may end theirs. A crash leaves a suspect for each request that the engine
 * had, ten or so; placed together again, they would be blamed for the next end together too, and the innocent among them
 * refused with the culprit. Apart, only the culprit is blamed twice. A suspect that was blamed twice runs where the fewest
 * others do, and nothing is added there while it runs.
 */
import type * as load from './load';

/** Ends from which on nothing is placed beside a suspect. */
const MIN_CRASHES_TO_RUN_ALONE = 2;

/** Part of the engines, the emptiest, among which such a suspect is placed; enough that a long prompt finds helpers. */
const LEAST_LOADED_FRACTION = 1 / 3;

/**
 * Part of the engines that may be kept for such suspects alone. When many engines crash at once, twice in a row, dozens of
 * innocent requests are blamed twice, and their engines would be missing for as long as they write.
 */
const MAX_RESERVED_FRACTION = 0.1;

interface Suspect {
  id: string;
  endings?: number;
}

export class SuspectIsolation {
  /** Suspects that run, by request. */
  private readonly running = new Map<string, { endings: number; target: string }>();

  begin({ id, endings = 0 }: Suspect, { record }: load.Load): void {
    if (endings > 0) this.running.set(id, { endings, target: record.id });
  }

  end(id: string): void {
    this.running.delete(id);
  }

  /** Engines that suit a request of which so many ended; all where none do, as a suspicion may be wrong and must not refuse. */
  eligibleEngines(loads: load.Load[], endings = 0): load.Load[] {
    if (this.running.size === 0 && endings < MIN_CRASHES_TO_RUN_ALONE) return loads;
    const running = [...this.running.values()];
    const alone = running.filter((suspect) => suspect.endings >= MIN_CRASHES_TO_RUN_ALONE);
    const maxReserved = Math.ceil(MAX_RESERVED_FRACTION * loads.length);
    const avoidedSuspects = endings > 0 ? running : alone.slice(0, maxReserved);
    const avoided = new Set(avoidedSuspects.map(({ target }) => target));
    const apart = loads.filter(({ record }) => !avoided.has(record.id));
    if (apart.length === 0) return loads;
    return endings < MIN_CRASHES_TO_RUN_ALONE ? apart : leastLoaded(apart);
  }
}

function leastLoaded(loads: readonly load.Load[]): load.Load[] {
  const byWriters = [...loads].sort((a, b) => a.decodingCount - b.decodingCount);
  return byWriters.slice(0, Math.ceil(LEAST_LOADED_FRACTION * loads.length));
}
