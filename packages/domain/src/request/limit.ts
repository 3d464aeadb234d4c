/**
 * An organisation's limit on tokens per second, enforced by all daemons together. Each daemon
 * admits a share of the limit in proportion to its share of the demand, which the daemons report to
 * each other; the shares add up to the limit instead of multiplying it by the number of daemons.
 */

/** Seconds of the limit that may be used in one burst. */
const BURST_SECONDS = 2;

/** Time over which demand is averaged, in milliseconds. */
const DEMAND_WINDOW_MS = 2_000;

/** Share of the limit that a daemon without previous demand keeps. */
const MIN_SHARE = 0.02;

export type Admission = { kind: 'admitted' } | { kind: 'overLimit'; retryAfterMs: number };

export class SharedLimit {
  private level: number;

  private refilledAt: number;

  private demand = 0;

  private demandAt: number;

  private share: number;

  constructor(
    private tokensPerSecond: number,
    daemons: number,
    now: number,
  ) {
    this.share = 1 / Math.max(1, daemons);
    this.level = tokensPerSecond * this.share * BURST_SECONDS;
    this.refilledAt = now;
    this.demandAt = now;
  }

  /** Own demand in tokens per second, admitted or not. */
  demandRate(now: number): number {
    this.decayDemand(now);
    return (this.demand / DEMAND_WINDOW_MS) * 1_000;
  }

  /** Applies new settings or a new report of the peers' demand for this organisation. */
  rebalance(tokensPerSecond: number, peerDemand: number, daemons: number, now: number): void {
    this.refill(now);
    this.tokensPerSecond = tokensPerSecond;
    const own = this.demandRate(now);
    const total = own + peerDemand;
    const count = Math.max(1, daemons);
    const floor = Math.min(MIN_SHARE, 1 / count);
    const proportional = total > 0 ? own / total : 1 / count;
    this.share = floor + (1 - floor * count) * proportional;
    this.level = Math.min(this.level, this.capacity);
  }

  admit(tokens: number, now: number): Admission {
    this.refill(now);
    this.decayDemand(now);
    this.demand += tokens;
    if (this.tokensPerSecond === 0) return { kind: 'admitted' };
    // A request larger than the burst is admitted on a full bucket and leaves a debt.
    const needed = Math.min(tokens, this.capacity);
    if (this.level >= needed) {
      this.level -= tokens;
      return { kind: 'admitted' };
    }
    const rate = this.tokensPerSecond * this.share;
    return { kind: 'overLimit', retryAfterMs: Math.ceil(((needed - this.level) / rate) * 1_000) };
  }

  private get capacity(): number {
    return this.tokensPerSecond * this.share * BURST_SECONDS;
  }

  private refill(now: number): void {
    const gained = ((now - this.refilledAt) / 1_000) * this.tokensPerSecond * this.share;
    this.level = Math.min(this.capacity, this.level + gained);
    this.refilledAt = now;
  }

  private decayDemand(now: number): void {
    this.demand *= Math.exp(-(now - this.demandAt) / DEMAND_WINDOW_MS);
    this.demandAt = now;
  }
}
