/** Placements by the leader's allocator, which sees the dispatches of all entries. */
import type { Result } from 'ts-results';
import * as clock from '../clock';
import type * as leaderLink from '../fleet/leaderLink';
import type * as messages from '../fleet/messages';
import type * as errors from '../rpc/errors';
import type * as peerClient from '../rpc/peerClient';
import * as coldGrants from './coldGrants';
import type * as dispatchReports from './dispatchReports';
import type * as placementChoice from './placementChoice';

type Choice = placementChoice.Choice;
type PlacementRequest = placementChoice.PlacementRequest;
type PlaceResult = Result<messages.PlaceAnswer, errors.CallError>;

export interface Dependencies {
  name: string;
  dataCentre: string;
  link: leaderLink.LeaderLink;
  client: Pick<peerClient.PeerClient, 'call'>;
  reports: Pick<
    dispatchReports.DispatchReports,
    'begin' | 'dispatchTarget' | 'report' | 'withdraw'
  >;
  /** Grants for requests to cold targets; without them nothing is known of cold targets. */
  coldGrants?: Pick<coldGrants.ColdGrants, 'begin' | 'add'>;
  now: () => number;
}

/** A leader that last confirmed this entry longer ago isn't asked, milliseconds: two of the usual intervals. */
const MAX_LEADER_AGE_MS = 1_300;

/** Time that the leader's answer may take beyond the wait for a placement, milliseconds: ten times the usual. */
const PLACE_TIMEOUT_MS = 150;

/**
 * Prompts with a shorter objective, milliseconds, would miss it while the entry detects the loss of the leader. They
 * stop waiting for the leader's placement once it leaves a liveness probe unanswered for `LEADER_OVERDUE_MS`, thirty
 * round trips. A leader that is only busy, or has no free engine for the prompt, answers the probe within a few.
 */
const SHORT_OBJECTIVE_MS = 900;
const SHORT_CHECK_INTERVAL_MS = 60;
const LEADER_OVERDUE_MS = 50;

/** How long after its deadline a late placement is still received, to release it at the leader, milliseconds. */
const LATE_ANSWER_WINDOW_MS = 5_000;

export class LeaderPlacement {
  constructor(private readonly dependencies: Dependencies) {}

  /** Asks the leader for a placement; undefined if there is no leader, or it is lost meanwhile. */
  async place(
    request: PlacementRequest,
    { until, leavesAt }: Pick<placementChoice.WaitDeadlines, 'until' | 'leavesAt'>,
  ): Promise<Choice | undefined> {
    const { link, now } = this.dependencies;
    const { leader } = link;
    if (leader === '' || link.confirmationAgeMs >= MAX_LEADER_AGE_MS) return undefined;
    return this.requestPlacement(leader, {
      ...request,
      patienceMs: Math.max(0, until - now()),
      ...(request.leavesInMs !== undefined && { leavesInMs: Math.max(0, leavesAt - now()) }),
    });
  }

  private async requestPlacement(
    leader: string,
    request: PlacementRequest,
  ): Promise<Choice | undefined> {
    const { name, dataCentre, client, link, reports, coldGrants: grants } = this.dependencies;
    const message: messages.PlaceRequest = { ...request, entry: name, dataCentre };
    const ticket = grants?.begin();
    const pending = client.call<messages.PlaceAnswer>(leader, 'place', message, {
      timeoutMs: longestWaitMs(request) + LATE_ANSWER_WINDOW_MS,
      toleratesDelay: true,
    });
    const answer = await this.awaitLeader(pending, request);
    if (answer === undefined) {
      void pending.then((late) => this.releaseLatePlacement(request, late));
      return undefined;
    }
    if (answer.err || answer.val.kind === 'redirect') {
      if (answer.err && answer.val.mayHaveArrived) reports.withdraw(request.id);
      link.reportFailure(leader);
      return undefined;
    }
    if (answer.val.kind === 'noPlace') return answer.val;
    const { placement } = answer.val;
    coldGrants.addPlacement(grants, placement, ticket);
    const target = reports.begin(message, placement);
    return {
      kind: 'placed',
      placement,
      release: (outcome, observed) => reports.report(request.id, target, outcome, observed),
    };
  }

  /** The leader's answer; undefined if it is late, or if the leader is lost or appears to be. */
  private async awaitLeader<T>(
    pending: Promise<T>,
    request: PlacementRequest,
  ): Promise<T | undefined> {
    const { link } = this.dependencies;
    const hasShortObjective = request.objectiveMs < SHORT_OBJECTIVE_MS;
    let giveUp = (): void => undefined;
    const gaveUp = new Promise<undefined>((resolve) => {
      giveUp = () => resolve(undefined);
    });
    // Repeated, because a leader that responded a moment ago isn't probed at once.
    const check = (): void => {
      void link.probe();
      if (!hasShortObjective || link.unansweredMs <= LEADER_OVERDUE_MS) return;
      clock.afterPendingEvents(() => {
        if (link.unansweredMs > LEADER_OVERDUE_MS) giveUp();
      });
    };
    const checks = setInterval(
      check,
      hasShortObjective ? SHORT_CHECK_INTERVAL_MS : PLACE_TIMEOUT_MS,
    );
    const stopTimeout = clock.startTimeout(longestWaitMs(request) + PLACE_TIMEOUT_MS, giveUp);
    const stopListening = link.onLost(giveUp);
    const answer = await Promise.race([pending, gaveUp]);
    clearInterval(checks);
    stopTimeout();
    stopListening();
    return answer;
  }

  /** Releases a placement whose answer came after the deadline or was lost; the leader would count an unused dispatch. */
  private releaseLatePlacement({ id }: PlacementRequest, late: PlaceResult): void {
    const { reports } = this.dependencies;
    if (late.err && late.val.mayHaveArrived) reports.withdraw(id);
    if (late.err || late.val.kind !== 'placed') return;
    reports.report(id, reports.dispatchTarget(late.val.placement.target), 'cancelled');
  }
}

/** How long a request may wait for the leader's answer, milliseconds. */
function longestWaitMs({ patienceMs, leavesInMs = 0 }: PlacementRequest): number {
  return Math.max(patienceMs, leavesInMs);
}
