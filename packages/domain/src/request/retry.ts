/**
 * Decides whether and when a failed attempt is retried: only requests that are repeatable or
 * certainly did not run, never past the deadline, and from a budget proportional to recent first
 * attempts, so that an outage isn't multiplied by its retries.
 */
import * as quarantine from '../quarantine/quarantine';
import * as random from '../shared/random';
import * as outcome from './outcome';

export interface Options {
  /** Retries earned by each first attempt. */
  retriesPerFirstAttempt: number;
  /** Most retries that accumulate. */
  maxBalance: number;
  maxAttempts: number;
  baseDelayMs: number;
  maxDelayMs: number;
}

export const DEFAULT_OPTIONS: Options = {
  retriesPerFirstAttempt: 0.2,
  maxBalance: 50,
  maxAttempts: 6,
  baseDelayMs: 50,
  maxDelayMs: 2_000,
};

export class Budget {
  private balance: number;

  constructor(private readonly options: Options = DEFAULT_OPTIONS) {
    this.balance = options.maxBalance;
  }

  firstAttempt(): void {
    this.balance = Math.min(
      this.options.maxBalance,
      this.balance + this.options.retriesPerFirstAttempt,
    );
  }

  get hasRetry(): boolean {
    return this.balance >= 1;
  }

  /** Takes one retry out of the budget, if there is one. */
  spend(): boolean {
    if (!this.hasRetry) return false;
    this.balance -= 1;
    return true;
  }
}

export type Decision =
  | { kind: 'retry'; delayMs: number }
  | {
      kind: 'giveUp';
      reason: 'notRepeatable' | 'attempts' | 'budget' | 'deadline' | 'targetsLost';
    };

/**
 * Targets that may be lost while they run one request before the request counts as the cause.
 * Spending all attempts would crash twice as many; three targets that fail independently under one
 * request are rarer than a request that crashes its targets.
 */
const MAX_TARGETS_LOST = quarantine.QUARANTINE_CRASHES;

/** Faults that indicate that a target was lost while it ran a request. */
export const TARGET_LOST_FAULTS: readonly outcome.Fault[] = ['connectionLost', 'cutShort'];

/** Whether another attempt would be granted after `made` of them, if the time suffices. */
export function isAvailable(
  made: number,
  budget: Budget,
  { maxAttempts }: Pick<Options, 'maxAttempts'> = DEFAULT_OPTIONS,
): boolean {
  return made < maxAttempts && budget.hasRetry;
}

/** Decides what to do after the latest of `attempts` failed. */
export function decide(
  attempts: readonly outcome.Attempt[],
  repeatable: boolean,
  timeLeftMs: number,
  retryAfterMs: number,
  budget: Budget,
  source: random.Random,
  options: Options = DEFAULT_OPTIONS,
): Decision {
  const last = attempts.at(-1);
  if (last === undefined) return { kind: 'retry', delayMs: 0 };
  if (!repeatable && outcome.proof(last) === 'mayHaveRun') {
    return { kind: 'giveUp', reason: 'notRepeatable' };
  }
  if (last.fault === 'callerGone' || last.fault === 'deadline') {
    return { kind: 'giveUp', reason: 'deadline' };
  }
  const lostAttempts = attempts.filter(({ fault }) => TARGET_LOST_FAULTS.includes(fault));
  if (lostAttempts.length >= MAX_TARGETS_LOST) return { kind: 'giveUp', reason: 'targetsLost' };
  if (attempts.length >= options.maxAttempts) return { kind: 'giveUp', reason: 'attempts' };
  const ceiling = Math.min(options.maxDelayMs, options.baseDelayMs * 2 ** (attempts.length - 1));
  const delayMs = Math.max(retryAfterMs, source.uniform() * ceiling);
  if (delayMs >= timeLeftMs) return { kind: 'giveUp', reason: 'deadline' };
  // A planned stop is not a failure, so moving its streams costs no budget.
  const isFree = last.fault === 'targetStopped';
  if (!isFree && !budget.spend()) return { kind: 'giveUp', reason: 'budget' };
  return { kind: 'retry', delayMs };
}
