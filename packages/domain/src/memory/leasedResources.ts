/**
 * Resources that this system leases on engines: reservations, exports, pinned prefixes, running
 * streams. Each has an owner (daemon and incarnation) and a lease. The owner renews or releases it;
 * when the owner dies, other daemons reclaim it, but only if the engine lists it as a resource of
 * this system.
 */

export type Kind = 'reservation' | 'export' | 'stream';

export interface Owner {
  daemon: string;
  incarnation: number;
}

/**
 * Identifies resources of this system; an older system shares the engines, and its resources must
 * not be touched.
 */
export const SYSTEM = 'celerydrift';

/** A leased resource as an engine lists it. */
export interface ListedResource {
  id: string;
  system: string;
  kind: Kind;
  owner: Owner;
  tokens: number;
}

export type ReclaimDecision = 'keep' | 'reclaim';

/** Status of a daemon that owns resources. */
export type OwnerStatus =
  { kind: 'live'; incarnation: number } | { kind: 'dead' } | { kind: 'unknown' };

/**
 * Whether another daemon should free a listed resource. An owner that restarted (newer incarnation)
 * has no record of its earlier resources, so those are reclaimed; an owner of unknown status keeps
 * them until the engine's own lease expires.
 */
export function classify(listed: ListedResource, status: OwnerStatus): ReclaimDecision {
  if (listed.system !== SYSTEM) return 'keep';
  if (status.kind === 'dead') return 'reclaim';
  if (status.kind === 'unknown') return 'keep';
  return status.incarnation > listed.owner.incarnation ? 'reclaim' : 'keep';
}

interface LeasedResource {
  target: string;
  targetIncarnation: number;
  id: string;
  kind: Kind;
  state: 'held' | 'releasing';
  /** Time of the next attempt to release it. */
  retryAt: number;
  tries: number;
}

const RELEASE_RETRY_MS = 200;

const MAX_RELEASE_RETRY_MS = 5_000;

/** Lease of a resource at its engine; renewals come well before its end. */
export const LEASE_MS = 15_000;

/** The leased resources of one daemon. A release is retried until the engine confirms it. */
export class LeasedResources {
  private readonly resources = new Map<string, LeasedResource>();

  get size(): number {
    return this.resources.size;
  }

  add(target: string, targetIncarnation: number, id: string, kind: Kind): void {
    const initial = { state: 'held', retryAt: 0, tries: 0 } as const;
    this.resources.set(`${target}/${id}`, { target, targetIncarnation, id, kind, ...initial });
  }

  /** Marks a resource for release; the release stays due until it is confirmed. */
  release(target: string, id: string, now: number): void {
    const entry = this.resources.get(`${target}/${id}`);
    if (entry === undefined) return;
    entry.state = 'releasing';
    entry.retryAt = now;
  }

  confirmRelease(target: string, id: string): void {
    this.resources.delete(`${target}/${id}`);
  }

  /** A restarted engine has lost the resources of its earlier incarnations. */
  targetRestarted(target: string, incarnation: number): void {
    [...this.resources].forEach(([key, entry]) => {
      if (entry.target === target && entry.targetIncarnation < incarnation)
        this.resources.delete(key);
    });
  }

  targetGone(target: string): void {
    [...this.resources].forEach(([key, entry]) => {
      if (entry.target === target) this.resources.delete(key);
    });
  }

  /** Releases to send now; each is repeated with exponential backoff until confirmed. */
  dueReleases(now: number): { target: string; id: string; kind: Kind }[] {
    const due = [...this.resources.values()].filter(
      (entry) => entry.state === 'releasing' && entry.retryAt <= now,
    );
    return due.map((entry) => {
      entry.tries += 1;
      entry.retryAt = now + Math.min(MAX_RELEASE_RETRY_MS, RELEASE_RETRY_MS * 2 ** entry.tries);
      return { target: entry.target, id: entry.id, kind: entry.kind };
    });
  }

  /** Reservations and exports to renew. */
  renewable(): { target: string; id: string }[] {
    return [...this.resources.values()]
      .filter(({ state, kind }) => state === 'held' && kind !== 'stream')
      .map(({ target, id }) => ({ target, id }));
  }
}
