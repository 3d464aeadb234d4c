/**
 * Queue of requests that wait for an engine slot, each for a bounded time, in an order given by a policy. An attempt costs the leader up to a millisecond. In a burst
 * hundreds of requests wait while hundreds of slots become free each second; trying all of them each time kept a
 * leader busy for seconds, so that entries took it for lost and each chose engines by itself. A round therefore
 * skips requests that can't succeed because a smaller one has just failed.
 */
import type * as domain from '@celerydrift/domain';

type Waiting = domain.contention.waitingOrder.Waiting & {
  /** Time of its arrival at the leader. */
  since: number;
};

/** If a request finds no slot, one with more `tokens` of the same service and `pauseMs` finds none either. */
export interface QueuedRequest<T> extends Waiting {
  pauseMs: number;
  /** Whether only some targets of the service may take it; its failure then implies nothing for other requests. */
  isRestricted: boolean;
  until: number;
  /** Tries to place the request; returns undefined if there is still no slot. */
  attempt: () => T | undefined;
  resolve: (found: T | undefined) => void;
}

/** The order in which waiting requests are tried. */
export interface Order {
  /** Whether nothing depends on further rounds while no request waits. */
  readonly isIdle: boolean;
  /** The requests to try in this round, first to last; others keep waiting. */
  arrange<R extends Waiting>(requests: readonly R[], now: number): R[];
  /** Counts a request that got a slot while others waited. */
  served(request: Waiting, now: number): void;
}

/** Requests that can still be on time go before late ones, and older ones before newer ones. */
export class ArrivalOrder implements Order {
  readonly isIdle = true;

  arrange<R extends Waiting>(requests: readonly R[], now: number): R[] {
    const isLate = ({ inTimeUntil }: R): number => (inTimeUntil <= now ? 1 : 0);
    return [...requests].sort((a, b) => isLate(a) - isLate(b) || a.since - b.since);
  }

  served(): void {
    // The order doesn't depend on what was served.
  }
}

/** Maximum number of failed attempts in one round; enough to try a few requests of each class. */
const MAX_FAILED_ATTEMPTS = 8;

export class WaitQueue<T> {
  private requests: QueuedRequest<T>[] = [];

  constructor(private readonly policy: { readonly order: Order } = { order: new ArrivalOrder() }) {}

  get length(): number {
    return this.requests.length;
  }

  /** Whether no further round is needed. */
  get isIdle(): boolean {
    return this.requests.length === 0 && this.policy.order.isIdle;
  }

  /** Whether a queued request, of one service if named, can still be on time; new requests must not overtake it. */
  hasInTime(now: number, only?: string): boolean {
    return this.requests.some(({ inTimeUntil, service }) => {
      return inTimeUntil > now && (only === undefined || only === service);
    });
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
    this.requests = this.requests.filter(({ until }) => until > now);
    expired.forEach(({ resolve }) => resolve(undefined));
    const arranged = this.policy.order.arrange(this.requests, now);
    // Requests of equal rank keep the order of the last round.
    if (arranged.length === this.requests.length) this.requests = arranged;
    const { served, attempts } = attemptEach(arranged);
    this.requests = this.requests.filter((each) => !served.has(each));
    served.forEach((each) => this.policy.order.served(each, now));
    return attempts;
  }

  /** Ends all waits without a placement. */
  clear(): void {
    this.requests.splice(0).forEach(({ resolve }) => resolve(undefined));
  }
}

/** Tries the requests in order. */
function attemptEach<T>(requests: readonly QueuedRequest<T>[]): {
  served: ReadonlySet<QueuedRequest<T>>;
  attempts: number;
} {
  const failed: QueuedRequest<T>[] = [];
  const served = new Set<QueuedRequest<T>>();
  requests.forEach((waiting) => {
    const willFail = failed.some((each) => impliesFailure(each, waiting));
    if (willFail || failed.length >= MAX_FAILED_ATTEMPTS) return;
    const placement = waiting.attempt();
    if (placement === undefined) {
      failed.push(waiting);
      return;
    }
    served.add(waiting);
    waiting.resolve(placement);
  });
  return { served, attempts: served.size + failed.length };
}

/** Whether the failure of one request implies that another one fails too. */
function impliesFailure<T>(failed: QueuedRequest<T>, other: QueuedRequest<T>): boolean {
  const isAlike = failed.service === other.service && failed.pauseMs === other.pauseMs;
  return isAlike && !failed.isRestricted && failed.tokens <= other.tokens;
}
