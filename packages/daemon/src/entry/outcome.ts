/** What one sending of a request came to, beyond how its connection ended. */
import type * as domain from '@celerydrift/domain';

type DispatchOutcome = domain.allocation.soundness.Ending;

export type Outcome =
  /** The caller has its final answer. */
  | { kind: 'answered' }
  /** The target certainly didn't run it. */
  | { kind: 'notRun'; ending: DispatchOutcome; detail: string; faulty?: string }
  /** It may have run, and the caller has nothing or a part of a stream. */
  | {
      kind: 'failed';
      ending: DispatchOutcome;
      detail: string;
      /** Whether nothing came to an end: the connection broke, or the target fell silent. */
      isCut: boolean;
    }
  /** The target wants no request from this VM now; nothing was sent. */
  | { kind: 'withheld' }
  /** The helpers had no memory to reserve; nothing was sent. */
  | { kind: 'noMemory' }
  | { kind: 'gone' }
  | { kind: 'late' };

/** The helper that made a request fail; undefined where it was the chosen target itself. */
export function faultyHelperOf(
  outcome: Outcome,
  { helpers }: domain.allocation.allocator.Placement,
): string | undefined {
  const named = outcome.kind === 'notRun' ? outcome.faulty : undefined;
  return helpers.find(({ target, address }) => named === target || named === address)?.target;
}

export function dispatchOutcomeOf(outcome: Outcome): DispatchOutcome {
  if (outcome.kind === 'answered') return 'done';
  return 'ending' in outcome ? outcome.ending : 'cancelled';
}

/** Whether the target may have ended: its connection broke, or it was silent until its caller left. */
export function mayHaveCrashed(outcome: Outcome, wasOverdue: boolean): boolean {
  if (outcome.kind === 'failed') return outcome.isCut;
  return wasOverdue && (outcome.kind === 'gone' || outcome.kind === 'late');
}
