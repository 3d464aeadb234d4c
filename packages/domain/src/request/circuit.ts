/**
 * A circuit breaker per target, by the share of failures among recent outcomes and not by one error.
 * Open, it lets one trial through after a while, and each failed trial doubles the while.
 */

export interface Options {
  /** Outcomes looked at. */
  window: number;
  /** Fewest outcomes before a share means anything. */
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

  /** Lets time pass; true when the state changed to a trial. */
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
