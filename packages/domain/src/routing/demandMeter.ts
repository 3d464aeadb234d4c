/**
 * Measures demand by band: the number of targets that the requests of the last half minute keep
 * busy.
 */
import * as band from './band';

/** Time over which demand is averaged, in milliseconds. */
const WINDOW_MS = 30_000;

/** Shortest time over which a rate is computed, in milliseconds. */
const MIN_AGE_MS = 1_000;

export class DemandMeter {
  private readonly sums: band.Demand = { short: 0, medium: 0, long: 0 };

  private decayedAt = 0;

  private firstAt: number | undefined;

  /** Counts a request that keeps an engine busy for `ms`. */
  count(inBand: band.Band, ms: number, now: number): void {
    this.decay(now);
    this.firstAt ??= now;
    this.sums[inBand] += ms;
  }

  /** Engine-milliseconds per millisecond. */
  rate(now: number): band.Demand {
    this.decay(now);
    // Less than the whole window may have passed since the first request.
    const age = Math.max(MIN_AGE_MS, now - (this.firstAt ?? now));
    const window = WINDOW_MS * (1 - Math.exp(-age / WINDOW_MS));
    const { short, medium, long } = this.sums;
    return { short: short / window, medium: medium / window, long: long / window };
  }

  private decay(now: number): void {
    const factor = Math.exp(-(now - this.decayedAt) / WINDOW_MS);
    this.decayedAt = now;
    band.BANDS.forEach((each) => {
      this.sums[each] *= factor;
    });
  }
}
