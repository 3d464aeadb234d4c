/**
 * Requests that wait for a place on an engine, the most urgent first and among equals the oldest. Each
 * waits for a bounded time, as its caller is better told early when to come back than kept.
 */

export interface Waiting<T> {
  rank: number;
  since: number;
  until: number;
  /** Tries to find a place; undefined where there still is none. */
  attempt: () => T | undefined;
  resolve: (found: T | undefined) => void;
}

export class WaitingLine<T> {
  private line: Waiting<T>[] = [];

  get length(): number {
    return this.line.length;
  }

  add(waiting: Waiting<T>): void {
    this.line.push(waiting);
    this.line.sort((a, b) => a.rank - b.rank || a.since - b.since);
  }

  /** Serves whoever can be served now, and ends the waits that are over. */
  serve(now: number): void {
    this.line = this.line.filter((waiting) => {
      const found = waiting.attempt();
      if (found === undefined && now < waiting.until) return true;
      waiting.resolve(found);
      return false;
    });
  }

  /** Ends all waits. */
  clear(): void {
    this.line.splice(0).forEach(({ resolve }) => resolve(undefined));
  }
}
