/**
 * Requests that wait for a place on an engine. Those that can still be in time go before those that are late
 * already, and among equals the oldest is first. Each waits for a bounded time.
 *
 * An attempt costs the leader up to a millisecond. In a burst hundreds wait while hundreds of places become free
 * each second; to try all of them each time kept a leader busy for seconds, entries lost it, and all chose
 * engines by themselves. So a serving skips what can't succeed where a smaller request has just failed.
 */

export interface QueuedRequest<T> {
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
const MAX_FAILED_ATTEMPTS = 8;

export class WaitQueue<T> {
  private requests: QueuedRequest<T>[] = [];

  get length(): number {
    return this.requests.length;
  }

  /** Whether one waits that can still be in time; others must not overtake it. */
  hasInTime(now: number): boolean {
    return this.requests.some(({ inTimeUntil }) => inTimeUntil > now);
  }

  add(waiting: QueuedRequest<T>): void {
    this.requests.push(waiting);
  }

  /**
   * Serves those that can be served now, and ends the waits that are over; the number of attempts comes back. Those
   * without success cost as much as others.
   */
  serve(now: number): number {
    const expired = this.requests.filter(({ until }) => until <= now);
    const isLate = (waiting: QueuedRequest<T>): number => (waiting.inTimeUntil <= now ? 1 : 0);
    const current = this.requests
      .filter(({ until }) => until > now)
      .sort((a, b) => isLate(a) - isLate(b) || a.since - b.since);
    this.requests = current;
    expired.forEach(({ resolve }) => resolve(undefined));
    const { left, attempts } = attemptEach(current);
    this.requests = left;
    return attempts;
  }

  /** Ends all waits. */
  clear(): void {
    this.requests.splice(0).forEach(({ resolve }) => resolve(undefined));
  }
}

/** Serves what it can; the others come back. */
function attemptEach<T>(line: readonly QueuedRequest<T>[]): {
  left: QueuedRequest<T>[];
  attempts: number;
} {
  const failed: QueuedRequest<T>[] = [];
  let served = 0;
  const left = line.filter((waiting) => {
    const isHopeless = failed.some((each) => impliesFailure(each, waiting));
    if (isHopeless || failed.length >= MAX_FAILED_ATTEMPTS) return true;
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
function impliesFailure<T>(failed: QueuedRequest<T>, other: QueuedRequest<T>): boolean {
  const isAlike = failed.service === other.service && failed.pauseMs === other.pauseMs;
  return isAlike && !failed.isRestricted && failed.tokens <= other.tokens;
}
