/**
 * What an engine stand-in holds for others: reservations and exports with leases, running streams
 * with owners. It lists them all, those of the older system too.
 */
import type * as domain from '@celerydrift/domain';

export interface Holding extends domain.memory.holding.Listed {
  /** Milliseconds; a reservation not renewed by then is freed. Infinity for streams. */
  expiresAt: number;
}

export class Holdings {
  private readonly held = new Map<string, Holding>();

  add(holding: Holding): void {
    this.held.set(holding.id, holding);
  }

  get(id: string): Holding | undefined {
    return this.held.get(id);
  }

  renew(id: string, expiresAt: number): boolean {
    const holding = this.held.get(id);
    if (holding === undefined) return false;
    holding.expiresAt = expiresAt;
    return true;
  }

  remove(id: string): Holding | undefined {
    const holding = this.held.get(id);
    this.held.delete(id);
    return holding;
  }

  expired(now: number): Holding[] {
    return [...this.held.values()].filter(({ expiresAt }) => expiresAt <= now);
  }

  list(): Holding[] {
    return [...this.held.values()];
  }
}
