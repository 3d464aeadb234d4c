/**
 * Queue of requests that wait for an engine slot, each for a bounded time. Requests that can still be on time go
 * before late ones, and older ones before newer ones. An attempt costs the leader up to a millisecond. In a burst
 * hundreds of requests wait while hundreds of slots become free each second; trying all of them each time kept a
 * leader busy for seconds, so that entries took it for lost and each chose engines by itself. A round therefore
 * skips requests that can't succeed because a smaller one has just failed.
 */

export interface QueuedRequest<T> {
  /** Prompt tokens. If a request finds no slot, a larger one of the same service and `pauseMs` finds none either. */
  tokens: number;
  pauseMs: number;
  service: string;
  /** Whether only some targets of the service may take it; its failure then implies nothing for other requests. */
  isRestricted: boolean;
  since: number;
  /** Time until which a placement can still lead to an answer on time. */
  inTimeUntil: number;
  until: number;
  /** Tries to place the request; returns undefined if there is still no slot. */
  attempt: () => T | undefined;
  resolve: (found: T | undefined) => void;
}

/** Maximum number of failed attempts in one round; enough to try a few requests of each class. */
const MAX_FAILED_ATTEMPTS = 8;

export class WaitQueue<T> {
  private requests: QueuedRequest<T>[] = [];

  get length(): number {
    return this.requests.length;
  }

  /** Whether a queued request can still be on time; new requests must not overtake it. */
  hasInTime(now: number): boolean {
    return this.requests.some(({ inTimeUntil }) => inTimeUntil > now);
  }

  add(request: QueuedRequest<T>): void {
    this.requests.push(request);
  }

  /**
   * Places the requests that can be placed now and ends the waits that expired. Returns the number of attempts;
   * failed ones cost as much as successful ones.
   */
  serve(now: number): number {
    const expired = this.requests.filter(({ until }) => until <= now);
    const isLate = (waiting: QueuedRequest<T>): number => (waiting.inTimeUntil <= now ? 1 : 0);
    const unexpired = this.requests
      .filter(({ until }) => until > now)
      .sort((a, b) => isLate(a) - isLate(b) || a.since - b.since);
    this.requests = unexpired;
    expired.forEach(({ resolve }) => resolve(undefined));
    const { left, attempts } = attemptEach(unexpired);
    this.requests = left;
    return attempts;
  }

  /** Ends all waits without a placement. */
  clear(): void {
    this.requests.splice(0).forEach(({ resolve }) => resolve(undefined));
  }
}

/** Tries the requests in order; returns those that are still waiting. */
function attemptEach<T>(requests: readonly QueuedRequest<T>[]): {
  left: QueuedRequest<T>[];
  attempts: number;
} {
  const failed: QueuedRequest<T>[] = [];
  let served = 0;
  const left = requests.filter((waiting) => {
    const willFail = failed.some((each) => impliesFailure(each, waiting));
    if (willFail || failed.length >= MAX_FAILED_ATTEMPTS) return true;
    const placement = waiting.attempt();
    if (placement === undefined) {
      failed.push(waiting);
      return true;
    }
    served += 1;
    waiting.resolve(placement);
    return false;
  });
  return { left, attempts: served + failed.length };
}

/** Whether the failure of one request implies that another one fails too. */
function impliesFailure<T>(failed: QueuedRequest<T>, other: QueuedRequest<T>): boolean {
  const isAlike = failed.service === other.service && failed.pauseMs === other.pauseMs;
  return isAlike && !failed.isRestricted && failed.tokens <= other.tokens;
}
