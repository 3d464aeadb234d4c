/**
 * Targets to which another VM that relays messages sends no requests for a while, as they asked it to back off or drain:
 * what it states about them, and what a VM that sends by way of it believes.
 *
 * A statement replaces the earlier ones of the same relay. A refusal of a single message counts like a statement, and is
 * kept for a while whatever the relay states: not all that it withholds is stated.
 */

/** A target that a relay withholds. `forMs` is absent while the end isn't known. */
export interface WithheldTarget {
  target: string;
  /** Remaining time, milliseconds. */
  forMs?: number;
}

/** Maximum number of targets that a relay names; with more than these, some 10 kB. */
export const MAX_STATED = 128;

/**
 * Shortest time for which a refusal is believed, milliseconds: without it, a request would be offered to the same relay
 * again and again.
 */
const MIN_WITHHELD_MS = 50;

/** Longest time that is believed, milliseconds; a relay states none that is longer. */
const MAX_WITHHELD_MS = 600_000;

/** Interval between two statements, milliseconds: refusals are kept so long, and an end that isn't known is awaited. */
const STATEMENT_INTERVAL_MS = 300;

interface Belief {
  until: number;
  /** A statement that was asked for before doesn't replace it. */
  keptUntil: number;
}

/** What a relay states: at most `MAX_STATED` targets, those that are withheld the longest. */
export function statementOf(withheld: readonly WithheldTarget[]): WithheldTarget[] {
  const byTime = [...withheld].sort((a, b) => (b.forMs ?? Infinity) - (a.forMs ?? Infinity));
  return byTime.slice(0, MAX_STATED).map(({ target, forMs }) => {
    return forMs === undefined ? { target } : { target, forMs: Math.round(forMs) };
  });
}

/** What is believed of one relay. Times are on the steady clock of this VM, milliseconds. */
export class WithheldTargets {
  private beliefs = new Map<string, Belief>();

  private statedAt = -Infinity;

  /**
   * Applies a statement that was asked for at `askedAt`, from which on the times are counted: a delay of the answer then
   * doesn't prolong them. One of an earlier version is absent; whatever isn't readable is ignored.
   */
  stated(statement: unknown, askedAt: number): void {
    if (askedAt < this.statedAt) return;
    this.statedAt = askedAt;
    const kept = [...this.beliefs].filter(([, { keptUntil }]) => keptUntil > askedAt);
    const entries = Array.isArray(statement) ? statement.slice(0, MAX_STATED) : [];
    const stated = entries.filter(isReadable).map(({ target, forMs }): [string, Belief] => {
      return [target, { until: askedAt + boundedMs(forMs), keptUntil: -Infinity }];
    });
    this.beliefs = new Map([...stated, ...kept]);
  }

  /** The relay refused a message because of its target. */
  refused(target: string, forMs: unknown, now: number): void {
    const withheldMs = Math.max(MIN_WITHHELD_MS, boundedMs(forMs));
    this.beliefs.set(target, { until: now + withheldMs, keptUntil: now + STATEMENT_INTERVAL_MS });
  }

  /** Remaining time for which the relay withholds a target, milliseconds; 0 if it doesn't. */
  waitMs(target: string, now: number): number {
    const leftMs = (this.beliefs.get(target)?.until ?? now) - now;
    return leftMs === Infinity ? STATEMENT_INTERVAL_MS : Math.max(0, leftMs);
  }

  targets(now: number): string[] {
    return [...this.beliefs.keys()].filter((target) => this.waitMs(target, now) > 0);
  }
}

/** Time until one of several relays no longer withholds a target, milliseconds; 0 if one doesn't, or without relays. */
export function leastWaitMs(
  relays: readonly WithheldTargets[],
  target: string,
  now: number,
): number {
  if (relays.length === 0) return 0;
  return Math.min(...relays.map((relay) => relay.waitMs(target, now)));
}

function isReadable(each: unknown): each is { target: string; forMs: unknown } {
  return typeof (each as Partial<WithheldTarget> | null)?.target === 'string';
}

/** A stated time within its bounds; infinite if none that is readable is stated. */
function boundedMs(forMs: unknown): number {
  if (typeof forMs !== 'number' || !Number.isFinite(forMs)) return Infinity;
  return Math.min(MAX_WITHHELD_MS, Math.max(0, forMs));
}
