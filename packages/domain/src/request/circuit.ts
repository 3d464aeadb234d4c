/**
 * A circuit breaker per target that opens by the failure share of recent outcomes rather than by a
 * single error. After a while an open circuit becomes half-open and lets one trial through; each
 * failed trial doubles the time until the next.
 */

export interface Options {
  /** Number of recent outcomes considered. */
  window: number;
  /** Fewest outcomes for which the failure share is meaningful. */
  minOutcomes: number;
  failureShare: number;
  openMs: number;
  maxOpenMs: number;
}

export const DEFAULT_OPTIONS: Options = {
  window: 20,
  minOutcomes: 4,
  failureShare: 0.5,
  openMs: 1_000,
  maxOpenMs: 30_000,
};

export type State = 'closed' | 'open' | 'trial';

export class Circuit {
  private outcomes: boolean[] = [];

  private openUntil = 0;

  private openForMs: number;

  state: State = 'closed';

  constructor(private readonly options: Options = DEFAULT_OPTIONS) {
    this.openForMs = options.openMs;
  }

  succeeded(): void {
    if (this.state !== 'closed') {
      this.state = 'closed';
      this.outcomes = [];
      this.openForMs = this.options.openMs;
    }
    this.push(true);
  }

  failed(now: number): void {
    if (this.state === 'trial') {
      this.openForMs = Math.min(this.options.maxOpenMs, this.openForMs * 2);
      this.open(now);
      return;
    }
    this.push(false);
    const failures = this.outcomes.filter((good) => !good).length;
    const hasEnoughOutcomes = this.outcomes.length >= this.options.minOutcomes;
    if (hasEnoughOutcomes && failures / this.outcomes.length >= this.options.failureShare)
      this.open(now);
  }

  /** Advances the time; true when the circuit becomes half-open. */
  tick(now: number): boolean {
    if (this.state !== 'open' || now < this.openUntil) return false;
    this.state = 'trial';
    return true;
  }

  private open(now: number): void {
    this.state = 'open';
    this.openUntil = now + this.openForMs;
    this.outcomes = [];
  }

  private push(isSuccess: boolean): void {
    this.outcomes.push(isSuccess);
    if (this.outcomes.length > this.options.window) this.outcomes.shift();
  }
}
