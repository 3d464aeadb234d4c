/**
 * One attempt of a request at the target that it is placed on: reserves its memory, sends it, awaits its outcome and
 * reports that. An overdue attempt is reported and goes on; only what the owner decides ends it early.
 */
import type * as protocols from '../edges/protocols';
import type * as admittedRequest from './admittedRequest';
import type * as attempts from './attempts';
import type * as callerResponse from './callerResponse';
import type * as deliveries from './deliveries';
import type * as exchangeLog from './exchangeLog';
import * as outcomes from './outcome';
import type * as permittedRun from './permittedRun';
import type * as placementTerms from './placementTerms';
import type * as quarantineClient from './quarantineClient';
import * as requestMessage from './requestMessage';
import type * as responseEnd from './responseEnd';
import * as responseTimeout from './responseTimeout';
import * as responseWatchdog from './responseWatchdog';
import * as retryPolicy from './retryPolicy';
import type * as succession from './succession';
import type * as targetAttempt from './targetAttempt';
import type * as targetEvidence from './targetEvidence';
import type * as targetMessage from './targetMessage';
import type * as placementChoice from './placementChoice';
import type * as targetSignals from './targetSignals';

type Outcome = outcomes.Outcome;

export interface Dependencies {
  admitted: admittedRequest.AdmittedRequest;
  service: string;
  attempts: attempts.Attempts;
  deliveries: Pick<deliveries.Deliveries, 'send'>;
  reply: callerResponse.OpenResponse;
  end: Pick<responseEnd.ResponseEnd, 'isOver' | 'complete'>;
  terms: placementTerms.PlacementTerms;
  requestLog: Pick<exchangeLog.ExchangeLog, 'placed' | 'answered'>;
  evidence: targetEvidence.TargetEvidence;
  protocol: Pick<protocols.TrafficProtocol, 'requestHeaders'>;
  signals: Pick<targetSignals.TargetSignals, 'bornAt'>;
  now: () => number;
  /** Called repeatedly while the response is overdue, until the attempt is given up or goes on. */
  onOverdue: (attempt: succession.OverdueAttempt) => void;
}

export class PlacedAttempt {
  /** The message on its way; undefined before it is sent and once the attempt is over. */
  private delivery: targetAttempt.Attempt | undefined;

  private isReleased = false;

  private sentAt = 0;

  /** Start time of the lifetime that it was sent to. */
  private sentToBornAt = 0;

  /** Whether the response was overdue when the attempt ended. */
  private wasOverdue = false;

  /** Whether the target may have crashed while running the request. */
  private mayHaveCrashed = false;

  private resolveEarly: ((outcome: Outcome) => void) | undefined;

  constructor(
    private readonly placed: succession.Successor,
    private readonly run: permittedRun.PermittedRun,
    private readonly dependencies: Dependencies,
  ) {}

  /** Makes the attempt; resolves once it is over. */
  async complete(): Promise<Outcome> {
    const { choice, memory } = this.placed;
    const isReserved = await memory.reserveAll(choice.placement.helpers);
    if (this.dependencies.end.isOver || !isReserved) {
      this.release('cancelled');
      return { kind: 'noMemory' };
    }
    const delivery = this.send();
    if (delivery.isWithheld) {
      this.release('cancelled');
      return { kind: 'withheld' };
    }
    this.begin(delivery);
    const outcome = await this.awaitOutcome(delivery);
    this.conclude(delivery, outcome);
    return outcome;
  }

  /** Ends the attempt with this outcome, if it is waiting for one. */
  interrupt(outcome: Outcome): void {
    this.resolveEarly?.(outcome);
  }

  /** Stops the attempt after an unexpected error, wherever it is. */
  abandon(): void {
    this.delivery?.cancel();
    this.delivery = undefined;
    if (!this.isReleased) this.release('cancelled');
  }

  /** What to check for a crash; undefined if the target can't have crashed while running the request. */
  get suspicion(): quarantineClient.SentRequest | undefined {
    if (!this.mayHaveCrashed) return undefined;
    const { target, address } = this.placed.choice.placement;
    const { sentAt, sentToBornAt: bornAt, run } = this;
    const { hasBegun } = this.dependencies.reply;
    return { target, address, bornAt, sentAt, run, hasBegun };
  }

  private readonly release: placementChoice.Release = (dispatchOutcome, observed) => {
    this.isReleased = true;
    this.placed.memory.release();
    this.placed.choice.release(dispatchOutcome, observed);
  };

  private send(): targetAttempt.Attempt {
    const { choice, memory } = this.placed;
    const { placement } = choice;
    const { admitted, service, terms, protocol, reply, attempts: made } = this.dependencies;
    const message = requestMessage.of({
      ...{ admitted, service, placement, memory, terms, protocol },
      resumeAfter: reply.lastEventId,
      isRepeat: made.targets.includes(placement.target),
    });
    return this.dependencies.deliveries.send(message, reply);
  }

  /** Records that the message was sent. */
  private begin(delivery: targetAttempt.Attempt): void {
    const { choice, memory } = this.placed;
    const { placement } = choice;
    const { attempts: made, reply, requestLog, terms, signals, now } = this.dependencies;
    this.sentToBornAt = signals.bornAt(placement.target);
    made.begin(placement.target, this.sentToBornAt);
    reply.beginAttempt(() => this.run.began());
    requestLog.placed(placement, terms.waitedMs);
    this.sentAt = now();
    this.run.sent();
    this.delivery = delivery;
    reply.attach(delivery);
    memory.renewFor({
      lastHeardAt: () => delivery.lastHeardAt,
      isResponsive: () => this.isResponsive(),
    });
  }

  /** Waits until the attempt completes, times out or is interrupted, whichever comes first. */
  private async awaitOutcome(delivery: targetAttempt.Attempt): Promise<Outcome> {
    const interrupted = new Promise<Outcome>((resolve) => {
      this.resolveEarly = resolve;
    });
    const watchdog = this.watchResponse((detail) => {
      const isOverdue = (): boolean => !delivery.isOver && watchdog?.isOverdue === true;
      this.dependencies.onOverdue({
        target: this.placed.choice.placement.target,
        isOverdue: () => isOverdue() && this.delivery === delivery,
        hasAttemptsLeft: () => this.hasAttemptsLeft,
        isResponsive: () => this.isResponsive(),
        giveUp: () => this.interrupt({ kind: 'failed', ending: 'broken', detail, isCut: true }),
      });
    });
    try {
      const completed = delivery.result.then((result) => this.classify(result));
      const outcome = await Promise.race([interrupted, completed]);
      this.wasOverdue = watchdog?.isOverdue ?? outcome.kind === 'late';
      return outcome;
    } finally {
      // Also after an unexpected error, as the watchdog would probe the target for ever.
      watchdog?.stop();
      this.resolveEarly = undefined;
    }
  }

  /** Only repeatable requests have a response timeout: a missing response doesn't prove that a request doesn't run. */
  private watchResponse(
    onTimeout: (detail: string) => void,
  ): responseWatchdog.ResponseWatchdog | undefined {
    const { admitted, now, reply } = this.dependencies;
    const { placement } = this.placed.choice;
    if (!this.isRepeatable) return undefined;
    return new responseWatchdog.ResponseWatchdog({
      thresholds: responseTimeout.thresholdsOf(admitted.route, placement.firstTokenMs),
      sentAt: now(),
      now,
      lastEventAt: () => reply.lastProgressAt(now()),
      isAlive: () => this.isResponsive(),
      hasAlternative: () => this.hasAlternative,
      onTimeout,
    });
  }

  private classify(result: targetMessage.SendResult): Outcome {
    const mayRepeat = (): boolean => this.isRepeatable && this.hasAttemptsLeft;
    return outcomes.ofResult(result, () => this.dependencies.end.complete(mayRepeat()));
  }

  /** Stops the delivery, and reports what the outcome shows of the target. */
  private conclude(delivery: targetAttempt.Attempt, outcome: Outcome): void {
    const { placement } = this.placed.choice;
    const { reply, requestLog, evidence, now } = this.dependencies;
    const { wasSent, relay } = delivery;
    delivery.cancel();
    this.delivery = undefined;
    const faulty = outcomes.faultyHelperOf(outcome, placement);
    this.recordEnd(outcome, wasSent, faulty);
    if (outcome.kind === 'answered') requestLog.answered(placement);
    // A target that cuts a response which its caller doesn't read is neither ill nor crashed.
    const wentUnread = outcome.kind === 'failed' && reply.wentUnread(now());
    const mayBePathLoss = outcomes.mayBePathLoss(outcome);
    const isOwnFault = mayBePathLoss && evidence.isPathLost(placement.target, relay);
    const isExcused = wentUnread || isOwnFault;
    this.release(isExcused ? 'cancelled' : outcomes.dispatchOutcomeOf(outcome), {
      faulty,
      gapMs: reply.typicalGapMs,
    });
    if (mayBePathLoss && !isExcused) void evidence.verifyFailure(outcome, placement);
    this.mayHaveCrashed =
      wasSent && !wentUnread && outcomes.mayHaveCrashed(outcome, this.wasOverdue);
  }

  private recordEnd(outcome: Outcome, wasSent: boolean, faulty: string | undefined): void {
    const { target } = this.placed.choice.placement;
    if (outcome.kind === 'withheld') {
      this.dependencies.attempts.withdraw(target);
      return;
    }
    // A lifetime that was replaced ran nothing, and its successor isn't the target that the request was sent to.
    const wasReplaced = outcome.kind === 'notRun' && outcome.ending === 'replaced';
    this.dependencies.attempts.ended({
      target,
      wasSent: wasSent && !wasReplaced,
      wasRefused: outcome.kind === 'notRun' && outcome.ending === 'full',
      wasHelperAtFault: faulty !== undefined,
    });
  }

  private get isRepeatable(): boolean {
    return retryPolicy.isRepeatable(this.dependencies.admitted.route);
  }

  private isResponsive(): Promise<boolean> {
    const { placement } = this.placed.choice;
    return this.dependencies.evidence.isResponsive(placement, this.delivery?.relay);
  }

  /** Whether another target may complete the request, if it responds. */
  private get hasAlternative(): boolean {
    const { reply, attempts: made } = this.dependencies;
    const { target } = this.placed.choice.placement;
    const mayReturn = reply.isBegun && made.returnsFrom(target).length > 0;
    return (this.hasAttemptsLeft || mayReturn) && !reply.isUnrecoverable;
  }

  private get hasAttemptsLeft(): boolean {
    const isSent = this.delivery?.wasSent === true;
    const { target } = this.placed.choice.placement;
    return this.dependencies.attempts.hasAttemptLeft(isSent ? target : undefined);
  }
}
