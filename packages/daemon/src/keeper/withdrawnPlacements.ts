/**
 * Placements that entries have given up before this leader knew of them. A connection may deliver a request for a placement
 * seconds after its entry has given it up, and the engine's slot would stay taken for as long as this keeper leads.
 */

/** How long a placement is remembered, milliseconds; longer than connections are held up by a cut. */
const RETENTION_MS = 30_000;

/** Most placements that are remembered; the oldest are forgotten first. */
const MAX_PLACEMENTS = 20_000;

export class WithdrawnPlacements {
  /** When each was withdrawn, in that order. */
  private readonly withdrawnAt = new Map<string, number>();

  constructor(private readonly now: () => number) {}

  add(id: string): void {
    this.withdrawnAt.set(id, this.now());
    if (this.withdrawnAt.size > MAX_PLACEMENTS) this.forgetOldest();
  }

  includes(id: string): boolean {
    const at = this.withdrawnAt.get(id);
    return at !== undefined && this.now() - at < RETENTION_MS;
  }

  clear(): void {
    this.withdrawnAt.clear();
  }

  private forgetOldest(): void {
    const [oldest] = this.withdrawnAt.keys();
    this.withdrawnAt.delete(oldest);
  }
}
