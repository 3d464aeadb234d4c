/**
 * The keeper of a target manages its lease: it receives every announcement and reports only changes
 * to the other daemons. Two keepers per target are picked by rendezvous hashing over the live
 * daemons in its data centre, so the cost per daemon depends on the targets per daemon and not on
 * the size of the fleet.
 */
import * as hashing from '../shared/hashing';
import * as target from './target';

export const KEEPERS_PER_TARGET = 2;

/**
 * Time without an announcement after which a target counts as gone, milliseconds: three missed
 * announcements.
 */
export const DEFAULT_LEASE_MS = 6_000;

export function keepersOf(
  hash: hashing.Hash,
  name: string,
  daemons: readonly string[],
): readonly string[] {
  return hashing.rendezvous(hash, name, daemons).slice(0, KEEPERS_PER_TARGET);
}

interface Lease {
  announced: target.Target;
  heardAt: number;
}

export class Keeper {
  private readonly leases = new Map<string, Lease>();

  constructor(private readonly leaseMs: number = DEFAULT_LEASE_MS) {}

  /** Takes an announcement; returns whether to report it to the other daemons. */
  announce(announced: target.Target, now: number): boolean {
    const current = this.leases.get(announced.name);
    if (!target.isNewer(announced, current?.announced)) return false;
    this.leases.set(announced.name, { announced, heardAt: now });
    return target.isSignificantChange(announced, current?.announced);
  }

  /** Renews a lease by name alone; false if there is no lease of the target in this incarnation. */
  renew(name: string, incarnation: number, sequence: number, now: number): boolean {
    const lease = this.leases.get(name);
    if (lease === undefined || lease.announced.incarnation !== incarnation) return false;
    if (sequence > lease.announced.sequence) {
      const announced = { ...lease.announced, sequence };
      this.leases.set(name, { announced, heardAt: now });
    }
    return true;
  }

  /** Starts the lease of a target whose former keepers may have died together with it. */
  startLease(announced: target.Target, now: number): void {
    if (!this.leases.has(announced.name)) {
      this.leases.set(announced.name, { announced, heardAt: now });
    }
  }

  /** Drops a lease that other daemons manage now. */
  drop(name: string): void {
    this.leases.delete(name);
  }

  names(): string[] {
    return [...this.leases.keys()];
  }

  /** Removes expired leases; returns their targets as `gone` with the last received sequence. */
  expire(now: number): target.Target[] {
    const expired = [...this.leases.values()].filter(({ heardAt }) => now - heardAt > this.leaseMs);
    expired.forEach(({ announced }) => this.leases.delete(announced.name));
    return expired.map(({ announced }) => ({ ...announced, status: 'gone' }));
  }

  get size(): number {
    return this.leases.size;
  }
}
