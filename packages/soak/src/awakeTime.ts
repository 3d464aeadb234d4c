/**
 * Measures how long this process has been able to read responses. When a machine stalls for seconds, expired timers
 * fire before data that arrived in the meantime is read. A caller whose timeout included the stall would report a
 * response that has arrived as missing.
 */

const SAMPLE_INTERVAL_MS = 50;

/** Time between two samples counts up to this; the rest is a stall. */
const MAX_SAMPLE_MS = 2 * SAMPLE_INTERVAL_MS;

export class AwakeTime {
  private awakeMs = 0;

  private lastSampleAt: number;

  constructor(private readonly now: () => number) {
    this.lastSampleAt = now();
    setInterval(() => this.sample(), SAMPLE_INTERVAL_MS).unref();
  }

  /** Milliseconds since construction, without stalls of the process. */
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
