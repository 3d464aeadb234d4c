/**
 * Handles one caller's request from its route to its final response. That is either a target's own response or one
 * whose status states exactly what is known: 503 guarantees that the request did not run and never will; 502 and 504
 * guarantee nothing.
 *
 * This module has the course of a request. `requestPlacements` finds a target, `placedAttempt` makes one attempt there,
 * `retryPolicy` decides what follows, `retries` waits for it, and `responseEnd` alone ends the caller's response.
 */
import * as domain from '@celerydrift/domain';
import type * as roleSettings from '../configuration/roleSettings';
import type * as protocols from '../edges/protocols';
import type * as observer from '../observability/observer';
import * as admittedRequest from './admittedRequest';
import * as attempts from './attempts';
import * as callerResponse from './callerResponse';
import * as deliveries from './deliveries';
import * as exchangeLog from './exchangeLog';
import type * as failureVerification from './failureVerification';
import type * as guaranteeAudit from './guaranteeAudit';
import type * as livenessProbes from './livenessProbes';
import type * as outcomes from './outcome';
import type * as pathMonitor from './pathMonitor';
import type * as permittedRun from './permittedRun';
import * as placedAttempt from './placedAttempt';
import * as placementTerms from './placementTerms';
import type * as quarantineClient from './quarantineClient';
import type * as rateLimitClient from './rateLimitClient';
import type * as reachability from './reachability';
import type * as relayPeers from './relayPeers';
import * as requestContent from './requestContent';
import * as requestPlacements from './requestPlacements';
import * as requestState from './requestState';
import * as responseEnd from './responseEnd';
import * as retries from './retries';
import type * as succession from './succession';
import type * as targetClient from './targetClient';
import * as targetEvidence from './targetEvidence';
import type * as targetSelector from './targetSelector';
import type * as targetSignals from './targetSignals';
import type * as unavailableTargets from './unavailableTargets';

type Outcome = outcomes.Outcome;

export interface Dependencies {
  protocol: protocols.TrafficProtocol;
  selector: targetSelector.TargetSelector;
  targets: targetClient.TargetClient;
  liveness: Pick<livenessProbes.LivenessProbes, 'check' | 'isRefusing'>;
  /** Which paths of this VM are lost, and the entries that relay messages; without it no path is lost. */
  reachability?: Pick<reachability.Reachability, 'isCutOff'> & {
    paths: Pick<pathMonitor.PathMonitor, 'isLost'>;
    peers: Pick<relayPeers.RelayPeers, 'isReady'>;
  };
  limits: Pick<rateLimitClient.RateLimitClient, 'spent'>;
  signals: Pick<targetSignals.TargetSignals, 'backOffMs' | 'bornAt' | 'isGone'>;
  unavailableTargets: Pick<unavailableTargets.UnavailableTargets, 'of'>;
  verification: Pick<failureVerification.FailureVerification, 'verify'>;
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

export class Exchange {
  private readonly content: requestContent.RequestContent;

  private readonly terms: placementTerms.PlacementTerms;

  private readonly attempts: attempts.Attempts;

  private readonly deliveries: deliveries.Deliveries;

  private readonly reply: callerResponse.CallerResponse;

  private readonly requestLog: exchangeLog.ExchangeLog;

  private readonly end: responseEnd.ResponseEnd;

  private readonly state: requestState.RequestState;

  private readonly placements: requestPlacements.RequestPlacements;

  private readonly retries: retries.Retries;

  private readonly evidence: targetEvidence.TargetEvidence;

  /** The last attempt at a placed target; undefined before the first. */
  private current: placedAttempt.PlacedAttempt | undefined;

  constructor(
    private readonly admitted: admittedRequest.AdmittedRequest,
    private readonly dependencies: Dependencies,
  ) {
    const { route, facts, response, held } = admitted;
    const { protocol, targets, audit, contentionMode, observer: observe, now } = dependencies;
    this.attempts = new attempts.Attempts(route.maxAttempts);
    this.deliveries = new deliveries.Deliveries(targets);
    this.reply = new callerResponse.CallerResponse(response, route, facts, held);
    this.content = new requestContent.RequestContent(admitted, protocol);
    const { content, reply, attempts: made } = this;
    this.terms = new placementTerms.PlacementTerms({
      ...{ admitted, content, reply, contentionMode, now },
    });
    audit?.received(facts.requestId);
    this.requestLog = new exchangeLog.ExchangeLog({
      ...{ admitted, attempts: made, reply, observer: observe, now },
    });
    this.end = this.newEnd();
    this.state = this.newState();
    this.placements = this.newPlacements();
    this.retries = this.newRetries();
    this.evidence = new targetEvidence.TargetEvidence(dependencies);
    this.watchCaller();
  }

  async run(): Promise<void> {
    const timer = setTimeout(() => this.end.deadlinePassed(), Math.max(0, this.terms.timeLeftMs));
    try {
      await this.attemptUntilAnswered();
    } catch (error) {
      this.failUnexpectedly(error);
    } finally {
      clearTimeout(timer);
      this.placements.release();
    }
  }

  /** An unexpected error must neither leave the caller without an answer nor a target occupied. */
  private failUnexpectedly(error: unknown): void {
    const { facts } = this.admitted;
    this.dependencies.observer.log('crashed', { request: facts.requestId, detail: String(error) });
    this.current?.abandon();
    this.end.failUnexpectedly();
  }

  private async attemptUntilAnswered(): Promise<void> {
    const { route } = this.admitted;
    const { budgets, random, now } = this.dependencies;
    const service = domain.catalogue.directory.pickService(route, random);
    this.state.service = service;
    budgets.of(service).countFirstAttempt(now());
    let shouldContinue = true;
    while (shouldContinue) shouldContinue = await this.attemptWithPermit();
  }

  /** Makes one attempt, if the request is permitted to run; resolves to whether another one should follow. */
  private async attemptWithPermit(): Promise<boolean> {
    const permit = await this.dependencies.quarantine.permit(this.state.info);
    if (permit.kind !== 'granted') return this.awaitPermit(permit);
    let outcome: Outcome = { kind: 'gone' };
    try {
      if (!this.end.isOver) outcome = await this.attemptOnce(permit);
    } finally {
      permit.end(outcome.kind === 'answered' && this.reply.status < callerResponse.FAILURE_STATUS);
    }
    if (await this.retries.shouldRetry(outcome)) return true;
    if (outcome.kind !== 'answered' && !this.end.isOver) this.end.failAfter(outcome);
    return false;
  }

  /** Waits for a permit that was denied, where that is of use; resolves to whether to ask for it again. */
  private async awaitPermit(denial: quarantineClient.Denial): Promise<boolean> {
    if (await this.retries.awaitPermit(denial)) return true;
    this.end.refuseSuspect(denial);
    return false;
  }

  /** Places and sends the request once. */
  private async attemptOnce(run: permittedRun.PermittedRun): Promise<Outcome> {
    const placement = await this.placements.place(run);
    if (placement.kind === 'unplaced') return placement;
    const attempt = this.newAttempt(placement.placed, run);
    this.current = attempt;
    const outcome = await attempt.complete();
    await this.checkForCrash(attempt);
    return outcome;
  }

  /** Checks whether a target that didn't answer crashed while running the request. */
  private async checkForCrash({ suspicion }: placedAttempt.PlacedAttempt): Promise<void> {
    if (suspicion === undefined) return;
    await this.dependencies.quarantine.checkForCrash(this.state.info, suspicion);
  }

  private spendRetry(): boolean {
    const { budgets, now } = this.dependencies;
    return budgets.of(this.state.service).spend(now());
  }

  private watchCaller(): void {
    const { request, response } = this.admitted;
    response.once('close', () => {
      if (!response.writableFinished) this.end.callerLeft();
    });
    request.once('error', (error) => {
      if (error instanceof admittedRequest.EntryStopped) this.end.entryStopped(error.message);
      else this.end.callerLeft();
    });
  }

  private newEnd(): responseEnd.ResponseEnd {
    const { admitted, deliveries: sent, reply, requestLog } = this;
    const { audit, selector } = this.dependencies;
    return new responseEnd.ResponseEnd({
      ...{ admitted, deliveries: sent, reply, requestLog, audit },
      unavailableForMs: () => selector.unavailableForMs(this.state.service),
      interrupt: (outcome) => this.current?.interrupt(outcome),
    });
  }

  private newState(): requestState.RequestState {
    const { admitted, content, terms, attempts: made, deliveries: sent, reply, end } = this;
    const { unavailableTargets: unavailable, quarantine, isFresh, now } = this.dependencies;
    return new requestState.RequestState({
      ...{ admitted, content, terms, attempts: made, deliveries: sent, reply, end },
      ...{ unavailableTargets: unavailable, quarantine, isFresh, now },
      hasSuccessor: () => this.placements.hasSuccessor,
    });
  }

  private newPlacements(): requestPlacements.RequestPlacements {
    const { admitted, terms, attempts: made, state, dependencies } = this;
    const { selector, reachability: reach, liveness, observer: observe, now } = dependencies;
    return new requestPlacements.RequestPlacements({
      ...{ admitted, terms, attempts: made, state },
      ...{ selector, reachability: reach, liveness, observer: observe, now },
      memory: dependencies,
      spendRetry: () => this.spendRetry(),
    });
  }

  private newRetries(): retries.Retries {
    const { state, attempts: made, requestLog, content } = this;
    return new retries.Retries({
      ...{ state, attempts: made },
      spendRetry: () => this.spendRetry(),
      signals: this.dependencies.signals,
      onFailure: ({ detail }, repeated) => {
        requestLog.attemptFailed({ content: content.fingerprint, detail, repeated });
      },
    });
  }

  private newAttempt(
    placed: succession.Successor,
    run: permittedRun.PermittedRun,
  ): placedAttempt.PlacedAttempt {
    const { admitted, attempts: made, deliveries: sent, reply, end, terms } = this;
    const { requestLog, evidence } = this;
    const { protocol, signals, now } = this.dependencies;
    return new placedAttempt.PlacedAttempt(placed, run, {
      ...{ admitted, attempts: made, deliveries: sent, reply, end, terms, requestLog, evidence },
      ...{ protocol, signals, now },
      service: this.state.service,
      onOverdue: (attempt) => {
        void this.placements.seekSuccessor(attempt);
      },
    });
  }
}
