/**
 * How long this process has been able to read answers. On a machine that stands still for seconds, timers fire before what
 * arrived meanwhile is read; a caller that counted that time would take an answer that is there for a missing one.
 */

const LOOK_EVERY_MS = 50;

/** Most time between two looks that counts, milliseconds. */
const MOST_PER_LOOK_MS = 2 * LOOK_EVERY_MS;

export class AwakeTime {
  private counted = 0;

  private lastLookAt: number;

  constructor(private readonly now: () => number) {
    this.lastLookAt = now();
    setInterval(() => this.look(), LOOK_EVERY_MS).unref();
  }

  /** Milliseconds since it was made, without those in which nothing ran. */
  get ms(): number {
    this.look();
    return this.counted;
  }

  private look(): void {
    const now = this.now();
    this.counted += Math.min(now - this.lastLookAt, MOST_PER_LOOK_MS);
    this.lastLookAt = now;
  }
}
