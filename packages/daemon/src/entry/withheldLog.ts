/**
 * Logs which targets this entry begins to leave out because all entries that relay its messages withhold them: one line
 * for each change, however many targets there are.
 */
import type * as domain from '@celerydrift/domain';
import type * as observer from '../observability/observer';

export type LeftOut = Required<domain.reachability.withheldTargets.WithheldTarget>;

/** Maximum number of targets that a line names. */
const MAX_NAMED = 8;

export class WithheldLog {
  private leftOut = new Set<string>();

  constructor(private readonly observe: Pick<observer.Observer, 'log'>) {}

  /** Called with all targets that are left out now. */
  update(targets: readonly LeftOut[]): void {
    const begun = targets.filter(({ target }) => !this.leftOut.has(target));
    this.leftOut = new Set(targets.map(({ target }) => target));
    if (begun.length === 0) return;
    this.observe.log('targetsWithheld', {
      targets: begun.slice(0, MAX_NAMED).map(({ target }) => target),
      begun: begun.length,
      leftOut: targets.length,
      forMs: Math.round(Math.max(...begun.map(({ forMs }) => forMs))),
    });
  }
}
