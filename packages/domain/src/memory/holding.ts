/**
 * What this system makes engines hold: reservations, exports, pinned prefixes, running streams. Each
 * holding has an owner (daemon and incarnation) and a lease. The owner renews or releases; when it
 * dies, survivors reclaim, but only what the engine's own listing shows to be ours.
 */

export type Kind = 'reservation' | 'export' | 'stream';

export interface Owner {
  daemon: string;
  incarnation: number;
}

/** Marks holdings of this system; an older one shares the engines, and its holdings are not ours. */
export const SYSTEM = 'celerydrift';

/** One holding as an engine lists it. */
export interface Listed {
  id: string;
  system: string;
  kind: Kind;
  owner: Owner;
  tokens: number;
}

export type ReclaimDecision = 'keep' | 'reclaim';

/** What is known of a daemon that owns holdings. */
export type Standing =
  { kind: 'live'; incarnation: number } | { kind: 'dead' } | { kind: 'unknown' };

/**
 * Whether a survivor should free a listed holding. A restarted owner (newer incarnation) knows nothing
 * of its earlier holdings, so those count as left behind; an owner that is merely unknown keeps them
 * until the engine's own lease runs out.
 */
export function judge(listed: Listed, status: Standing): ReclaimDecision {
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
  /** When to try the release again. */
  retryAt: number;
  tries: number;
}

const RELEASE_RETRY_MS = 200;

const RELEASE_RETRY_MAX_MS = 5_000;

/** Renewal is due well before the engine's lease runs out. */
export const LEASE_MS = 15_000;

/** The holdings of one daemon. A release is retried until the engine confirmed it. */
export class Holdings {
  private readonly resources = new Map<string, LeasedResource>();

  get size(): number {
    return this.resources.size;
  }

  hold(target: string, targetIncarnation: number, id: string, kind: Kind): void {
    const initial = { state: 'held', retryAt: 0, tries: 0 } as const;
    this.resources.set(`${target}/${id}`, { target, targetIncarnation, id, kind, ...initial });
  }

  /** Marks for release; `due` hands it out until `confirmed`. */
  release(target: string, id: string, now: number): void {
    const entry = this.resources.get(`${target}/${id}`);
    if (entry === undefined) return;
    entry.state = 'releasing';
    entry.retryAt = now;
  }

  confirmed(target: string, id: string): void {
    this.resources.delete(`${target}/${id}`);
  }

  /** An engine that restarted holds nothing. */
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

  /** Releases to send now; each is handed out again, later and later, until confirmed. */
  due(now: number): { target: string; id: string; kind: Kind }[] {
    const ready = [...this.resources.values()].filter(
      (entry) => entry.state === 'releasing' && entry.retryAt <= now,
    );
    return ready.map((entry) => {
      entry.tries += 1;
      entry.retryAt = now + Math.min(RELEASE_RETRY_MAX_MS, RELEASE_RETRY_MS * 2 ** entry.tries);
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
