/**
 * A token bucket that starts empty. It may go into debt, as messages that end or renew what a
 * request began can't wait.
 */

/** Seconds of the rate that may be used in one burst. */
const BURST_SECONDS = 0.5;

/** A request costs one token; a smaller capacity would never admit one. */
const MIN_CAPACITY = 1;

/**
 * The largest debt: this many seconds of the rate, and at least this many tokens. What exceeds it is
 * forgotten, so that messages sent longer ago no longer count.
 */
const MAX_DEBT_SECONDS = 4;
const MIN_DEBT_LIMIT = 4;

export class TokenBucket {
  private tokens = 0;

  constructor(
    private perSecond: number,
    private filledAt: number,
    private readonly burstSeconds = BURST_SECONDS,
  ) {}

  /** Whether one more message may be sent. */
  isReady(now: number): boolean {
    return this.levelAt(now) >= 1;
  }

  /** Available tokens, negative while in debt. */
  levelAt(now: number): number {
    const gained = (Math.max(0, now - this.filledAt) / 1_000) * this.perSecond;
    return Math.min(this.capacity, this.tokens + gained);
  }

  take(count: number, now: number): void {
    const maxDebt = Math.max(MIN_DEBT_LIMIT, this.perSecond * MAX_DEBT_SECONDS);
    this.tokens = Math.max(-maxDebt, this.levelAt(now) - count);
    this.filledAt = now;
  }

  /** Changes the rate; tokens gained by the old one are kept. */
  setRate(perSecond: number, now: number): void {
    this.tokens = this.levelAt(now);
    this.filledAt = now;
    this.perSecond = perSecond;
  }

  empty(now: number): void {
    this.tokens = 0;
    this.filledAt = now;
  }

  private get capacity(): number {
    return Math.max(MIN_CAPACITY, this.perSecond * this.burstSeconds);
  }
}
