/**
 * The only place where an exchange ends its caller's response. What may end one that has begun, and on what evidence:
 *
 * - `complete`: a target's complete response.
 * - `callerLeft`: the caller closed its connection.
 * - `deadlinePassed`: the clock.
 * - `failAfter`: the outcome of an attempt, where `retryPolicy` allows no other one. Silence is no such outcome: an overdue
 *   attempt goes on until `succession` has another target that responds.
 * - `refuseSuspect`: the quarantine, where the request can't wait for it.
 * - `entryStopped`: the end of the time that a stop may take.
 * - `failUnexpectedly`: an error of this process.
 *
 * Beside an exchange, the ingress ends requests that have none yet when the entry has stopped, and `heldBytes` the responses
 * of callers that read too slowly.
 */
import * as callerResponse from './callerResponse';
import type * as admittedRequest from './admittedRequest';
import type * as deliveries from './deliveries';
import type * as exchangeLog from './exchangeLog';
import type * as guaranteeAudit from './guaranteeAudit';
import type * as outcomes from './outcome';
import type * as quarantineClient from './quarantineClient';

type Outcome = outcomes.Outcome;

export interface Dependencies {
  admitted: Pick<admittedRequest.AdmittedRequest, 'response' | 'facts'>;
  /** The only way to send the request, so it knows whether any target may have run it. */
  deliveries: Pick<deliveries.Deliveries, 'end' | 'presumeRun' | 'lastHeardAt'>;
  reply: Pick<callerResponse.CallerResponse, 'complete' | 'fail' | 'refuse'>;
  requestLog: Pick<exchangeLog.ExchangeLog, 'failed' | 'refused' | 'callerGone'>;
  /** Remembers which requests were refused as not run. */
  audit?: Pick<guaranteeAudit.GuaranteeAudit, 'refused'>;
  /** Time until a target of the service is available to this VM, milliseconds. */
  unavailableForMs: () => number;
  /** Stops the current attempt, if there is one. */
  interrupt: (outcome: Outcome) => void;
}

/** Default Retry-After, milliseconds. */
export const RETRY_AFTER_MS = 300;

/**
 * Retry-After while a copy of the request runs as a canary, milliseconds. Whether it crashes its target is known within
 * the time to a first event.
 */
const SUSPECT_RETRY_AFTER_MS = 500;

export class ResponseEnd {
  private hasEnded = false;

  /**
   * Whether the deadline has passed; a flag, because a timer may fire slightly before the clock reaches the deadline.
   */
  private isLate = false;

  constructor(private readonly dependencies: Dependencies) {}

  /** Whether the response was ended by anything but a target's complete response. */
  get isOver(): boolean {
    return this.hasEnded;
  }

  /** Passes on a target's complete response, if it is one for the caller. */
  complete(mayRepeat: boolean): callerResponse.CompletionResult {
    return this.dependencies.reply.complete(mayRepeat);
  }

  /** Stops whatever runs for a caller that disconnected. */
  callerLeft(): void {
    if (this.isSettled) return;
    this.dependencies.requestLog.callerGone();
    this.stop({ kind: 'gone' });
  }

  /** Stops whatever runs for a caller whose deadline passed. */
  deadlinePassed(): void {
    if (this.isSettled) return;
    this.isLate = true;
    this.fail('deadline exceeded', RETRY_AFTER_MS, 'deadline');
    this.stop({ kind: 'late' });
  }

  /** Stops whatever runs as the entry has stopped. */
  entryStopped(detail: string): void {
    if (this.isSettled) return;
    this.fail(detail, RETRY_AFTER_MS, 'stopped');
    this.stop({ kind: 'gone' });
  }

  /** Ends a request that isn't attempted again after this outcome. */
  failAfter(outcome: Outcome): void {
    if (outcome.kind === 'unplaced') {
      this.fail(outcome.detail, outcome.retryAfterMs);
      return;
    }
    const retryAfterMs = Math.max(RETRY_AFTER_MS, this.dependencies.unavailableForMs());
    this.fail('detail' in outcome ? outcome.detail : outcome.kind, retryAfterMs);
  }

  /**
   * Refuses a request that crashed three targets, or that waits for a canary run. The first has run, if under another
   * id, so a 503 would be false, and its caller would send it again. One with a quarantined part, or that waits, hasn't
   * run, so a 503 tells its caller when to retry.
   */
  refuseSuspect(denial: quarantineClient.Denial): void {
    if (denial.kind === 'busy') {
      this.fail('another request with the same fingerprint is running', SUSPECT_RETRY_AFTER_MS);
      return;
    }
    const { retryAfterMs } = denial;
    if (retryAfterMs === undefined) this.dependencies.deliveries.presumeRun();
    this.fail(
      retryAfterMs === undefined
        ? 'quarantined: it crashed targets'
        : 'quarantined: a part of its prompt crashed targets',
      Math.max(SUSPECT_RETRY_AFTER_MS, retryAfterMs ?? 0),
    );
  }

  failUnexpectedly(): void {
    this.fail('internal error', RETRY_AFTER_MS, 'internalError');
  }

  private get isSettled(): boolean {
    return this.isOver || this.dependencies.admitted.response.writableFinished;
  }

  private stop(outcome: Outcome): void {
    this.hasEnded = true;
    this.dependencies.interrupt(outcome);
  }

  private fail(
    detail: string,
    retryAfterMs: number,
    reason: exchangeLog.AbortReason = 'noTarget',
  ): void {
    if (this.isOver) return;
    this.hasEnded = true;
    const { deliveries: sent, requestLog, reply, audit, admitted } = this.dependencies;
    const guarantee = sent.end();
    if (guarantee === undefined) {
      const status = this.isLate ? 504 : 502;
      requestLog.failed({ status, detail, reason, lastHeardAt: sent.lastHeardAt });
      reply.fail(status);
      return;
    }
    audit?.refused(admitted.facts.requestId);
    requestLog.refused(guarantee, detail);
    reply.refuse(guarantee, retryAfterMs);
  }
}
