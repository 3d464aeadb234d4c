/**
 * Decides whether a daemon may admit requests when it can't reach the control plane.
 *
 * Failure: a partition leaves some daemons with old settings while others, with the leader, accept
 * new ones. Callers of the first group would be served by outdated settings.
 *
 * Rule: the leader answers "accepted" only when a majority of the registered daemons have the
 * change, and a daemon without a valid lease admits requests only while it can exchange indexes
 * with a majority of them. Two majorities share a member, through which the newer settings reach
 * the daemon. So a stale group that admits requests and an accepted change can't coexist for longer
 * than a lease. A control plane that is merely down stops no daemon, as long as a majority of the
 * daemons reach each other.
 */

/** How a daemon without a valid lease admits requests. */
export type StalenessRule = 'majority' | 'refuse' | 'serve';

export type Admission = 'admit' | 'refuse';

/** Milliseconds without an update from the leader after which a daemon's view may be stale. */
export const DEFAULT_LEASE = 4_000;

export function isMajority(count: number, registered: number): boolean {
  return count * 2 > registered;
}

export class Freshness {
  private freshAsOf = -Infinity;

  private readonly exchanges = new Map<string, number>();

  constructor(
    private readonly rule: StalenessRule,
    private readonly lease: number = DEFAULT_LEASE,
  ) {}

  /** The view was equal to the leader's at this time of the own clock. */
  renewLease(asOf: number): void {
    this.freshAsOf = Math.max(this.freshAsOf, asOf);
  }

  /**
   * A peer reported its index, and this daemon has caught up with it; the request was sent at
   * `requestedAt`.
   */
  recordExchange(peer: string, requestedAt: number): void {
    this.exchanges.set(peer, Math.max(this.exchanges.get(peer) ?? -Infinity, requestedAt));
  }

  ageMs(now: number): number {
    return now - this.freshAsOf;
  }

  hasLease(now: number): boolean {
    return this.ageMs(now) <= this.lease;
  }

  /** Whether to admit requests; `registered` are all registered daemons, with or without `self`. */
  admission(now: number, self: string, registered: readonly string[]): Admission {
    if (this.hasLease(now) || this.rule === 'serve') return 'admit';
    if (this.rule === 'refuse' || this.freshAsOf === -Infinity) return 'refuse';
    const recent = registered.filter(
      (id) => id === self || now - (this.exchanges.get(id) ?? -Infinity) <= this.lease,
    );
    return isMajority(recent.length, registered.length) ? 'admit' : 'refuse';
  }
}

/**
 * Leader: whether it may log a change, having recent contact with a majority of the registered
 * daemons.
 */
export function mayAccept(
  now: number,
  registered: readonly string[],
  contactAt: (id: string) => number,
  lease: number,
): boolean {
  if (registered.length === 0) return true;
  const reachable = registered.filter((id) => now - contactAt(id) <= lease);
  return isMajority(reachable.length, registered.length);
}

/** Leader: whether it may answer "accepted", as a majority has the change. */
export function isHeldByMajority(
  index: number,
  registered: readonly string[],
  indexOf: (id: string) => number,
): boolean {
  if (registered.length === 0) return true;
  const upToDate = registered.filter((id) => indexOf(id) >= index);
  return isMajority(upToDate.length, registered.length);
}
