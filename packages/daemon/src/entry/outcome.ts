/**
 * Outcome of one attempt of a request. Unlike `targetMessage.SendResult`, which says how the connection ended, it says
 * whether the target may have run the request and what the caller has received.
 */
import type * as domain from '@celerydrift/domain';

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
