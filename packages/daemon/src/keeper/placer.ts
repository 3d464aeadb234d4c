/**
 * Places prompts on engines: immediately, later if a deferred start is better, or as soon as a slot becomes free.
 * Requests are refused, with a time to retry after, once waiting longer has no benefit or the engines' rate limits
 * leave no slot in time.
 */
import type * as domain from '@celerydrift/domain';
import * as contentionPolicy from './contentionPolicy';
import * as waitQueue from './waitQueue';

type Placement = domain.allocation.allocator.Placement;

/** A result that ends the wait of a request. */
type Settlement = Exclude<
  domain.allocation.allocator.PlacementResult,
  { kind: 'full' } | { kind: 'later' }
>;

/** Why a request can't be placed, if not because all engines are full; the entry reports it in its log. */
export type RefusalReason = 'evacuated';

export type Request = contentionPolicy.Request;

export type Mode = contentionPolicy.Mode;

export type Answer =
  | { kind: 'placed'; placement: Placement }
  | { kind: 'noPlace'; retryAfterMs: number; reason?: RefusalReason }
  /** This placer was closed: it no longer leads. */
  | { kind: 'closed' };

export interface Clock {
  now: () => number;
  after: (ms: number, action: () => void) => void;
}

/** The last three fields are present in mode `adaptive`. */
export interface Refusal extends contentionPolicy.RefusalDetails {
  request: Request;
  waitedMs: number;
  waiting: number;
  /** Time until the engines' rate limits admit one more request, in milliseconds; 0 if some engine has no limit. */
  limitedForMs: number;
  retryAfterMs: number;
  /** Absent where all engines were full or gone. */
  reason?: RefusalReason;
}

export interface Dependencies {
  allocator: domain.allocation.allocator.Allocator;
  clock: Clock;
  random: domain.shared.random.Random;
  onRefused: (refused: Refusal) => void;
  /** `arrival` by default. */
  mode?: contentionPolicy.Mode;
  onOverload?: (change: domain.contention.waitingOrder.OverloadChange) => void;
  /** Called for each request that returns after a refusal. */
  onReturned?: () => void;
}

/**
 * Bounds of the time after which refused callers may retry, in milliseconds. The lower bound is a few engine steps,
 * so that callers refused together don't return together for the same few slots; the upper bound is what a caller
 * tolerates.
 */
const RETRY_AFTER_MS = { min: 200, max: 2_000 } as const;

/**
 * Bounds of the delay before a deferred prompt is tried again, in milliseconds: engines may become free earlier than
 * predicted, and each try costs the leader up to a millisecond.
 */
const DEFERRAL_MS = { min: 20, max: 200 } as const;

/**
 * Cost of trying to place a prompt that several engines prefill, in attempts for a short one, and the share of a
 * leader's time that each deferred prompt may take. Bursts defer some twenty prompts at once.
 */
const ATTEMPTS_PER_DEFERRAL = 3;
const DEFERRAL_SHARE = 0.04;

/** Interval between two rounds that serve the wait queue, in milliseconds; a fifth of an engine step. */
const SERVE_INTERVAL_MS = 10;

/**
 * Cost of one placement attempt per engine, in milliseconds, as in the first hundred attempts after a start with 150
 * engines, when the code is cold; later attempts cost a third.
 */
const ATTEMPT_MS_PER_ENGINE = 0.01;

/**
 * Share of its time that a leader spends on the wait queue. With 150 engines eight attempts take 12 ms; repeated
 * every 10 ms, they delayed a leader's heartbeats and its answers to followers by a second, and another leader was
 * elected.
 */
const SERVE_SHARE = 0.25;

/** Share of its time that a leader spends on ordering the wait queue. */
const ORDERING_SHARE = 0.08;

/** Range of the factor by which a caller's wait is multiplied to get its retry time after it waited in vain. */
const RETRY_SPREAD = { min: 1, max: 2 } as const;

/** A request without a placement. */
interface PendingRequest extends contentionPolicy.Arrival {
  settle: (result: Settlement | undefined) => void;
}

export class Placer {
  private readonly queue: waitQueue.WaitQueue<Settlement>;

  private readonly policy: contentionPolicy.Policy;

  private isOpen = false;

  private isServeScheduled = false;

  private serveIntervalMs = SERVE_INTERVAL_MS;

  constructor(private readonly dependencies: Dependencies) {
    this.policy = contentionPolicy.policyOf(dependencies);
    this.queue = new waitQueue.WaitQueue<Settlement>(this.policy);
  }

  open(): void {
    this.isOpen = true;
  }

  /** Ends all waits with `closed`: the new leader, or the entry itself, may find a placement. */
  close(): void {
    this.isOpen = false;
    this.queue.clear();
    this.policy.reset();
  }

  place(request: Request): Promise<Answer> {
    return new Promise((resolve) => {
      this.placeWithCallback(request, resolve);
    });
  }

  /** Callback variant of `place`, for virtual clocks that can't drive promises. */
  placeWithCallback(request: Request, answer: (answer: Answer) => void): void {
    const since = this.now;
    const arrival = { request, since, isReturning: this.policy.arrived(request, since) };
    const settle = (result: Settlement | undefined): void => {
      if (result?.kind === 'placed') {
        this.policy.placed(request, result.placement.firstTokenMs, this.now);
        answer(result);
      } else if (this.isOpen) answer(this.refuse(arrival, result?.kind));
      else answer({ kind: 'closed' });
    };
    this.tryPlace({ ...arrival, settle });
  }

  /** Schedules a round that serves the wait queue, as slots may have become free. */
  scheduleServing(): void {
    if (this.isServeScheduled || this.queue.isIdle) return;
    this.isServeScheduled = true;
    // Reschedules itself while requests wait: slots also become free over time as engines work off their prefill.
    this.dependencies.clock.after(this.serveIntervalMs, () => {
      this.isServeScheduled = false;
      const attempts = this.queue.serve(this.now);
      const workMs = attempts * this.attemptMs;
      this.serveIntervalMs = Math.max(
        SERVE_INTERVAL_MS,
        workMs / SERVE_SHARE,
        (this.queue.length * this.policy.orderingMs) / ORDERING_SHARE,
      );
      this.scheduleServing();
    });
  }

  /** Cost of one attempt to place a short prompt, in milliseconds. */
  private get attemptMs(): number {
    return ATTEMPT_MS_PER_ENGINE * this.dependencies.allocator.maxCandidates;
  }

  private get now(): number {
    return this.dependencies.clock.now();
  }

  /** Places a request, defers it, or adds it to the wait queue. */
  private tryPlace(pending: PendingRequest): void {
    const { request, since, settle } = pending;
    if (!this.isOpen) {
      settle(undefined);
      return;
    }
    const { now } = this;
    // A new request queues behind those that can still be on time; late ones in the queue don't hold it up.
    const only = this.policy.isPerService ? request.service : undefined;
    const isHeld = this.queue.length > 0 && this.policy.mustWait(pending, now);
    if (this.queue.hasInTime(now, only) || isHeld) {
      this.enqueue(pending);
      return;
    }
    const waitedMs = request.waitedMs + now - since;
    const mayWait = now - since < request.patienceMs;
    const result = this.dependencies.allocator.choose({ ...request, waitedMs }, now, mayWait);
    if (result.kind === 'full') this.enqueue(pending);
    else if (result.kind === 'later') this.defer(pending, result.inMs);
    else settle(result);
  }

  private defer(pending: PendingRequest, suggestedMs: number): void {
    const { min, max } = DEFERRAL_MS;
    const minDelayMs = Math.max(min, (this.attemptMs * ATTEMPTS_PER_DEFERRAL) / DEFERRAL_SHARE);
    const inMs = Math.min(max, Math.max(minDelayMs, suggestedMs));
    this.dependencies.clock.after(inMs, () => this.tryPlace(pending));
  }

  private enqueue(pending: PendingRequest): void {
    const { request, since, isReturning, settle } = pending;
    if (this.limitedForMs(request.service) > request.patienceMs) {
      settle(undefined);
      return;
    }
    const attempt = (): Settlement | undefined => {
      const { now } = this;
      const waitedMs = request.waitedMs + now - since;
      const result = this.dependencies.allocator.choose({ ...request, waitedMs }, now, false);
      return result.kind === 'full' || result.kind === 'later' ? undefined : result;
    };
    const { tokens, pauseMs, objectiveMs, service, organisation = '', urgency = 0 } = request;
    const isRestricted = request.excluded.length > 0 || request.writers !== undefined;
    this.queue.add({
      ...{
        tokens,
        pauseMs,
        objectiveMs,
        service,
        organisation,
        urgency,
        isRestricted,
        isReturning,
      },
      since,
      callerSince: since - request.waitedMs,
      ...this.policy.boundsOf(pending, this.now),
      attempt,
      resolve: settle,
    });
    this.scheduleServing();
  }

  /** Time until the engines' rate limits admit one request more than those in the queue, in milliseconds. */
  private limitedForMs(service: string): number {
    return this.dependencies.allocator.limitedForMs(service, this.queue.length, this.now);
  }

  private refuse(arrival: contentionPolicy.Arrival, reason?: RefusalReason): Answer {
    const { request, since } = arrival;
    const waitedMs = this.now - since;
    const { min, max } = RETRY_AFTER_MS;
    const limitedForMs = this.limitedForMs(request.service);
    const nextAvailableMs = this.dependencies.allocator.nextAvailableMs(request.service, this.now);
    const predictedMs = Math.max(nextAvailableMs, limitedForMs);
    // Callers that waited in vain retry at different times; if all came back at once, most would find the slots taken
    // again.
    const waitFactor =
      RETRY_SPREAD.min + (RETRY_SPREAD.max - RETRY_SPREAD.min) * this.dependencies.random.uniform();
    const usualDelayMs = Math.min(max, Math.max(min, predictedMs, waitFactor * waitedMs));
    const retryAfterMs = Math.round(
      this.policy.delayMs({ arrival, predictedMs, usualDelayMs, reason }, this.now),
    );
    const waiting = this.queue.length;
    const details = this.policy.describe(arrival, this.now);
    this.dependencies.onRefused({
      ...{ request, waitedMs, waiting, limitedForMs, retryAfterMs, reason },
      ...details,
    });
    return { kind: 'noPlace', retryAfterMs, reason };
  }
}
