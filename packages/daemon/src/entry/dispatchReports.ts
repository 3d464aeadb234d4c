/** The dispatches of this entry, and the reports of their outcomes to the leader. */
import type * as domain from '@celerydrift/domain';
import type * as fleetState from '../fleet/fleetState';
import type * as leaderLink from '../fleet/leaderLink';
import type * as messages from '../fleet/messages';
import type * as peerClient from '../rpc/peerClient';
import type * as placementChoice from './placementChoice';

type DispatchOutcome = domain.allocation.targetHealth.DispatchOutcome;
type DispatchObservations = placementChoice.DispatchObservations;

export type DispatchTarget = Pick<messages.FinishedDispatch, 'target' | 'bornAt'>;

export interface Dependencies {
  fleetState: Pick<fleetState.FleetState, 'registry'>;
  link: Pick<leaderLink.LeaderLink, 'leader'>;
  client: Pick<peerClient.PeerClient, 'notify'>;
}

/** Outcomes of dispatches are batched for this long before they are reported to the leader, milliseconds. */
const REPORT_BATCH_MS = 5;

/** Interval at which reports are tried again while there is no leader, and how many of them are kept, at most. */
const LEADER_RETRY_MS = 100;
const MAX_KEPT = 4_096;

export class DispatchReports {
  /** Running dispatches on engines, by request id. */
  private readonly running = new Map<string, messages.RunningDispatch>();

  private finishedDispatches: messages.FinishedDispatches['dispatches'] = [];

  private verdicts: messages.TargetVerdict[] = [];

  constructor(private readonly dependencies: Dependencies) {}

  get dispatches(): messages.RunningDispatch[] {
    return [...this.running.values()];
  }

  /** Records a dispatch on an engine, and returns its target with the lifetime that is known here. */
  begin(
    request: messages.PlaceRequest,
    placement: Pick<domain.allocation.allocator.Placement, 'target'>,
  ): DispatchTarget {
    const target = this.dispatchTarget(placement.target);
    this.running.set(request.id, { request, ...target });
    return target;
  }

  /** The target of a placement with the lifetime that is known here, if any. */
  dispatchTarget(target: string): DispatchTarget {
    return { target, bornAt: this.dependencies.fleetState.registry.get(target)?.bornAt };
  }

  /**
   * Reports to the current leader, even if an earlier one placed the dispatch: the current one may count it as well.
   */
  report(
    id: string,
    target: DispatchTarget,
    outcome: DispatchOutcome,
    observed: DispatchObservations = {},
  ): void {
    this.running.delete(id);
    this.scheduleReports();
    this.finishedDispatches.push({ id, ending: outcome, ...target, ...observed });
  }

  /**
   * Reports that a placement was given up whose answer was lost, so that the leader releases it. A dispatch that runs under
   * its id reports its own end.
   */
  withdraw(id: string): void {
    if (this.running.has(id)) return;
    this.scheduleReports();
    this.finishedDispatches.push({ id, ending: 'cancelled', target: '' });
  }

  /** Reports whether another VM reaches a target that a dispatch of this entry didn't reach. */
  reportVerdict(target: string, isAlive: boolean): void {
    this.scheduleReports();
    this.verdicts.push({ ...this.dispatchTarget(target), isAlive });
  }

  /** The leader that is found may be the one that was lost, and counts what it placed until it is reported. */
  private keepUntilLed(): void {
    this.finishedDispatches.splice(0, this.finishedDispatches.length - MAX_KEPT);
    this.verdicts = [];
    if (this.finishedDispatches.length > 0) {
      setTimeout(() => this.sendReports(), LEADER_RETRY_MS).unref();
    }
  }

  private scheduleReports(): void {
    const isScheduled = this.finishedDispatches.length > 0 || this.verdicts.length > 0;
    if (!isScheduled) setTimeout(() => this.sendReports(), REPORT_BATCH_MS);
  }

  private sendReports(): void {
    const { leader } = this.dependencies.link;
    if (leader === '') {
      this.keepUntilLed();
      return;
    }
    const dispatches = this.finishedDispatches.splice(0);
    const verdicts = this.verdicts.splice(0);
    this.dependencies.client.notify(leader, 'ended', {
      dispatches,
      ...(verdicts.length > 0 && { verdicts }),
    } satisfies messages.FinishedDispatches);
  }
}
