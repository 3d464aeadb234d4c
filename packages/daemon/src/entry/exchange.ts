/**
 * Handles one caller's request from its route to its final response. That is either a target's own response or one
 * whose status states exactly what is known: 503 guarantees that the request did not run and never will; 502 and 504
 * guarantee nothing.
 */
import type * as http from 'node:http';
import * as domain from '@celerydrift/domain';
import * as clock from '../clock';
import type * as roleSettings from '../configuration/roleSettings';
import type * as protocols from '../edges/protocols';
import type * as observer from '../observability/observer';
import * as callerResponse from './callerResponse';
import * as attempts from './attempts';
import * as deliveries from './deliveries';
import type * as guaranteeAudit from './guaranteeAudit';
import type * as targetSelector from './targetSelector';
import type * as permittedRun from './permittedRun';
import type * as quarantineClient from './quarantineClient';
import * as exchangeLog from './exchangeLog';
import type * as failureVerification from './failureVerification';
import type * as heldBytes from './heldBytes';
import type * as livenessProbes from './livenessProbes';
import type * as pathMonitor from './pathMonitor';
import type * as reachability from './reachability';
import type * as relayPeers from './relayPeers';
import type * as rateLimitClient from './rateLimitClient';
import * as outcomes from './outcome';
import * as placementTerms from './placementTerms';
import * as requestContent from './requestContent';
import * as reservations from './reservations';
import * as responseTimeout from './responseTimeout';
import * as responseWatchdog from './responseWatchdog';
import * as succession from './succession';
import type * as targetAttempt from './targetAttempt';
import type * as targetClient from './targetClient';
import type * as targetMessage from './targetMessage';
import type * as targetSignals from './targetSignals';

type Route = domain.catalogue.catalogue.Route;
type Outcome = outcomes.Outcome;

export interface Dependencies {
  protocol: protocols.TrafficProtocol;
  selector: targetSelector.TargetSelector;
  targets: targetClient.TargetClient;
  liveness: Pick<livenessProbes.LivenessProbes, 'check'>;
  verification: Pick<failureVerification.FailureVerification, 'verify'>;
  /** Which paths of this VM are lost, and the entries that relay messages; without it no path is lost. */
  reachability?: Pick<reachability.Reachability, 'isCutOff'> & {
    paths: Pick<pathMonitor.PathMonitor, 'isLost'>;
    peers: Pick<relayPeers.RelayPeers, 'isReady'>;
  };
  limits: Pick<rateLimitClient.RateLimitClient, 'spent'>;
  signals: Pick<
    targetSignals.TargetSignals,
    'unavailable' | 'backOffMs' | 'bornAt' | 'hasEvacuations'
  >;
  quarantine: Pick<quarantineClient.QuarantineClient, 'permit' | 'checkForCrash' | 'standingOf'>;
  budgets: domain.request.repeatBudget.RepeatBudgets;
  /** Remembers which requests were refused as not run. */
  audit?: Pick<guaranteeAudit.GuaranteeAudit, 'received' | 'refused'>;
  observer: observer.Observer;
  random: domain.shared.random.Random;
  now: () => number;
  /** Whether the settings in force were confirmed recently enough to admit keys. */
  isFresh: () => boolean;
  /** `arrival` by default. */
  contentionMode?: roleSettings.ContentionMode;
}

export interface AdmittedRequest {
  request: http.IncomingMessage;
  response: http.ServerResponse;
  facts: protocols.CallerMetadata;
  route: Route;
  organisation: string | undefined;
  /** Urgency class at a service; undefined where all requests of the service are of one class. */
  urgencyAt?: (service: string) => number | undefined;
  body: Buffer;
  arrivedAt: number;
  held: heldBytes.Holding;
}

/** Default Retry-After, milliseconds. */
const RETRY_AFTER_MS = 300;

/** Pause before a request returns to a target that refused it, milliseconds: two engine steps. */
const SAME_TARGET_RETRY_MS = 100;

/**
 * Retry-After while a copy of the request runs as a canary, milliseconds. Whether it crashes its target is known within
 * the time to a first event.
 */
const SUSPECT_RETRY_AFTER_MS = 500;

/** Interval at which an interrupted request checks whether the canary run of its copy is over, milliseconds. */
const CANARY_POLL_MS = 100;

/** Pause before a stream that has begun, and has no target any more, is placed again, milliseconds. */
const CONTINUATION_RETRY_MS = 100;

/** Why a request wasn't sent, for the log; for engines the leader's own log line has the details. */
const NO_PLACE_DETAIL: Record<targetSelector.NoPlaceReason, string> = {
  full: 'no target has a free slot',
  limited: 'rate limits of the targets allow no request in time',
  unavailable: 'all targets are unavailable to this VM',
  evacuated: 'all targets are in evacuated data centres',
};

/** Retries of a memory reservation for a prompt larger than one engine, and the pause between them, milliseconds. */
const MAX_RESERVATION_RETRIES = 5;
const RESERVATION_RETRY_MS = 200;

/**
 * Pause before a request that was withheld repeatedly during an evacuation is placed again, milliseconds. A leader that
 * doesn't know the order yet places it where it can't be sent; updates take a few round trips, or up to a poll interval.
 */
const WITHHELD_RETRY_MS = 100;

export class Exchange {
  private readonly content: requestContent.RequestContent;

  private readonly terms: placementTerms.PlacementTerms;

  private readonly attempts: attempts.Attempts;

  private readonly reply: callerResponse.CallerResponse;

  private readonly requestLog: exchangeLog.ExchangeLog;

  private readonly succession: succession.Succession;

  /** The only way to send the request, so it knows whether any target may have run it. */
  private readonly deliveries: deliveries.Deliveries;

  private isOver = false;

  /**
   * Whether the deadline has passed; a flag, because a timer may fire slightly before the clock reaches the deadline.
   */
  private isLate = false;

  private reservationRetries = 0;

  /** Attempts that were withheld from their targets. */
  private withheldAttempts = 0;

  /** Placements that were asked for. */
  private placements = 0;

  /** Continues what the overdue attempt began, once that has been given up. */
  private successor: succession.Successor | undefined;

  private attempt: targetAttempt.Attempt | undefined;

  /** Target of the current attempt. */
  private activeTarget: string | undefined;

  /** Whether the last target's response was overdue when its attempt ended. */
  private wasOverdue = false;

  /** Releases the placement of the current attempt; undefined if there is none. */
  private releaseCurrent: targetSelector.Release | undefined;

  private sentAt = 0;

  /** When bytes of the last finished attempt's response last arrived; 0 for never. */
  private lastHeardAt = 0;

  /** Start time of the lifetime that the current attempt was sent to. */
  private sentToBornAt = 0;

  /** Whether the last target may have crashed while running the request. */
  private mayHaveCrashed = false;

  private interrupt: ((outcome: Outcome) => void) | undefined;

  /** Service that the request goes to; empty until it is selected. */
  private service = '';

  /** Retry budget of the service; undefined until the service is selected. */
  private budget: domain.request.repeatBudget.RepeatBudget | undefined;

  constructor(
    private readonly admitted: AdmittedRequest,
    private readonly dependencies: Dependencies,
  ) {
    const { route, facts, response, request } = admitted;
    this.attempts = new attempts.Attempts(route.maxAttempts);
    this.deliveries = new deliveries.Deliveries(dependencies.targets);
    this.reply = new callerResponse.CallerResponse(response, route, facts, admitted.held);
    const { attempts: attemptsMade, reply } = this;
    const { observer: observe, now, contentionMode } = dependencies;
    this.content = new requestContent.RequestContent(admitted, dependencies.protocol);
    const { content } = this;
    this.terms = new placementTerms.PlacementTerms({
      admitted,
      content,
      reply,
      contentionMode,
      now,
    });
    dependencies.audit?.received(facts.requestId);
    this.succession = new succession.Succession({
      choose: (excluded) => this.chooseSuccessor(excluded),
      liveness: dependencies.liveness,
      newMemory: () => this.newMemory(),
      // A suspect request may have to wait for permission to run again, so it keeps the attempt that it has.
      mayMove: () => this.isAdmissible && this.standing === 'free' && this.spendRetry(),
      now: dependencies.now,
    });
    this.requestLog = new exchangeLog.ExchangeLog({
      admitted,
      attempts: attemptsMade,
      reply,
      observer: observe,
      now,
    });
    response.once('close', () => {
      if (!response.writableFinished) this.cancel({ kind: 'gone' });
    });
    request.once('error', () => this.cancel({ kind: 'gone' }));
  }

  private get isRepeatable(): boolean {
    const { kind, isResumable } = this.admitted.route;
    return kind === 'safe' || (kind === 'streaming' && isResumable);
  }

  async run(): Promise<void> {
    const timer = setTimeout(
      () => this.cancel({ kind: 'late' }),
      Math.max(0, this.terms.timeLeftMs),
    );
    try {
      await this.attemptUntilAnswered();
    } catch (error) {
      this.failUnexpectedly(error);
    } finally {
      clearTimeout(timer);
      const unused = this.takeSuccessor();
      if (unused !== undefined) succession.release(unused);
    }
  }

  /** An unexpected error must neither leave the caller without an answer nor a target occupied. */
  private failUnexpectedly(error: unknown): void {
    const { facts } = this.admitted;
    this.dependencies.observer.log('crashed', { request: facts.requestId, detail: String(error) });
    this.attempt?.cancel();
    this.releaseCurrent?.('cancelled');
    this.fail('internal error', RETRY_AFTER_MS, 'internalError');
  }

  private async attemptUntilAnswered(): Promise<void> {
    const { route } = this.admitted;
    const service = domain.catalogue.directory.pickService(route, this.dependencies.random);
    this.service = service;
    this.budget = this.dependencies.budgets.of(service);
    this.budget.countFirstAttempt(this.dependencies.now());
    let shouldContinue = true;
    while (shouldContinue) shouldContinue = await this.attemptWithPermit(service);
  }

  /** Makes one attempt, if the request is permitted to run; resolves to whether another one should follow. */
  private async attemptWithPermit(service: string): Promise<boolean> {
    const permit = await this.dependencies.quarantine.permit(this.requestInfo(service));
    if (permit.kind === 'busy' && this.awaitsCanary(permit)) return this.awaitRetry(CANARY_POLL_MS);
    if (permit.kind !== 'granted') {
      if (this.awaitsRelease(permit)) return this.awaitRetry(CONTINUATION_RETRY_MS);
      this.refuseSuspect(permit);
      return false;
    }
    let outcome: Outcome = { kind: 'gone' };
    try {
      if (!this.isOver) outcome = await this.attemptOnce(service, permit);
    } finally {
      permit.end(outcome.kind === 'answered' && this.reply.status < callerResponse.FAILURE_STATUS);
    }
    return this.shouldRetry(service, outcome);
  }

  /**
   * Whether to wait for another request's canary run. One that has run already always does, as a refusal would be final
   * although targets are free. One that merely shares a part with a suspect is probably innocent, and the canary run
   * shows within a few hundred milliseconds whether it may run.
   */
  private awaitsCanary({ isCopy }: { isCopy: boolean }): boolean {
    if (this.deliveries.mayHaveRun) return true;
    const elapsedMs = this.dependencies.now() - this.admitted.arrivedAt;
    return !isCopy && elapsedMs < this.terms.patienceMs;
  }

  /** Whether to wait until a part of the prompt leaves the quarantine, as the caller can't be told to come back. */
  private awaitsRelease(permit: Exclude<quarantineClient.Permit, { kind: 'granted' }>): boolean {
    const isPart = permit.kind === 'quarantined' && permit.retryAfterMs !== undefined;
    return isPart && this.isContinuable;
  }

  /** Waits before the next attempt; resolves to whether it is still wanted. */
  private async awaitRetry(ms: number): Promise<boolean> {
    await clock.sleep(ms);
    return !this.isOver;
  }

  /** Places and sends the request once. */
  private async attemptOnce(service: string, permit: permittedRun.PermittedRun): Promise<Outcome> {
    if (this.successor === undefined && this.dependencies.reachability?.isCutOff === true) {
      return { kind: 'unplaced', detail: 'no path to targets', retryAfterMs: RETRY_AFTER_MS };
    }
    const successor = this.takeSuccessorFor(permit);
    const choice = successor?.choice ?? (await this.choose(service, permit));
    if (choice.kind === 'noPlace') {
      const { reason = 'full', retryAfterMs } = choice;
      return { kind: 'unplaced', detail: NO_PLACE_DETAIL[reason], retryAfterMs };
    }
    const placed = { choice, memory: successor?.memory ?? this.newMemory() };
    if (this.isOver || !this.isAdmissible) {
      succession.release(placed);
      const detail = 'settings not confirmed fresh';
      return { kind: 'unplaced', detail, retryAfterMs: RETRY_AFTER_MS };
    }
    this.mayHaveCrashed = false;
    const outcome = await this.send(placed, permit);
    await this.checkForCrash(service, permit, choice.placement);
    return outcome;
  }

  /** Whether the key of the request, if it has one, may be believed now. */
  private get isAdmissible(): boolean {
    return this.admitted.organisation === undefined || this.dependencies.isFresh();
  }

  private get standing(): quarantineClient.Standing {
    return this.dependencies.quarantine.standingOf(this.requestInfo(this.service));
  }

  /** Whether the quarantine keeps the request from running now. */
  private get isRefused(): boolean {
    return this.standing === 'quarantined' || this.standing === 'partQuarantined';
  }

  /** Whether the request is attempted again after this outcome; otherwise its caller gets the final response. */
  private async shouldRetry(service: string, outcome: Outcome): Promise<boolean> {
    if (outcome.kind === 'answered' || this.isOver) return false;
    if (outcome.kind === 'withheld') return this.placeAgain();
    if (outcome.kind === 'noMemory' && this.reservationRetries < MAX_RESERVATION_RETRIES) {
      this.reservationRetries += 1;
      await clock.sleep(RESERVATION_RETRY_MS);
      return true;
    }
    const isGranted = this.mayRetry(outcome);
    this.logFailure(outcome, isGranted);
    if (isGranted || (await this.continueLater(outcome))) {
      if (this.attempts.isAtTargetLimit) await clock.sleep(SAME_TARGET_RETRY_MS);
      return true;
    }
    if (!this.isOver) this.failAfter(service, outcome);
    return false;
  }

  private logFailure(outcome: Outcome, repeated: boolean): void {
    if (outcome.kind !== 'failed' && outcome.kind !== 'notRun') return;
    this.requestLog.attemptFailed({
      content: this.content.fingerprint,
      detail: outcome.detail,
      repeated,
    });
  }

  /** Ends a request that isn't attempted again. */
  private failAfter(service: string, outcome: Outcome): void {
    if (outcome.kind === 'unplaced') {
      this.fail(outcome.detail, outcome.retryAfterMs);
      return;
    }
    const retryAfterMs = Math.max(
      RETRY_AFTER_MS,
      this.dependencies.selector.unavailableForMs(service),
    );
    this.fail('detail' in outcome ? outcome.detail : outcome.kind, retryAfterMs);
  }

  /**
   * Waits until a stream that has begun may be attempted again; false if it may not. Its caller can't be told to come back,
   * and a target that is free or within reach only later still completes the answer.
   */
  private async continueLater(outcome: Outcome): Promise<boolean> {
    const isUnsent = outcome.kind === 'unplaced' || outcome.kind === 'noMemory';
    while (this.isContinuable) {
      this.attempts.startOver();
      if (!isUnsent && !this.hasAttemptsLeft) return false;
      await clock.sleep(CONTINUATION_RETRY_MS);
      if (!this.isOver && (isUnsent || this.mayRetry(outcome))) return true;
    }
    return false;
  }

  /** Whether the request is a stream that has begun and may go on at another target. */
  private get isContinuable(): boolean {
    const { isBegun, isUnrecoverable } = this.reply;
    const isOpen = !this.isOver && isBegun && !isUnrecoverable;
    return isOpen && this.isRepeatable && this.standing !== 'quarantined';
  }

  /** The target became unavailable between its selection and the attempt; the next selection excludes it. */
  private async placeAgain(): Promise<boolean> {
    this.withheldAttempts += 1;
    if (this.withheldAttempts > 1 && this.dependencies.signals.hasEvacuations) {
      await clock.sleep(WITHHELD_RETRY_MS);
    }
    return !this.isOver;
  }

  /**
   * Refuses a request that crashed three targets, or that waits for a canary run. The first has run, if under another
   * id, so a 503 would be false, and its caller would send it again. One with a quarantined part, or that waits, hasn't
   * run, so a 503 tells its caller when to retry.
   */
  private refuseSuspect(permit: Exclude<quarantineClient.Permit, { kind: 'granted' }>): void {
    if (permit.kind === 'busy') {
      this.fail('another request with the same fingerprint is running', SUSPECT_RETRY_AFTER_MS);
      return;
    }
    const { retryAfterMs } = permit;
    if (retryAfterMs === undefined) this.deliveries.presumeRun();
    this.fail(
      retryAfterMs === undefined
        ? 'quarantined: it crashed targets'
        : 'quarantined: a part of its prompt crashed targets',
      Math.max(SUSPECT_RETRY_AFTER_MS, retryAfterMs ?? 0),
    );
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

  /** Places the request once more while its present attempt goes on. */
  private chooseSuccessor(excluded: readonly string[]): Promise<targetSelector.Choice> {
    return this.choose(this.service, { endings: 0, target: undefined }, excluded);
  }

  private takeSuccessor(): succession.Successor | undefined {
    const { successor } = this;
    this.successor = undefined;
    return successor;
  }

  private choose(
    service: string,
    { endings, target }: Pick<permittedRun.PermittedRun, 'endings' | 'target'>,
    excluded: readonly string[] = [],
  ): Promise<targetSelector.Choice> {
    // Each placement has its own id: the leader gets the end of one after it has placed the next.
    this.placements += 1;
    return this.dependencies.selector.choose({
      ...this.terms.at(service),
      id: `${this.admitted.facts.requestId}/${this.placements}`,
      service,
      excluded: [...this.attempts.excluded, ...excluded],
      writers: this.attempts.writers ?? (target === undefined ? undefined : [target]),
      endings: endings > 0 ? endings : undefined,
    });
  }

  private newMemory(): reservations.Reservations {
    return new reservations.Reservations(this.admitted.facts.requestId, this.dependencies);
  }

  private async send(
    { choice, memory }: succession.Successor,
    permit: permittedRun.PermittedRun,
  ): Promise<Outcome> {
    const { placement } = choice;
    const release: targetSelector.Release = (dispatchOutcome, observed) => {
      this.releaseCurrent = undefined;
      memory.release();
      choice.release(dispatchOutcome, observed);
    };
    this.releaseCurrent = release;
    const isReserved = await memory.reserveAll(placement.helpers);
    if (this.isOver || !isReserved) {
      release('cancelled');
      return { kind: 'noMemory' };
    }
    const { request, body, organisation } = this.admitted;
    const { protocol } = this.dependencies;
    const resumeAfter = this.reply.lastEventId;
    const currentHeaders = (): string[] =>
      protocol.requestHeaders(request.rawHeaders, {
        target: placement.target,
        organisation,
        timeLeftMs: this.terms.timeLeftMs,
        helpers: memory.withReservations(placement.helpers),
        ...this.terms.urgencyAt(this.service),
        resumeAfter,
      });
    const attempt = this.deliveries.send(
      {
        target: placement.target,
        address: placement.address,
        purpose: 'request',
        helpers: placement.helpers.map(({ target }) => target),
        requestId: this.admitted.facts.requestId,
        isRepeat: this.attempts.targets.includes(placement.target),
        method: request.method ?? 'GET',
        path: request.url ?? '/',
        headers: currentHeaders(),
        currentHeaders,
        body,
      },
      this.reply,
    );
    if (attempt.isWithheld) {
      release('cancelled');
      return { kind: 'withheld' };
    }
    this.attempts.begin(placement.target);
    this.reply.beginAttempt(() => permit.began());
    this.requestLog.placed(placement, this.terms.waitedMs);
    this.sentAt = this.dependencies.now();
    permit.sent();
    this.sentToBornAt = this.dependencies.signals.bornAt(placement.target);
    this.attempt = attempt;
    this.activeTarget = placement.target;
    this.reply.attach(attempt);
    memory.renewFor({
      lastHeardAt: () => attempt.lastHeardAt,
      isResponsive: () => this.isResponsive(placement.target, placement.address),
    });
    const outcome = await this.awaitOutcome(attempt, placement);
    const { wasSent, relay } = attempt;
    this.lastHeardAt = attempt.lastHeardAt;
    attempt.cancel();
    this.attempt = undefined;
    this.activeTarget = undefined;
    const faulty = outcomes.faultyHelperOf(outcome, placement);
    // A lifetime that was replaced ran nothing, and its successor isn't the target that the request was sent to.
    const wasReplaced = outcome.kind === 'notRun' && outcome.ending === 'replaced';
    this.attempts.ended({
      target: placement.target,
      wasSent: wasSent && !wasReplaced,
      wasRefused: outcome.kind === 'notRun' && outcome.ending === 'full',
      wasHelperAtFault: faulty !== undefined,
    });
    if (outcome.kind === 'answered') this.requestLog.answered(placement);
    // A target that cuts a response which its caller doesn't read is neither ill nor crashed.
    const wentUnread = outcome.kind === 'failed' && this.reply.wentUnread(this.dependencies.now());
    const isOwnFault = outcomes.mayBePathLoss(outcome) && this.isPathLost(placement.target, relay);
    release(wentUnread || isOwnFault ? 'cancelled' : outcomes.dispatchOutcomeOf(outcome), {
      faulty,
      gapMs: this.reply.typicalGapMs,
    });
    if (outcomes.mayBePathLoss(outcome) && !wentUnread && !isOwnFault) {
      const { target, address } = placement;
      const failed = { target, address, wasSent: outcome.kind === 'failed' };
      void this.dependencies.verification.verify(failed);
    }
    this.mayHaveCrashed =
      wasSent && !wentUnread && outcomes.mayHaveCrashed(outcome, this.wasOverdue);
    return outcome;
  }

  /** Whether an attempt at the target failed because this VM, or the relay that it used, has lost its path. */
  private isPathLost(target: string, relay: string | undefined): boolean {
    const { reachability: reach } = this.dependencies;
    if (relay !== undefined) return reach?.peers.isReady(relay) !== true;
    return reach?.paths.isLost(target) === true;
  }

  /** Checks whether a target that didn't answer crashed while running the request. */
  private async checkForCrash(
    service: string,
    run: permittedRun.PermittedRun,
    { target, address }: domain.allocation.allocator.Placement,
  ): Promise<void> {
    if (!this.mayHaveCrashed) return;
    const { sentAt, sentToBornAt: bornAt } = this;
    const { hasBegun } = this.reply;
    const sent = { target, address, bornAt, sentAt, run, hasBegun };
    await this.dependencies.quarantine.checkForCrash(this.requestInfo(service), sent);
  }

  private requestInfo(service: string): quarantineClient.RequestInfo {
    return {
      requestId: this.admitted.facts.requestId,
      bodyBytes: this.content.bodyBytes,
      fingerprint: () => this.content.fingerprint,
      sharedParts: () => this.content.sharedParts,
      service,
      excluded: [...this.attempts.targets, ...this.dependencies.signals.unavailable(service)],
    };
  }

  /** Waits until the attempt completes, times out or is interrupted, whichever comes first. */
  private async awaitOutcome(
    attempt: targetAttempt.Attempt,
    placement: domain.allocation.allocator.Placement,
  ): Promise<Outcome> {
    const interrupted = new Promise<Outcome>((resolve) => {
      this.interrupt = resolve;
    });
    const watchdog = this.watchResponse(placement, (detail) => {
      const isOverdue = (): boolean => !attempt.isOver && watchdog?.isOverdue === true;
      void this.seekSuccessor({ isOverdue: () => isOverdue() && this.attempt === attempt, detail });
    });
    const completed = attempt.result.then((result) => this.classify(result));
    const outcome = await Promise.race([interrupted, completed]);
    watchdog?.stop();
    this.wasOverdue = watchdog?.isOverdue ?? outcome.kind === 'late';
    this.interrupt = undefined;
    return outcome;
  }

  private async seekSuccessor({
    isOverdue,
    detail,
  }: Pick<succession.OverdueAttempt, 'isOverdue'> & { detail: string }): Promise<void> {
    try {
      await this.succession.seek({
        isOverdue,
        giveUp: (successor) => {
          this.successor = successor;
          this.interrupt?.({ kind: 'failed', ending: 'broken', detail, isCut: true });
        },
      });
    } catch (error) {
      const { requestId: request } = this.admitted.facts;
      this.dependencies.observer.log('crashed', { request, detail: String(error) });
    }
  }

  private classify(result: targetMessage.SendResult): Outcome {
    if (result.kind === 'notSent') {
      const { detail, isConfirmed } = result;
      return { kind: 'notRun', ending: 'unreachable', detail, isConfirmed };
    }
    if (result.kind === 'broken') {
      return { kind: 'failed', ending: 'broken', detail: result.detail, isCut: true };
    }
    if (result.kind === 'foreign') {
      return { kind: 'failed', ending: 'broken', detail: result.detail, isCut: false };
    }
    if (result.kind === 'cancelled') return { kind: 'gone' };
    if (result.kind === 'withheld') return result;
    const completion = this.reply.complete(this.isRepeatable && this.hasAttemptsLeft);
    if (completion.kind === 'passedOn') return { kind: 'answered' };
    if (completion.kind === 'notRun') {
      const { detail, faulty, isWrongLifetime } = completion;
      return { kind: 'notRun', ending: isWrongLifetime ? 'replaced' : 'full', detail, faulty };
    }
    return { kind: 'failed', ending: 'broken', detail: completion.detail, isCut: false };
  }

  /** Only repeatable requests have a response timeout: a missing response doesn't prove that a request doesn't run. */
  private watchResponse(
    { firstTokenMs, target, address }: domain.allocation.allocator.Placement,
    onTimeout: (detail: string) => void,
  ): responseWatchdog.ResponseWatchdog | undefined {
    if (!this.isRepeatable) return undefined;
    const { now } = this.dependencies;
    return new responseWatchdog.ResponseWatchdog({
      thresholds: responseTimeout.thresholdsOf(this.admitted.route, firstTokenMs),
      sentAt: now(),
      now,
      lastEventAt: () => this.reply.lastProgressAt(now()),
      isAlive: () => this.isResponsive(target, address),
      hasAlternative: () => this.hasAttemptsLeft,
      onTimeout,
    });
  }

  /** Whether a response may still arrive the way that the current attempt takes. */
  private async isResponsive(target: string, address: string): Promise<boolean> {
    const relay = this.attempt?.relay;
    const verdict = await this.dependencies.liveness.check(target, address);
    if (relay === undefined) return verdict === 'alive';
    const isUp = verdict === 'alive' || verdict === 'pathLost';
    return isUp && this.dependencies.reachability?.peers.isReady(relay) === true;
  }

  private get hasAttemptsLeft(): boolean {
    const isSent = this.attempt?.wasSent === true;
    return this.attempts.hasAttemptLeft(isSent ? this.activeTarget : undefined);
  }

  private mayRetry(outcome: Outcome): boolean {
    if (outcome.kind !== 'failed' && outcome.kind !== 'notRun') return false;
    if (outcome.kind === 'failed' && !this.isRepeatable) return false;
    if (this.reply.isUnrecoverable) return false;
    if (!this.hasAttemptsLeft || this.terms.timeLeftMs <= 0) return false;
    // The budget bounds what reaches targets, so a target that wasn't reached doesn't spend it.
    const isFree = outcome.kind === 'notRun' && outcome.ending === 'unreachable';
    const isPaid = isFree || this.successor !== undefined;
    return !this.isRefused && (isPaid || this.spendRetry());
  }

  private spendRetry(): boolean {
    return this.budget?.spend(this.dependencies.now()) === true;
  }

  /** Stops whatever runs for a caller that disconnected or whose deadline passed. */
  private cancel(outcome: Outcome): void {
    if (this.isOver || this.admitted.response.writableFinished) return;
    if (outcome.kind === 'late') {
      this.isLate = true;
      this.fail('deadline exceeded', RETRY_AFTER_MS, 'deadline');
    } else {
      this.requestLog.callerGone();
    }
    this.isOver = true;
    this.interrupt?.(outcome);
  }

  private fail(
    detail: string,
    retryAfterMs: number,
    reason: exchangeLog.AbortReason = 'noTarget',
  ): void {
    if (this.isOver) return;
    this.isOver = true;
    const guarantee = this.deliveries.end();
    if (guarantee === undefined) {
      const status = this.isLate ? 504 : 502;
      this.requestLog.failed({
        status,
        detail,
        reason,
        lastHeardAt: this.attempt?.lastHeardAt ?? this.lastHeardAt,
      });
      this.reply.fail(status);
      return;
    }
    this.dependencies.audit?.refused(this.admitted.facts.requestId);
    this.requestLog.refused(guarantee, detail);
    this.reply.refuse(guarantee, retryAfterMs);
  }
}
