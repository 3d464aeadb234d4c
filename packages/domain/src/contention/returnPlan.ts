/**
 * Plans when refused callers return, and recognises them. Handles bursts of about ten seconds: callers that were told
 * to return after about a second came back within the burst, together, and were refused for good.
 */

/** Length of a slot of the plan, in milliseconds: two engine steps. */
const SLOT_MS = 100;

/** Time over which arrivals and placements are averaged, in milliseconds. */
const RATE_MS = 1_000;

/** Most of the time left to a caller that a Retry-After may take; callers wait no longer. */
const MAX_DELAY_SHARE = 1 / 3;

/** Longest planned delay, in milliseconds; a caller that returns later wouldn't be recognised in time. */
const MAX_DELAY_MS = 5_000;

/** How long a refused request is remembered, in milliseconds; callers with longer objectives return within it. */
const MEMORY_MS = 10_000;

/** Refused requests that are remembered: ten seconds of a burst at a thousand refusals a second. */
const MAX_REMEMBERED = 10_000;

/** Events a second, averaged over `RATE_MS`. */
class Rate {
  private sum = 0;

  private at = 0;

  count(now: number): void {
    this.sum = this.decayed(now) + 1;
    this.at = now;
  }

  perMs(now: number): number {
    return this.decayed(now) / RATE_MS;
  }

  private decayed(now: number): number {
    return this.sum * Math.exp(-(now - this.at) / RATE_MS);
  }
}

/** The planned returns to one service. */
export class ReturnPlan {
  private readonly arrivals = new Rate();

  private readonly placements = new Rate();

  /** Planned returns by slot. */
  private readonly planned = new Map<number, number>();

  countArrival(now: number): void {
    this.arrivals.count(now);
  }

  countPlacement(now: number): void {
    this.placements.count(now);
  }

  /**
   * Plans a return and gives the delay until then, in milliseconds: the first slot with room, or else the last one
   * that the caller accepts.
   */
  plan(timeLeftMs: number, minDelayMs: number, now: number): number {
    this.forgetPast(now);
    const maxDelayMs = Math.min(MAX_DELAY_MS, Math.max(0, MAX_DELAY_SHARE * timeLeftMs));
    const earliest = Math.ceil((now + Math.min(minDelayMs, maxDelayMs)) / SLOT_MS);
    const latest = Math.floor((now + maxDelayMs) / SLOT_MS);
    const room = SLOT_MS * (this.placements.perMs(now) - this.arrivals.perMs(now));
    let slot = earliest;
    while (slot < latest && (this.planned.get(slot) ?? 0) + 1 > room) slot += 1;
    this.planned.set(slot, (this.planned.get(slot) ?? 0) + 1);
    return Math.min(maxDelayMs, slot * SLOT_MS - now);
  }

  private forgetPast(now: number): void {
    [...this.planned.keys()]
      .filter((slot) => slot * SLOT_MS < now)
      .forEach((slot) => this.planned.delete(slot));
  }
}

/** The requests that were refused recently, by fingerprint. */
export class RefusedRequests {
  /** Times of the refusals, oldest first. */
  private readonly refusedAt = new Map<string, number>();

  add(content: string, now: number): void {
    this.refusedAt.delete(content);
    this.refusedAt.set(content, now);
    this.forgetExpired(now);
  }

  has(content: string, now: number): boolean {
    const at = this.refusedAt.get(content);
    return at !== undefined && now - at < MEMORY_MS;
  }

  clear(): void {
    this.refusedAt.clear();
  }

  private forgetExpired(now: number): void {
    for (const [content, at] of this.refusedAt) {
      if (this.refusedAt.size <= MAX_REMEMBERED && now - at < MEMORY_MS) return;
      this.refusedAt.delete(content);
    }
  }
}
