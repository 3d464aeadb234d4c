/**
 * Places one request on targets: for its next attempt, or on a successor while the present attempt is overdue. A
 * successor that was found is used by the next attempt.
 */
import * as clock from '../clock';
import type * as observer from '../observability/observer';
import type * as admittedRequest from './admittedRequest';
import type * as attempts from './attempts';
import type * as livenessProbes from './livenessProbes';
import type * as outcomes from './outcome';
import type * as permittedRun from './permittedRun';
import type * as placementTerms from './placementTerms';
import type * as reachability from './reachability';
import type * as requestState from './requestState';
import * as reservations from './reservations';
import * as responseEnd from './responseEnd';
import * as retryPolicy from './retryPolicy';
import * as succession from './succession';
import type * as placementChoice from './placementChoice';
import type * as targetSelector from './targetSelector';

export interface Dependencies {
  admitted: Pick<admittedRequest.AdmittedRequest, 'facts'>;
  terms: Pick<placementTerms.PlacementTerms, 'at'>;
  attempts: Pick<attempts.Attempts, 'excluded' | 'writers' | 'returnPauseMs' | 'returnsFrom'>;
  state: requestState.RequestState;
  selector: Pick<targetSelector.TargetSelector, 'choose'>;
  /** Where this VM has lost its paths; without it, it has lost none. */
  reachability?: Pick<reachability.Reachability, 'isCutOff'>;
  liveness: Pick<livenessProbes.LivenessProbes, 'check' | 'isRefusing'>;
  memory: reservations.Dependencies;
  /** Takes one retry out of the budget, if there is one. */
  spendRetry: () => boolean;
  observer: observer.Observer;
  now: () => number;
}

type Unplaced = outcomes.Outcome & { kind: 'unplaced' };

/** Why a request wasn't sent, for the log; for engines the leader's own log line has the details. */
const NO_PLACE_DETAIL: Record<placementChoice.NoPlaceReason, string> = {
  full: 'no target has a free slot',
  limited: 'rate limits of the targets allow no request in time',
  unavailable: 'all targets are unavailable to this VM',
  evacuated: 'all targets are in evacuated data centres',
};

const NO_PLACE: placementChoice.Choice = {
  kind: 'noPlace',
  retryAfterMs: responseEnd.RETRY_AFTER_MS,
};

export class RequestPlacements {
  private readonly succession: succession.Succession;

  /** Placements that were asked for. */
  private placements = 0;

  /** Continues what the overdue attempt began, once that has been given up. */
  private successor: succession.Successor | undefined;

  constructor(private readonly dependencies: Dependencies) {
    const { state, liveness, now, spendRetry } = dependencies;
    this.succession = new succession.Succession({
      choose: (excluded, attempt) => this.chooseSuccessor(excluded, attempt),
      liveness,
      newMemory: () => this.newMemory(),
      mayMove: () => retryPolicy.mayMove(state) && spendRetry(),
      now,
    });
  }

  get hasSuccessor(): boolean {
    return this.successor !== undefined;
  }

  /** Places the request for its next attempt. */
  async place(
    run: permittedRun.PermittedRun,
  ): Promise<{ kind: 'placed'; placed: succession.Successor } | Unplaced> {
    const { reachability: reach, state } = this.dependencies;
    if (!this.hasSuccessor && reach?.isCutOff === true) return unplaced('no path to targets');
    const successor = this.takeSuccessorFor(run);
    const choice = successor?.choice ?? (await this.chooseOrReturn(run));
    if (choice.kind === 'noPlace') {
      const { reason = 'full', retryAfterMs } = choice;
      return unplaced(NO_PLACE_DETAIL[reason], retryAfterMs);
    }
    const placed = { choice, memory: successor?.memory ?? this.newMemory() };
    if (state.isOver || !state.isAdmissible) {
      succession.release(placed);
      return unplaced('settings not confirmed fresh');
    }
    return { kind: 'placed', placed };
  }

  /** Looks for a target that may take over from an overdue attempt. */
  async seekSuccessor(attempt: succession.OverdueAttempt): Promise<void> {
    try {
      await this.succession.seek({
        ...attempt,
        giveUp: (successor) => {
          this.successor = successor;
          attempt.giveUp(successor);
        },
      });
    } catch (error) {
      const { requestId: request } = this.dependencies.admitted.facts;
      this.dependencies.observer.log('crashed', { request, detail: String(error) });
    }
  }

  /** Releases a successor that no attempt will use. */
  release(): void {
    const unused = this.takeSuccessor();
    if (unused !== undefined) succession.release(unused);
  }

  /** The target that was found before the last attempt was given up; none for a canary run, which has its own. */
  private takeSuccessorFor({
    endings,
    target,
  }: permittedRun.PermittedRun): succession.Successor | undefined {
    const successor = this.takeSuccessor();
    const isCanary = endings > 0 || target !== undefined;
    if (successor === undefined || !isCanary) return successor;
    succession.release(successor);
    return undefined;
  }

  private takeSuccessor(): succession.Successor | undefined {
    const { successor } = this;
    this.successor = undefined;
    return successor;
  }

  /** Places the request; a stream that has begun also returns to targets that it was sent to, if there is no other. */
  private async chooseOrReturn(run: permittedRun.PermittedRun): Promise<placementChoice.Choice> {
    const { attempts: made, state } = this.dependencies;
    const choice = await this.choose(run);
    const hasTargets = made.excluded.length > 0;
    if (choice.kind === 'placed' || !hasTargets || !retryPolicy.isContinuable(state)) return choice;
    await clock.sleep(made.returnPauseMs);
    return this.choose(run, { excluded: [] });
  }

  /**
   * Places the request on another target beside its present one. A stream that has begun also returns to targets that it
   * was sent to, if there is no other and the present one doesn't respond; if it is merely slow, the others were too.
   */
  private async chooseSuccessor(
    excluded: readonly string[],
    { target, hasAttemptsLeft, isResponsive }: succession.OverdueAttempt,
  ): Promise<placementChoice.Choice> {
    const { attempts: made, state } = this.dependencies;
    const run = { endings: 0, target: undefined };
    const choice = hasAttemptsLeft()
      ? await this.choose(run, { excluded: [...made.excluded, ...excluded] })
      : NO_PLACE;
    const writers = made.returnsFrom(target);
    const mayReturn = writers.length > 0 && retryPolicy.isContinuable(state);
    if (choice.kind === 'placed' || !mayReturn || (await isResponsive())) return choice;
    return this.choose(run, { excluded, writers });
  }

  private choose(
    { endings, target }: Pick<permittedRun.PermittedRun, 'endings' | 'target'>,
    limits: Partial<Pick<placementChoice.PlacementRequest, 'excluded' | 'writers'>> = {},
  ): Promise<placementChoice.Choice> {
    const { admitted, terms, attempts: made, selector, state } = this.dependencies;
    const { service } = state;
    // Each placement has its own id: the leader gets the end of one after it has placed the next.
    this.placements += 1;
    return selector.choose({
      ...terms.at(service),
      id: `${admitted.facts.requestId}/${this.placements}`,
      service,
      excluded: limits.excluded ?? made.excluded,
      writers: limits.writers ?? made.writers ?? (target === undefined ? undefined : [target]),
      endings: endings > 0 ? endings : undefined,
    });
  }

  private newMemory(): reservations.Reservations {
    const { admitted, memory } = this.dependencies;
    return new reservations.Reservations(admitted.facts.requestId, memory);
  }
}

function unplaced(detail: string, retryAfterMs = responseEnd.RETRY_AFTER_MS): Unplaced {
  return { kind: 'unplaced', detail, retryAfterMs };
}
