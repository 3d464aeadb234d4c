/**
 * Requests that wait for a place on an engine. Those that can still be in time go before those that are late
 * already, and among equals the oldest is first. Each waits for a bounded time.
 *
 * An attempt costs the leader up to a millisecond. In a burst hundreds wait while hundreds of places become free
 * each second; to try all of them each time kept a leader busy for seconds, entries lost it, and all chose
 * engines by themselves. So a serving skips what can't succeed where a smaller request has just failed.
 */

export interface Waiting<T> {
  /** Prompt tokens; where a request finds no place, a larger one of the service with the same `pauseMs` finds none either. */
  tokens: number;
  pauseMs: number;
  service: string;
  /** Whether only some targets of the service may take it: that it finds no place says nothing of others. */
  isRestricted: boolean;
  since: number;
  /** Before this a place may still lead to an answer in time. */
  inTimeUntil: number;
  until: number;
  /** Tries to find a place; undefined where there still is none. */
  attempt: () => T | undefined;
  resolve: (found: T | undefined) => void;
}

/** Attempts without success in one serving; some for each class of requests. */
const MOST_FAILED = 8;

export class WaitingLine<T> {
  private line: Waiting<T>[] = [];

  get length(): number {
    return this.line.length;
  }

  /** Whether one waits that can still be in time; others must not overtake it. */
  hasInTime(now: number): boolean {
    return this.line.some(({ inTimeUntil }) => inTimeUntil > now);
  }

  add(waiting: Waiting<T>): void {
    this.line.push(waiting);
  }

  /**
   * Serves those that can be served now, and ends the waits that are over; the number of attempts comes back. Those
   * without success cost as much as others.
   */
  serve(now: number): number {
    const expired = this.line.filter(({ until }) => until <= now);
    const isLate = (waiting: Waiting<T>): number => (waiting.inTimeUntil <= now ? 1 : 0);
    const current = this.line
      .filter(({ until }) => until > now)
      .sort((a, b) => isLate(a) - isLate(b) || a.since - b.since);
    this.line = current;
    expired.forEach(({ resolve }) => resolve(undefined));
    const { left, attempts } = serveEach(current);
    this.line = left;
    return attempts;
  }

  /** Ends all waits. */
  clear(): void {
    this.line.splice(0).forEach(({ resolve }) => resolve(undefined));
  }
}

/** Serves what it can; the others come back. */
function serveEach<T>(line: readonly Waiting<T>[]): { left: Waiting<T>[]; attempts: number } {
  const failed: Waiting<T>[] = [];
  let served = 0;
  const left = line.filter((waiting) => {
    const isHopeless = failed.some((each) => tellsOf(each, waiting));
    if (isHopeless || failed.length >= MOST_FAILED) return true;
    const found = waiting.attempt();
    if (found === undefined) {
      failed.push(waiting);
      return true;
    }
    served += 1;
    waiting.resolve(found);
    return false;
  });
  return { left, attempts: served + failed.length };
}

/** Whether a request that found no place shows that another one finds none. */
function tellsOf<T>(failed: Waiting<T>, other: Waiting<T>): boolean {
  const isAlike = failed.service === other.service && failed.pauseMs === other.pauseMs;
  return isAlike && !failed.isRestricted && failed.tokens <= other.tokens;
}
