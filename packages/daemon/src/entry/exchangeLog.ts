/** Logs and counts the placements, the failed attempts and the end of one caller's request. */
import type * as domain from '@celerydrift/domain';
import type * as observer from '../observability/observer';
import * as callerResponse from './callerResponse';
import type * as attempts from './attempts';
import type * as admittedRequest from './admittedRequest';
import type * as notRunGuarantee from './notRunGuarantee';

type Placement = domain.allocation.allocator.Placement;

export interface Dependencies {
  admitted: admittedRequest.AdmittedRequest;
  attempts: attempts.Attempts;
  reply: callerResponse.CallerResponse;
  observer: observer.Observer;
  now: () => number;
}

/**
 * Why a caller's connection was closed without a whole answer: no target could finish it, its time was over, the entry
 * has stopped, or an unexpected error.
 */
export type AbortReason = 'noTarget' | 'deadline' | 'stopped' | 'internalError';

/** How a request failed. */
export interface Failure {
  status: callerResponse.FailureStatus;
  detail: string;
  reason: AbortReason;
  /** When bytes of the last target's response last arrived, on the steady clock, milliseconds; 0 for never. */
  lastHeardAt: number;
}

export interface FailedAttempt {
  content: string;
  detail: string;
  repeated: boolean;
}

export class ExchangeLog {
  constructor(private readonly dependencies: Dependencies) {}

  placed({ target, helpers, firstTokenMs }: Placement, waitedMs: number): void {
    const { admitted, attempts: attemptsMade, reply, observer: observe } = this.dependencies;
    observe.log('requestPlaced', {
      request: admitted.facts.requestId,
      tokens: admitted.facts.promptTokens,
      waitedMs: Math.round(waitedMs),
      target,
      helpers: helpers.map(({ address }) => address),
      predictedMs: Math.round(firstTokenMs),
      attempt: attemptsMade.targets.length,
      resumeAfter: reply.lastEventId,
    });
  }

  attemptFailed({ content, detail, repeated }: FailedAttempt): void {
    const { admitted, attempts: attemptsMade, observer: observe } = this.dependencies;
    observe.log('attemptFailed', {
      request: admitted.facts.requestId,
      content,
      target: attemptsMade.targets.at(-1),
      detail,
      repeated,
    });
  }

  /** The caller has a target's complete response. */
  answered({ firstTokenMs }: Placement): void {
    const { admitted, reply, observer: observe, now } = this.dependencies;
    const { route, arrivedAt } = admitted;
    const { firstEventAt, maxGapMs, status } = reply;
    const firstMs = firstEventAt === 0 ? undefined : firstEventAt - arrivedAt;
    observe.timing(`request.${route.kind}`, now() - arrivedAt);
    if (firstMs !== undefined) observe.timing('request.firstEvent', firstMs);
    if (maxGapMs > 0) observe.timing('request.longestPause', maxGapMs);
    observe.count(`answers.${status}`);
    this.ended(status, {
      firstMs: firstMs === undefined ? undefined : Math.round(firstMs),
      predictedMs: Math.round(firstTokenMs),
      pauseMs: Math.round(maxGapMs),
    });
  }

  /** The caller is told that the request failed, and may have run; if its answer has begun, by a closed connection. */
  failed(failure: Failure): void {
    const { status, detail } = failure;
    const { isBegun } = this.dependencies.reply;
    if (isBegun) this.aborted(failure);
    else this.dependencies.observer.count(`answers.${status}.own`);
    this.ended(status, { detail, ...(isBegun && { isAborted: true }) });
  }

  private aborted({ detail, reason, lastHeardAt }: Failure): void {
    const { admitted, attempts: attemptsMade, reply, observer: observe, now } = this.dependencies;
    observe.count(`answers.aborted.${reason}`);
    observe.log('answerAborted', {
      request: admitted.facts.requestId,
      route: admitted.route.name,
      reason,
      detail,
      targets: attemptsMade.targets,
      lastEventId: reply.lastEventId,
      lastHeardMs: lastHeardAt === 0 ? undefined : Math.round(now() - lastHeardAt),
      tookMs: Math.round(now() - admitted.arrivedAt),
    });
  }

  /** The caller is told that no target ran the request. */
  refused({ refusals }: notRunGuarantee.NotRunGuarantee, detail: string): void {
    const { admitted, observer: observe } = this.dependencies;
    const status = callerResponse.NOT_RUN_STATUS;
    observe.count(`answers.${status}.own`);
    if (refusals.length > 0) {
      const evidence = refusals.map(({ connection, ...refusal }) => ({
        ...refusal,
        connection: connection?.port,
        messages: connection?.messages,
      }));
      const { facts, route } = admitted;
      const request = facts.requestId;
      observe.log('refusedAfterSend', { request, route: route.name, status, detail, evidence });
    }
    this.ended(status, { detail });
  }

  callerGone(): void {
    this.dependencies.observer.log('callerGone', {
      request: this.dependencies.admitted.facts.requestId,
    });
  }

  private ended(status: number, outcomeFields: object): void {
    const { admitted, attempts: attemptsMade, observer: observe, now } = this.dependencies;
    const { facts, route, arrivedAt } = admitted;
    observe.log('requestEnded', {
      request: facts.requestId,
      route: route.name,
      status,
      objectiveMs: route.objectiveMs,
      bearsPauseMs: route.pauseMs,
      tokens: facts.promptTokens,
      targets: attemptsMade.targets,
      tookMs: Math.round(now() - arrivedAt),
      ...outcomeFields,
    });
  }
}
