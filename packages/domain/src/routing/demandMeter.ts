/** Measures demand by band: how many targets the requests of the last half minute keep busy. */
import * as band from './band';

/** Time over which demand is averaged, in milliseconds. */
const WINDOW_MS = 30_000;

/** Shortest time that a rate is taken over, in milliseconds. */
const MIN_AGE_MS = 1_000;

export class DemandMeter {
  private readonly sums: band.Demand = { short: 0, medium: 0, long: 0 };

  private decayedAt = 0;

  private firstAt: number | undefined;

  /** A request came that keeps an engine busy for `ms`. */
  count(inBand: band.Band, ms: number, now: number): void {
    this.decay(now);
    this.firstAt ??= now;
    this.sums[inBand] += ms;
  }

  /** Engine-milliseconds per millisecond. */
  rate(now: number): band.Demand {
    this.decay(now);
    // Since the first request less than the whole window may have passed.
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
