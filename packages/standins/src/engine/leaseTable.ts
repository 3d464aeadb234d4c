/**
 * What an engine stand-in holds for others: reservations and exports with leases, running streams
 * with owners. It lists them all, those of the older system too.
 */
import type * as domain from '@celerydrift/domain';

export interface EngineLease extends domain.memory.holding.Listed {
  /** Milliseconds; a reservation not renewed by then is freed. Infinity for streams. */
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
