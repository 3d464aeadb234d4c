/**
 * Decides whether a request is attempted again, or waits to be. It neither waits nor spends anything itself; what a
 * decision depends on is read only where it matters, as some of it is expensive.
 */
import type * as domain from '@celerydrift/domain';
import type * as outcomes from './outcome';
import type * as quarantineClient from './quarantineClient';

type Outcome = outcomes.Outcome;
type Route = domain.catalogue.catalogue.Route;

/** What is known of a request between two attempts. */
export interface State {
  /** Whether the caller's response was ended by anything but a target's complete response. */
  readonly isOver: boolean;
  /** Whether the caller has received the beginning of an answer. */
  readonly isBegun: boolean;
  /** Whether the caller has received bytes that no other target can continue from. */
  readonly isUnrecoverable: boolean;
  readonly isRepeatable: boolean;
  /** Whether the key of the request, if it has one, may be believed now. */
  readonly isAdmissible: boolean;
  /** Whether any target may have run the request. */
  readonly mayHaveRun: boolean;
  readonly hasAttemptsLeft: boolean;
  /** Whether a target that may take over is in hand, for which the retry is paid. */
  readonly hasSuccessor: boolean;
  /** What the quarantine knows of the request. */
  readonly standing: quarantineClient.Standing;
  readonly elapsedMs: number;
  readonly timeLeftMs: number;
  /** How long the request may wait for a placement, milliseconds. */
  readonly patienceMs: number;
}

/** What a retry takes: nothing, or a part of the retry budget. */
export type RetryCost = 'free' | 'budget';

/** Whether a request may run on another target although it may have run already. */
export function isRepeatable({ kind, isResumable }: Pick<Route, 'kind' | 'isResumable'>): boolean {
  return kind === 'safe' || (kind === 'streaming' && isResumable);
}

/** What a retry at once after this outcome takes; undefined if the request may not be retried. */
export function retryCost(outcome: Outcome, state: State): RetryCost | undefined {
  if (outcome.kind !== 'failed' && outcome.kind !== 'notRun') return undefined;
  if (outcome.kind === 'failed' && !state.isRepeatable) return undefined;
  if (state.isUnrecoverable) return undefined;
  const hasTarget = state.hasAttemptsLeft || state.hasSuccessor;
  if (!hasTarget || state.timeLeftMs <= 0) return undefined;
  if (isRefused(state.standing)) return undefined;
  // The budget bounds what reaches targets, so a target that wasn't reached doesn't spend it.
  const isFree = outcome.kind === 'notRun' && outcome.ending === 'unreachable';
  return isFree || state.hasSuccessor ? 'free' : 'budget';
}

/**
 * Whether an attempt that goes on may be given up for another target. A suspect request may have to wait for permission
 * to run again, and what only its own target can complete must stay there.
 */
export function mayMove(
  state: Pick<State, 'isAdmissible' | 'isUnrecoverable' | 'standing'>,
): boolean {
  return state.isAdmissible && !state.isUnrecoverable && state.standing === 'free';
}

/** Whether the request is a stream that has begun and may go on at another target. */
export function isContinuable(state: State): boolean {
  const isOpen = !state.isOver && state.isBegun && !state.isUnrecoverable;
  return isOpen && state.isRepeatable && state.standing !== 'quarantined';
}

/** Whether the request was sent to no target, so that its next attempt is no retry. */
export function isUnsent(outcome: Outcome): boolean {
  return outcome.kind === 'unplaced' || outcome.kind === 'noMemory';
}

/**
 * Whether to wait for another request's canary run. One that has run already always does, as a refusal would be final
 * although targets are free. One that merely shares a part with a suspect is probably innocent, and the canary run
 * shows within a few hundred milliseconds whether it may run.
 */
export function awaitsCanary(denial: quarantineClient.Denial, state: State): boolean {
  if (denial.kind !== 'busy') return false;
  if (state.mayHaveRun) return true;
  return !denial.isCopy && state.elapsedMs < state.patienceMs;
}

/** Whether to wait until a part of the prompt leaves the quarantine, as the caller can't be told to come back. */
export function awaitsRelease(denial: quarantineClient.Denial, state: State): boolean {
  const isPart = denial.kind === 'quarantined' && denial.retryAfterMs !== undefined;
  return isPart && isContinuable(state);
}

/** Whether the quarantine keeps the request from running now. */
function isRefused(standing: quarantineClient.Standing): boolean {
  return standing === 'quarantined' || standing === 'partQuarantined';
}
