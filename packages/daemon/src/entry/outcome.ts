/**
 * Outcome of one attempt of a request. Unlike `targetMessage.SendResult`, which says how the connection ended, it says
 * whether the target may have run the request and what the caller has received.
 */
import type * as domain from '@celerydrift/domain';
import type * as callerResponse from './callerResponse';
import type * as targetMessage from './targetMessage';

type DispatchOutcome = domain.allocation.targetHealth.DispatchOutcome;

export type Outcome =
  /** The caller has the final response. */
  | { kind: 'answered' }
  /** The target is known not to have run it. */
  | {
      kind: 'notRun';
      ending: DispatchOutcome;
      detail: string;
      faulty?: string;
      /** Whether another VM didn't reach the target either. */
      isConfirmed?: boolean;
    }
  /** It may have run, and the caller has received nothing or part of a stream. */
  | {
      kind: 'failed';
      ending: DispatchOutcome;
      detail: string;
      /** Whether the response is incomplete: the connection broke, or the target timed out. */
      isCut: boolean;
    }
  /** The target is unavailable to this VM; nothing was sent. */
  | { kind: 'withheld' }
  /** No target could take it; nothing was sent. */
  | { kind: 'unplaced'; detail: string; retryAfterMs: number }
  /** The prefill helpers couldn't reserve memory; nothing was sent. */
  | { kind: 'noMemory' }
  /** The caller disconnected. */
  | { kind: 'gone' }
  /** The deadline passed. */
  | { kind: 'late' };

/** Outcome of an attempt that reached out to its target and wasn't completed there. */
export type FailedOutcome = Outcome & { kind: 'failed' | 'notRun' };

/** Outcome of an attempt whose delivery ended; `complete` passes a complete response on to the caller, if it is usable. */
export function ofResult(
  result: targetMessage.SendResult,
  complete: () => callerResponse.CompletionResult,
): Outcome {
  if (result.kind === 'notSent') {
    const { detail, isConfirmed } = result;
    return { kind: 'notRun', ending: 'unreachable', detail, isConfirmed };
  }
  if (result.kind === 'broken') {
    return { kind: 'failed', ending: 'broken', detail: result.detail, isCut: true };
  }
  if (result.kind === 'foreign') {
    return { kind: 'failed', ending: 'broken', detail: result.detail, isCut: false };
  }
  if (result.kind === 'cancelled') return { kind: 'gone' };
  if (result.kind === 'withheld') return result;
  const completion = complete();
  if (completion.kind === 'passedOn') return { kind: 'answered' };
  if (completion.kind === 'notRun') {
    const { detail, faulty, isWrongLifetime } = completion;
    return { kind: 'notRun', ending: isWrongLifetime ? 'replaced' : 'full', detail, faulty };
  }
  return { kind: 'failed', ending: 'broken', detail: completion.detail, isCut: false };
}

/** The prefill helper that made a request fail; undefined if it was the selected target itself. */
export function faultyHelperOf(
  outcome: Outcome,
  { helpers }: domain.allocation.allocator.Placement,
): string | undefined {
  const faultyTarget = outcome.kind === 'notRun' ? outcome.faulty : undefined;
  return helpers.find(({ target, address }) => faultyTarget === target || faultyTarget === address)
    ?.target;
}

export function dispatchOutcomeOf(outcome: Outcome): DispatchOutcome {
  if (outcome.kind === 'answered') return 'done';
  return 'ending' in outcome ? outcome.ending : 'cancelled';
}

/** Whether a lost path of this VM would look the same: nothing came from the target, and no other VM was asked. */
export function mayBePathLoss(outcome: Outcome): boolean {
  if (outcome.kind === 'failed') return outcome.isCut;
  return (
    outcome.kind === 'notRun' && outcome.ending === 'unreachable' && outcome.isConfirmed !== true
  );
}

/**
 * Whether the target may have crashed: its connection broke, or it was overdue when its caller left or the deadline
 * passed.
 */
export function mayHaveCrashed(outcome: Outcome, wasOverdue: boolean): boolean {
  if (outcome.kind === 'failed') return outcome.isCut;
  return wasOverdue && (outcome.kind === 'gone' || outcome.kind === 'late');
}
