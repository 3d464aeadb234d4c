/**
 * One caller's request from its route to its final answer. Every way out is an answer: the target's own,
 * or one of ours that says exactly what is known. 503 promises that the request did not run and never
 * will; 502 and 504 promise nothing.
 */
import type * as http from 'node:http';
import * as domain from '@celerydrift/domain';
import * as clock from '../clock';
import type * as protocols from '../edges/protocols';
import type * as observer from '../observability/observer';
import * as answer from './answer';
import * as attempts from './attempts';
import type * as chooser from './chooser';
import type * as crashWatch from './crashWatch';
import * as exchangeLog from './exchangeLog';
import * as fingerprint from './fingerprint';
import type * as lifeChecks from './lifeChecks';
import type * as limitWatch from './limitWatch';
import * as outcomes from './outcome';
import * as reservations from './reservations';
import * as silence from './silence';
import * as silenceWatch from './silenceWatch';
import type * as targetClient from './targetClient';
import type * as targetSignals from './targetSignals';

type Route = domain.catalogue.catalogue.Route;
type Outcome = outcomes.Outcome;

export interface Services {
  protocol: protocols.TrafficProtocol;
  chooser: chooser.Chooser;
  targets: targetClient.TargetClient;
  lifeChecks: Pick<lifeChecks.LifeChecks, 'isAlive'>;
  limits: Pick<limitWatch.LimitWatch, 'spent'>;
  signals: Pick<targetSignals.TargetSignals, 'closed' | 'backOffMs'>;
  crashes: Pick<crashWatch.CrashWatch, 'permit' | 'cut' | 'isQuarantined'>;
  budgets: domain.request.repeatBudget.RepeatBudgets;
  observer: observer.Observer;
  random: domain.shared.random.Random;
  now: () => number;
  /** Whether what is in force here is known to be fresh enough to admit keys. */
  isFresh: () => boolean;
}

export interface Admitted {
  request: http.IncomingMessage;
  response: http.ServerResponse;
  facts: protocols.CallerFacts;
  route: Route;
  organisation: string | undefined;
  body: Buffer;
  arrivedAt: number;
}

/**
 * Part of the time after which its caller gives up that a request may wait for a place. A late answer is worth a
 * quarter of one in time, a refusal nothing; the rest is for reading the prompt and for a second target. With a
 * half, the short prompts that a burst had no places for (749 on a played day) heard so only after a second.
 */
const PATIENCE_SHARE = 0.3;

/** What a caller is told to wait before it comes back, milliseconds, where nothing better is known. */
const RETRY_AFTER_MS = 300;

/** Pause before a target is asked once more that refused the request, milliseconds: two passes. */
const RETURN_PAUSE_MS = 100;

/** What a caller is told to wait while a copy of its request may end a target; it shows within the time to a first event. */
const COPY_RUNS_MS = 500;

/** Pause before a request that was cut asks again whether the trial of its copy is over, milliseconds. */
const TRIAL_PAUSE_MS = 100;

/** Why a request wasn't sent, for the log; of engines the leader's line says more. */
const NO_PLACE_DETAIL: Record<chooser.NoPlaceReason, string> = {
  full: 'no target with a free place',
  limited: 'the limits of its targets let no request pass in time',
  closed: 'its targets take no further request from this VM',
};

/** How often a prompt larger than an engine looks for memory, and the pause between; milliseconds. */
const RESERVATION_TRIES = 5;
const RESERVATION_PAUSE_MS = 200;

export class Exchange {
  private readonly deadline: number;

  private readonly attempts: attempts.Attempts;

  private readonly reply: answer.Answer;

  private readonly log: exchangeLog.ExchangeLog;

  /** Whether some target may have run the request. */
  private mayHaveRun = false;

  private isOver = false;

  /** Whether the time for the request is over; a timer may end a moment before the clock says so. */
  private isLate = false;

  private reservationTries = 0;

  private attempt: targetClient.Attempt | undefined;

  /** Target of the attempt under way. */
  private underWay: string | undefined;

  /** Whether the last target was overdue when its sending ended. */
  private wasSilent = false;

  private sentAt = 0;

  /** Whether the last target may have ended under the request. */
  private mayHaveEnded = false;

  private interrupt: ((outcome: Outcome) => void) | undefined;

  /** What `content` has worked out. */
  private knownContent: string | undefined;

  /** Service that the request goes to; empty before it is chosen. */
  private service = '';

  /** Repeats of the service that the request goes to; undefined before that is chosen. */
  private budget: domain.request.repeatBudget.RepeatBudget | undefined;

  constructor(
    private readonly admitted: Admitted,
    private readonly services: Services,
  ) {
    const { route, facts, arrivedAt, response, request } = admitted;
    this.deadline = arrivedAt + Math.min(route.timeoutMs, facts.patienceMs ?? Infinity);
    this.attempts = new attempts.Attempts(route.maxAttempts);
    this.reply = new answer.Answer(response, route, facts);
    const { attempts: made, reply } = this;
    const { observer: observe, now } = services;
    this.log = new exchangeLog.ExchangeLog({
      admitted,
      attempts: made,
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

  private get timeLeftMs(): number {
    return this.deadline - this.services.now();
  }

  async run(): Promise<void> {
    const timer = setTimeout(() => this.cancel({ kind: 'late' }), Math.max(0, this.timeLeftMs));
    try {
      await this.untilAnswered();
    } finally {
      clearTimeout(timer);
    }
  }

  private async untilAnswered(): Promise<void> {
    const { route } = this.admitted;
    const service = domain.catalogue.directory.pickService(route, this.services.random);
    this.service = service;
    this.budget = this.services.budgets.of(service);
    this.budget.countFirst(this.services.now());
    let goesOn = true;
    while (goesOn) goesOn = await this.tryWithPermit(service);
  }

  /** One placing and sending, if the content may run at all; whether another one should follow. */
  private async tryWithPermit(service: string): Promise<boolean> {
    const permit = await this.services.crashes.permit(this.suspectable(service));
    if (permit.kind === 'busy' && this.mayHaveRun) return this.awaitTrial();
    if (permit.kind !== 'granted') {
      this.refuseSuspect(permit.kind);
      return false;
    }
    let outcome: Outcome | undefined;
    try {
      outcome = this.isOver ? undefined : await this.tryOnce(service, permit);
    } finally {
      permit.end(outcome?.kind === 'answered' && this.reply.status < answer.FAILURE_STATUS);
    }
    return outcome !== undefined && this.goesOn(service, outcome);
  }

  /**
   * A crash cut this request together with a copy that is now in its trial. Its caller can't be told that it didn't run, so a
   * refusal would be final with targets free; the trial shows within a second or two whether it may go on.
   */
  private async awaitTrial(): Promise<boolean> {
    await clock.pause(TRIAL_PAUSE_MS);
    return !this.isOver;
  }

  /** Places and sends the request once; undefined where it is over without a sending. */
  private async tryOnce(service: string, permit: crashWatch.Grant): Promise<Outcome | undefined> {
    const choice = await this.choose(service, permit);
    if (this.isOver) {
      if (choice.kind === 'placed') choice.release('cancelled');
      return undefined;
    }
    if (choice.kind === 'noPlace') {
      this.fail(NO_PLACE_DETAIL[choice.reason ?? 'full'], choice.retryAfterMs);
      return undefined;
    }
    if (!this.services.isFresh() && this.admitted.organisation !== undefined) {
      choice.release('cancelled');
      this.fail('settings not confirmed fresh', RETRY_AFTER_MS);
      return undefined;
    }
    this.mayHaveEnded = false;
    const outcome = await this.send(choice);
    await this.lookForEnd(service, permit, choice.placement);
    return outcome;
  }

  /** Whether the request is sent once more after such an outcome; otherwise its caller has its final answer. */
  private async goesOn(service: string, outcome: Outcome): Promise<boolean> {
    if (outcome.kind === 'answered' || this.isOver) return false;
    // Its target came to want nothing between the choice and the sending: the next choice knows.
    if (outcome.kind === 'withheld') return true;
    if (outcome.kind === 'noMemory' && this.reservationTries < RESERVATION_TRIES) {
      this.reservationTries += 1;
      await clock.pause(RESERVATION_PAUSE_MS);
      return true;
    }
    if (!this.mayRepeat(service, outcome)) {
      const retryAfterMs = Math.max(RETRY_AFTER_MS, this.services.chooser.closedForMs(service));
      this.fail('detail' in outcome ? outcome.detail : outcome.kind, retryAfterMs);
      return false;
    }
    if (this.attempts.isBound) await clock.pause(RETURN_PAUSE_MS);
    return true;
  }

  /**
   * What ended three targets isn't sent to a fourth. It has run, if under another id, so 503 with its promise would only
   * bring it back; one whose copy runs at this moment hasn't, and is told to come back.
   */
  private refuseSuspect(kind: 'quarantined' | 'busy'): void {
    this.mayHaveRun ||= kind === 'quarantined';
    const isBusy = kind === 'busy';
    this.fail(isBusy ? 'a copy of it runs' : 'in quarantine: targets ended under it', COPY_RUNS_MS);
  }

  private choose(service: string, { endings, target }: crashWatch.Grant): Promise<chooser.Choice> {
    const { facts, route } = this.admitted;
    const maximum = facts.maxAnswerTokens ?? Infinity;
    const answerTokens = Math.min(maximum, facts.likelyAnswerTokens ?? maximum);
    return this.services.chooser.choose({
      id: `${facts.requestId}/${this.attempts.targets.length}.${this.reservationTries}`,
      service,
      tokens: facts.promptTokens ?? 0,
      answerTokens: Number.isFinite(answerTokens) ? answerTokens : 0,
      objectiveMs: route.objectiveMs,
      pauseMs: route.pauseMs,
      excluded: this.attempts.excluded,
      writers: this.attempts.writers ?? (target === undefined ? undefined : [target]),
      endings: endings > 0 ? endings : undefined,
      waitedMs: this.waitedMs,
      patienceMs: Math.max(0, PATIENCE_SHARE * Math.min(this.timeLeftMs, silence.giveUpMs(route))),
    });
  }

  /**
   * What its caller has waited for a first event. A stream that goes on has had its first one, and one that comes
   * to a second target is late, not lost: counted further, no engine would be worth it, and a stream that was
   * cut midway would be broken off with engines free.
   */
  private get waitedMs(): number {
    if (this.reply.lastEventId !== undefined) return 0;
    const { arrivedAt, route } = this.admitted;
    return Math.min(this.services.now() - arrivedAt, route.objectiveMs);
  }

  private async send(choice: chooser.Choice & { kind: 'placed' }): Promise<Outcome> {
    const { placement } = choice;
    const held = new reservations.Reservations(this.admitted.facts.requestId, this.services);
    const isReserved = await held.take(placement.helpers);
    const release: chooser.Release = (ending, seen) => {
      held.release();
      choice.release(ending, seen);
    };
    if (this.isOver || !isReserved) {
      release('cancelled');
      return { kind: 'noMemory' };
    }
    const { request, body, organisation } = this.admitted;
    const { protocol, targets } = this.services;
    const resumeAfter = this.reply.lastEventId;
    const headers = protocol.requestHeaders(request.rawHeaders, {
      target: placement.target,
      organisation,
      timeLeftMs: this.timeLeftMs,
      helpers: held.named(placement.helpers),
      resumeAfter,
    });
    const attempt = targets.send(
      {
        target: placement.target,
        address: placement.address,
        purpose: 'request',
        requestId: this.admitted.facts.requestId,
        method: request.method ?? 'GET',
        path: request.url ?? '/',
        headers,
        body,
      },
      this.reply,
    );
    if (attempt.isWithheld) {
      release('cancelled');
      return { kind: 'withheld' };
    }
    this.attempts.begin(placement.target);
    this.reply.beginAttempt();
    this.log.placed(placement, this.waitedMs);
    this.sentAt = this.services.now();
    this.attempt = attempt;
    this.underWay = placement.target;
    this.reply.control(attempt);
    const outcome = await this.outcomeOf(attempt, placement);
    const { wasSent } = attempt;
    attempt.cancel();
    this.attempt = undefined;
    this.underWay = undefined;
    const faulty = outcomes.faultyOf(outcome, placement);
    this.attempts.ended({
      target: placement.target,
      wasSent,
      wasRefused: outcome.kind === 'notRun' && outcome.ending === 'full',
      wasHelperAtFault: faulty !== undefined,
    });
    if (wasSent && outcome.kind !== 'notRun') this.mayHaveRun = true;
    if (outcome.kind === 'answered') this.log.answered(placement);
    release(outcomes.endingOf(outcome), {
      faulty,
      gapMs: this.reply.usualGapMs,
    });
    this.mayHaveEnded = wasSent && outcomes.mayHaveEnded(outcome, this.wasSilent);
    return outcome;
  }

  /** A target that didn't answer may have ended under the request. */
  private async lookForEnd(
    service: string,
    { endings }: crashWatch.Grant,
    { target, address }: domain.allocation.allocator.Placement,
  ): Promise<void> {
    if (!this.mayHaveEnded) return;
    const sent = { target, address, sentAt: this.sentAt, isTrial: endings > 0 };
    await this.services.crashes.cut(this.suspectable(service), sent);
  }

  private suspectable(service: string): crashWatch.Suspectable {
    const { facts, body } = this.admitted;
    return {
      requestId: facts.requestId,
      bodyBytes: body.length,
      content: () => this.content,
      service,
      excluded: [...this.attempts.targets, ...this.services.signals.closed(service)],
    };
  }

  /** The request as it is told from others that came under other ids. */
  private get content(): string {
    const { request, organisation, body } = this.admitted;
    this.knownContent ??= fingerprint.of({
      host: request.headers.host ?? '',
      method: request.method ?? 'GET',
      path: request.url ?? '/',
      organisation,
      body,
    });
    return this.knownContent;
  }

  /** Waits for the end of a sending, its silence, or an interruption, whichever comes first. */
  private async outcomeOf(
    attempt: targetClient.Attempt,
    placement: domain.allocation.allocator.Placement,
  ): Promise<Outcome> {
    const interrupted = new Promise<Outcome>((resolve) => {
      this.interrupt = resolve;
    });
    const watch = this.watch(placement, (detail) => {
      this.interrupt?.({ kind: 'failed', ending: 'broken', detail, isCut: true });
    });
    const ended = attempt.end.then((end) => this.judge(end));
    const outcome = await Promise.race([interrupted, ended]);
    watch?.stop();
    this.wasSilent = watch?.isOverdue ?? outcome.kind === 'late';
    this.interrupt = undefined;
    return outcome;
  }

  private judge(end: targetClient.End): Outcome {
    if (end.kind === 'notSent') {
      return { kind: 'notRun', ending: 'unreachable', detail: end.detail };
    }
    if (end.kind === 'broken') {
      return { kind: 'failed', ending: 'broken', detail: end.detail, isCut: true };
    }
    if (end.kind === 'cancelled') return { kind: 'gone' };
    if (end.kind === 'withheld') return end;
    const verdict = this.reply.complete(this.isRepeatable && this.hasAttemptsLeft);
    if (verdict.kind === 'passedOn') return { kind: 'answered' };
    if (verdict.kind === 'notRun') {
      const { detail, faulty, isWrongLifetime } = verdict;
      return { kind: 'notRun', ending: isWrongLifetime ? 'replaced' : 'full', detail, faulty };
    }
    return { kind: 'failed', ending: 'broken', detail: verdict.detail, isCut: false };
  }

  /** Only requests that may be repeated are given up for silence: for the others it is no proof that they don't run. */
  private watch(
    { firstTokenMs, target, address }: domain.allocation.allocator.Placement,
    onSilent: (detail: string) => void,
  ): silenceWatch.SilenceWatch | undefined {
    if (!this.isRepeatable) return undefined;
    const { now, lifeChecks: checks } = this.services;
    return new silenceWatch.SilenceWatch({
      bounds: silence.boundsOf(this.admitted.route, firstTokenMs),
      sentAt: now(),
      now,
      lastEventAt: () => this.reply.lastEventAt,
      isAlive: () => checks.isAlive(target, address),
      hasAlternative: () => this.hasAttemptsLeft,
      onSilent,
    });
  }

  private get hasAttemptsLeft(): boolean {
    const isSent = this.attempt?.wasSent === true;
    return this.attempts.hasLeft(isSent ? this.underWay : undefined);
  }

  private mayRepeat(service: string, outcome: Outcome): boolean {
    if (outcome.kind !== 'failed' && outcome.kind !== 'notRun') return false;
    if (outcome.kind === 'failed' && !this.isRepeatable) return false;
    if (this.reply.isBeyondRepair) return false;
    if (!this.hasAttemptsLeft || this.timeLeftMs <= 0) return false;
    // The budget bounds what reaches targets; a target that wasn't reached costs it nothing.
    const isFree = outcome.kind === 'notRun' && outcome.ending === 'unreachable';
    const isHeldBack = this.services.crashes.isQuarantined(this.suspectable(service));
    const isGranted = !isHeldBack && (isFree || this.budget?.spend(this.services.now()) === true);
    this.log.attemptFailed({ content: this.content, detail: outcome.detail, repeated: isGranted });
    return isGranted;
  }

  /** The caller left or its time is over: whatever runs for it is stopped. */
  private cancel(outcome: Outcome): void {
    if (this.isOver || this.admitted.response.writableFinished) return;
    if (outcome.kind === 'late') {
      this.mayHaveRun ||= this.attempt?.wasSent === true;
      this.isLate = true;
      this.fail('time is over', RETRY_AFTER_MS);
    } else {
      this.log.callerGone();
    }
    this.isOver = true;
    this.interrupt?.(outcome);
  }

  private fail(detail: string, retryAfterMs: number): void {
    if (this.isOver) return;
    this.isOver = true;
    const status = this.status();
    this.log.refused(status, detail);
    this.reply.refuse(status, status === 503 ? retryAfterMs : undefined);
  }

  private status(): number {
    if (!this.mayHaveRun) return 503;
    return this.isLate ? 504 : 502;
  }
}
