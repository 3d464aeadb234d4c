/** What a request states about itself to be placed: its size, the time that it has, and what sets it apart from others. */
import type * as roleSettings from '../configuration/roleSettings';
import type * as callerResponse from './callerResponse';
import type * as admittedRequest from './admittedRequest';
import type * as requestContent from './requestContent';
import * as responseTimeout from './responseTimeout';
import type * as placementChoice from './placementChoice';

export interface Dependencies {
  admitted: admittedRequest.AdmittedRequest;
  content: Pick<requestContent.RequestContent, 'fingerprint'>;
  reply: Pick<callerResponse.CallerResponse, 'lastEventAt' | 'lastEventId'>;
  contentionMode: roleSettings.ContentionMode | undefined;
  now: () => number;
}

export type Terms = Omit<
  placementChoice.PlacementRequest,
  'id' | 'service' | 'excluded' | 'writers' | 'endings'
>;

/**
 * Share of the caller's timeout that a request may wait for a placement; the rest is for the prefill and for a second
 * target. A late response is worth a quarter of one in time, a refusal nothing. With 0.5, short prompts that a burst
 * left without a placement (749 in a replay) were refused only after a second.
 */
const MAX_WAIT_SHARE = 0.3;

export class PlacementTerms {
  /** When the time of the request is over, on the clock of `now`. */
  readonly deadline: number;

  constructor(private readonly dependencies: Dependencies) {
    const { route, facts, arrivedAt } = dependencies.admitted;
    this.deadline = arrivedAt + Math.min(route.timeoutMs, facts.patienceMs ?? Infinity);
  }

  get timeLeftMs(): number {
    return this.deadline - this.dependencies.now();
  }

  /** How long the request may wait for a placement, milliseconds. */
  get patienceMs(): number {
    const { route } = this.dependencies.admitted;
    const availableMs = Math.min(this.timeLeftMs, responseTimeout.callerTimeoutMs(route));
    return Math.max(0, MAX_WAIT_SHARE * availableMs);
  }

  /**
   * How long the caller has waited for a first event: 0 for a stream that resumes, as its first event has arrived, and
   * the objective at most for a request that moves to a second target. With a longer wait the allocator would consider
   * every engine too late to be worth using, and an interrupted stream would be aborted although engines are free.
   */
  get waitedMs(): number {
    const { admitted, reply, now } = this.dependencies;
    if (reply.lastEventId !== undefined) return 0;
    return Math.min(now() - admitted.arrivedAt, admitted.route.objectiveMs);
  }

  /** Urgency class at a service, in mode `adaptive` where requests of the service are of several classes. */
  urgencyAt(service: string): { urgency?: number } {
    if (!this.isAdaptive) return {};
    const urgency = this.dependencies.admitted.urgencyAt?.(service);
    return urgency === undefined ? {} : { urgency };
  }

  /** The terms for a placement at a service, as they are now. */
  at(service: string): Terms {
    const { facts, route } = this.dependencies.admitted;
    const maxAnswerTokens = facts.maxAnswerTokens ?? Infinity;
    const answerTokens = Math.min(maxAnswerTokens, facts.likelyAnswerTokens ?? maxAnswerTokens);
    return {
      tokens: facts.promptTokens ?? 0,
      answerTokens: Number.isFinite(answerTokens) ? answerTokens : 0,
      objectiveMs: route.objectiveMs,
      pauseMs: route.pauseMs,
      waitedMs: this.waitedMs,
      patienceMs: this.patienceMs,
      ...this.competitionAt(service),
    };
  }

  private get isAdaptive(): boolean {
    return this.dependencies.contentionMode === 'adaptive';
  }

  /** What the leader needs to decide between callers that compete for engines. */
  private competitionAt(service: string): Partial<Terms> {
    if (!this.isAdaptive) return {};
    const { admitted, reply, content, now } = this.dependencies;
    const { route, arrivedAt, organisation } = admitted;
    const silentMs = now() - Math.max(arrivedAt, reply.lastEventAt);
    const leavesInMs = Math.min(this.timeLeftMs, responseTimeout.callerTimeoutMs(route) - silentMs);
    return {
      ...(organisation !== undefined && { organisation }),
      ...this.urgencyAt(service),
      content: content.fingerprint,
      timeLeftMs: Math.max(0, this.timeLeftMs),
      ...(route.kind === 'streaming' && { leavesInMs: Math.max(0, leavesInMs) }),
    };
  }
}
