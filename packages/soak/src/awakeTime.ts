/**
 * How long this process has been able to read answers. On a machine that stands still for seconds, timers fire before what
 * arrived meanwhile is read; a caller that counted that time would take an answer that is there for a missing one.
 */

const SAMPLE_INTERVAL_MS = 50;

/** Most time between two looks that counts, milliseconds. */
const MAX_SAMPLE_MS = 2 * SAMPLE_INTERVAL_MS;

export class AwakeTime {
  private awakeMs = 0;

  private lastSampleAt: number;

  constructor(private readonly now: () => number) {
    this.lastSampleAt = now();
    setInterval(() => this.sample(), SAMPLE_INTERVAL_MS).unref();
  }

  /** Milliseconds since it was made, without those in which nothing ran. */
  get ms(): number {
    this.sample();
    return this.awakeMs;
  }

  private sample(): void {
    const now = this.now();
    this.awakeMs += Math.min(now - this.lastSampleAt, MAX_SAMPLE_MS);
    this.lastSampleAt = now;
  }
}
