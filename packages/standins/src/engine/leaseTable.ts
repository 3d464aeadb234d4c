/**
 * Resources that daemons lease on an engine stand-in: reservations and exports, which expire, and
 * running streams. Resources of the older system that shares the engine are listed too.
 */
import type * as domain from '@celerydrift/domain';

export interface EngineLease extends domain.memory.leasedResources.ListedResource {
  /** Time in milliseconds at which an unrenewed lease is released; Infinity for streams. */
  expiresAt: number;
}

export class LeaseTable {
  private readonly leases = new Map<string, EngineLease>();

  add(lease: EngineLease): void {
    this.leases.set(lease.id, lease);
  }

  get(id: string): EngineLease | undefined {
    return this.leases.get(id);
  }

  /** Extends a lease; false if it is unknown. */
  renew(id: string, expiresAt: number): boolean {
    const lease = this.leases.get(id);
    if (lease === undefined) return false;
    lease.expiresAt = expiresAt;
    return true;
  }

  remove(id: string): EngineLease | undefined {
    const lease = this.leases.get(id);
    this.leases.delete(id);
    return lease;
  }

  expired(now: number): EngineLease[] {
    return [...this.leases.values()].filter(({ expiresAt }) => expiresAt <= now);
  }

  list(): EngineLease[] {
    return [...this.leases.values()];
  }
}
