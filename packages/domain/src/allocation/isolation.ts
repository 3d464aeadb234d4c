/**
 * Which engines a request may use beside requests that may end theirs. A crash leaves a suspect for each request that the engine
 * had, ten or so; placed together again, they would be blamed for the next end together too, and the innocent among them
 * refused with the culprit. Apart, only the culprit is blamed twice. A suspect that was blamed twice runs where the fewest
 * others do, and nothing is added there while it runs.
 */
import type * as load from './load';

/** Ends from which on nothing is placed beside a suspect. */
const ALONE_FROM = 2;

/** Part of the engines, the emptiest, among which such a suspect is placed; enough that a long prompt finds helpers. */
const EMPTIEST_SHARE = 1 / 3;

/**
 * Part of the engines that may be kept for such suspects alone. When many engines crash at once, twice in a row, dozens of
 * innocent requests are blamed twice, and their engines would be missing for as long as they write.
 */
const MOST_ALONE_SHARE = 0.1;

interface Suspect {
  id: string;
  endings?: number;
}

export class Isolation {
  /** Suspects that run, by request. */
  private readonly running = new Map<string, { endings: number; target: string }>();

  begin({ id, endings = 0 }: Suspect, { record }: load.Load): void {
    if (endings > 0) this.running.set(id, { endings, target: record.id });
  }

  end(id: string): void {
    this.running.delete(id);
  }

  /** Engines that suit a request of which so many ended; all where none do, as a suspicion may be wrong and must not refuse. */
  suitable(loads: load.Load[], endings = 0): load.Load[] {
    if (this.running.size === 0 && endings < ALONE_FROM) return loads;
    const running = [...this.running.values()];
    const alone = running.filter((suspect) => suspect.endings >= ALONE_FROM);
    const most = Math.ceil(MOST_ALONE_SHARE * loads.length);
    const besides = endings > 0 ? running : alone.slice(0, most);
    const avoided = new Set(besides.map(({ target }) => target));
    const apart = loads.filter(({ record }) => !avoided.has(record.id));
    if (apart.length === 0) return loads;
    return endings < ALONE_FROM ? apart : emptiest(apart);
  }
}

function emptiest(loads: readonly load.Load[]): load.Load[] {
  const byWriters = [...loads].sort((a, b) => a.writers - b.writers);
  return byWriters.slice(0, Math.ceil(EMPTIEST_SHARE * loads.length));
}
