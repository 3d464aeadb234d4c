/**
 * Tracks the health of a target by the outcomes of its dispatches, as a target with a gray failure
 * passes health checks. Each failure in a row ejects it for twice as long; after the ejection it
 * gets one canary request at a time until one succeeds. A single broken answer may be chance: it
 * ejects a target briefly and requires no canary request.
 */

/** Outcome of a dispatch, as far as it concerns the health of the target. */
export type DispatchOutcome =
  | 'done'
  /** The target was full although the model predicted room. */
  | 'full'
  /** Its answer broke off, was empty or didn't arrive. */
  | 'broken'
  /** No connection could be made. */
  | 'unreachable'
  /** A restarted target answered at its address. */
  | 'replaced'
  | 'cancelled';

/** How long a target is ejected after the first failure in a row, milliseconds. */
const EJECTION_MS: Record<DispatchOutcome, number> = {
  done: 0,
  cancelled: 0,
  // A few engine steps later the model may be right again.
  full: 250,
  broken: 500,
  // Most likely it is down; a restart takes seconds.
  unreachable: 1_500,
  // It doesn't come back unless it announces itself.
  replaced: 3_000,
};

/** Longest ejection, milliseconds; failures usually last five to ten seconds. */
const MAX_EJECTION_MS = 4_000;

/**
 * Failures in a row after which a target must pass a canary request. A single one may be chance or
 * caused by this system, for example by a long prefill that paused a stream; a canary request takes
 * the engine out of use for two seconds.
 */
const FAILURES_TO_CANARY = 2;

/**
 * Weight of a new outcome in the failure share, and the time constant by which the share decays
 * without new outcomes, milliseconds. Ten outcomes distinguish a target that fails two in five from
 * one that fails by chance.
 */
const OUTCOME_WEIGHT = 0.15;
const FAILURE_DECAY_MS = 5_000;

/** From this many failures in a row on, every ejection has the maximum length. */
const MAX_DOUBLINGS = 4;

export class TargetHealth {
  private failures = 0;

  private ejectedUntil = 0;

  private lastFailureShare = 0;

  private lastOutcomeAt = 0;

  /**
   * Share of its recent dispatches that failed or were refused. Counting only failures in a row
   * misses a target that fails two in five with successes in between; a healthy target should be
   * preferred to it.
   */
  failureShare(now: number): number {
    return this.lastFailureShare * Math.exp((this.lastOutcomeAt - now) / FAILURE_DECAY_MS);
  }

  /** Returns for how long the outcome ejects the target, milliseconds; 0 if it doesn't. */
  recordOutcome(outcome: DispatchOutcome, now: number): number {
    if (outcome !== 'cancelled') this.updateFailureShare(outcome === 'done' ? 0 : 1, now);
    if (outcome === 'done') this.failures = 0;
    if (EJECTION_MS[outcome] === 0) return 0;
    // Concurrent requests fail together; they count as one failure.
    if (now < this.ejectedUntil) return 0;
    const wantedMs = EJECTION_MS[outcome] * 2 ** Math.min(this.failures, MAX_DOUBLINGS);
    const ejectionMs = Math.min(MAX_EJECTION_MS, wantedMs);
    this.ejectedUntil = now + ejectionMs;
    if (outcome !== 'full') this.failures += outcome === 'broken' ? 1 : FAILURES_TO_CANARY;
    return ejectionMs;
  }

  /** Undoes the last failure, which was the fault of the VM that reported it. */
  retractFailure(now: number): void {
    if (this.failures === 0 || now >= this.ejectedUntil) return;
    this.ejectedUntil = now;
    this.failures = 0;
  }

  /**
   * Whether the target may get a request; after failures in a row only while idle, as a canary
   * request.
   */
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
