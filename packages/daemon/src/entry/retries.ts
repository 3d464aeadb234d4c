/** Waits until a request may be attempted again, as `retryPolicy` decides, and pays for the retry. */
import * as clock from '../clock';
import type * as attempts from './attempts';
import type * as outcomes from './outcome';
import type * as quarantineClient from './quarantineClient';
import * as retryPolicy from './retryPolicy';
import type * as targetSignals from './targetSignals';

type Outcome = outcomes.Outcome;

export interface Dependencies {
  state: retryPolicy.State;
  attempts: Pick<attempts.Attempts, 'startOver' | 'isAtTargetLimit' | 'returnPauseMs'>;
  /** Takes one retry out of the budget, if there is one. */
  spendRetry: () => boolean;
  signals: Pick<targetSignals.TargetSignals, 'isGone'>;
  /** Called after a failed attempt with whether it is retried at once. */
  onFailure: (outcome: outcomes.FailedOutcome, isRetried: boolean) => void;
}

/** Interval at which an interrupted request checks whether the canary run of its copy is over, milliseconds. */
const CANARY_POLL_MS = 100;

/** Pause before a stream that has begun, and has no target any more, is placed again, milliseconds. */
const CONTINUATION_RETRY_MS = 100;

/** Retries of a memory reservation for a prompt larger than one engine, and the pause between them, milliseconds. */
const MAX_RESERVATION_RETRIES = 5;
const RESERVATION_RETRY_MS = 200;

/**
 * Pause before a request that was withheld repeatedly is placed again, milliseconds. A leader that doesn't know yet why
 * places it where it can't be sent; updates take a few round trips, or up to a poll interval.
 */
const WITHHELD_RETRY_MS = 100;

export class Retries {
  private reservationRetries = 0;

  /** Attempts that were withheld from their targets. */
  private withheldAttempts = 0;

  constructor(private readonly dependencies: Dependencies) {}

  /** Waits for a permit that was denied for now; resolves to whether to ask for it again. */
  async awaitPermit(denial: quarantineClient.Denial): Promise<boolean> {
    const { state } = this.dependencies;
    if (retryPolicy.awaitsCanary(denial, state)) await clock.sleep(CANARY_POLL_MS);
    else if (retryPolicy.awaitsRelease(denial, state)) await clock.sleep(CONTINUATION_RETRY_MS);
    else return false;
    return !state.isOver;
  }

  /** Whether the request is attempted again after this outcome; resolves when it is time to. */
  async shouldRetry(outcome: Outcome): Promise<boolean> {
    const { state, attempts: made } = this.dependencies;
    if (outcome.kind === 'answered' || state.isOver) return false;
    if (outcome.kind === 'withheld') return this.placeAgain();
    if (outcome.kind === 'noMemory' && this.reservationRetries < MAX_RESERVATION_RETRIES) {
      this.reservationRetries += 1;
      await clock.sleep(RESERVATION_RETRY_MS);
      return true;
    }
    const isGranted = this.takeRetry(outcome);
    this.reportFailure(outcome, isGranted);
    if (!isGranted && !(await this.continueLater(outcome))) return false;
    // A successor has just responded.
    if (made.isAtTargetLimit && !state.hasSuccessor) await clock.sleep(made.returnPauseMs);
    return true;
  }

  /** The target became unavailable between its selection and the attempt; the next selection excludes it. */
  private async placeAgain(): Promise<boolean> {
    this.withheldAttempts += 1;
    if (this.withheldAttempts > 1) await clock.sleep(WITHHELD_RETRY_MS);
    return !this.dependencies.state.isOver;
  }

  private reportFailure(outcome: Outcome, isRetried: boolean): void {
    if (outcome.kind !== 'failed' && outcome.kind !== 'notRun') return;
    this.dependencies.onFailure(outcome, isRetried);
  }

  /**
   * Waits until a stream that has begun may be attempted again; false if it may not. Its caller can't be told to come back,
   * and a target that is free or within reach only later still completes the answer.
   */
  private async continueLater(outcome: Outcome): Promise<boolean> {
    const { state, attempts: made, signals } = this.dependencies;
    const isUnsent = retryPolicy.isUnsent(outcome);
    while (retryPolicy.isContinuable(state)) {
      made.startOver((lifetime) => signals.isGone(lifetime));
      if (!isUnsent && !state.hasAttemptsLeft) return false;
      await clock.sleep(CONTINUATION_RETRY_MS);
      if (!state.isOver && (isUnsent || this.takeRetry(outcome))) return true;
    }
    return false;
  }

  /** Whether the request may be retried at once; if so, spends what that takes. */
  private takeRetry(outcome: Outcome): boolean {
    const cost = retryPolicy.retryCost(outcome, this.dependencies.state);
    return cost === 'free' || (cost === 'budget' && this.dependencies.spendRetry());
  }
}
