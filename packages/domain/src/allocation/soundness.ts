/**
 * Whether a target that failed gets work again. Health checks of a grey target are good, so outcomes decide:
 * each failure in a row shuts it out for twice as long, and then one request at a time tries it until one
 * succeeds. One bad answer may be chance and costs a target little.
 */

/** How a dispatch ended, as far as it says something of the target. */
export type Ending =
  | 'done'
  /** The target was full, against the model. */
  | 'full'
  /** Its answer broke off, was none, or didn't come. */
  | 'broken'
  /** No connection was made. */
  | 'unreachable'
  /** Another lifetime answered at its address. */
  | 'replaced'
  | 'cancelled';

/** How long a target is shut out after the first failure in a row, milliseconds. */
const EJECTION_MS: Record<Ending, number> = {
  done: 0,
  cancelled: 0,
  // A few passes later the model may be right again.
  full: 250,
  broken: 500,
  // Most likely it is down; a restart takes seconds.
  unreachable: 1_500,
  // It doesn't come back, unless it announces itself.
  replaced: 3_000,
};

/** Longest time that a target is shut out, milliseconds; usual failures last five to ten seconds. */
const MAX_EJECTION_MS = 4_000;

/**
 * Failures in a row after which a target must pass a trial. One may be chance, or our own doing, as where a long
 * reading made a stream pause; a trial of one stream takes its engine away for two seconds.
 */
const FAILURES_TO_CANARY = 2;

/**
 * Weight of a new outcome in the share of failures, and how fast that share is forgotten where nothing new comes,
 * milliseconds. Ten answers tell a target that fails two in five from one that fails by chance.
 */
const OUTCOME_WEIGHT = 0.15;
const FAILURE_DECAY_MS = 5_000;

/** Beyond this every shut-out is the longest. */
const MAX_DOUBLINGS = 4;

export class Soundness {
  private failures = 0;

  private ejectedUntil = 0;

  private lastFailureShare = 0;

  private lastOutcomeAt = 0;

  /**
   * Share of its last dispatches that failed or that it refused. Failures in a row miss a target that fails two in
   * five with good ones between: where others are as good, they should be chosen.
   */
  failureShare(now: number): number {
    return this.lastFailureShare * Math.exp((this.lastOutcomeAt - now) / FAILURE_DECAY_MS);
  }

  ended(outcome: Ending, now: number): void {
    if (outcome !== 'cancelled') this.updateFailureShare(outcome === 'done' ? 0 : 1, now);
    if (outcome === 'done') this.failures = 0;
    if (EJECTION_MS[outcome] === 0) return;
    // Requests that were sent together fail together; that is one failure.
    if (now < this.ejectedUntil) return;
    const ejectionMs = EJECTION_MS[outcome] * 2 ** Math.min(this.failures, MAX_DOUBLINGS);
    this.ejectedUntil = now + Math.min(MAX_EJECTION_MS, ejectionMs);
    if (outcome === 'full') return;
    this.failures += outcome === 'broken' ? 1 : FAILURES_TO_CANARY;
  }

  /** Whether the target takes work; after failures in a row only if it has none, as a trial. */
  isUsable(now: number, isIdle: boolean): boolean {
    if (now < this.ejectedUntil) return false;
    return this.failures < FAILURES_TO_CANARY || isIdle;
  }

  private updateFailureShare(failed: 0 | 1, now: number): void {
    const share = this.failureShare(now);
    this.lastFailureShare = share + OUTCOME_WEIGHT * (failed - share);
    this.lastOutcomeAt = now;
  }
}
