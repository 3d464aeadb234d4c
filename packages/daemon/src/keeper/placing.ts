/**
 * Gives prompts their engines: at once, when it is better begun later, or when a place is free again; and refuses, as
 * soon as waiting longer would win nothing or the limits of the engines leave no place in time, with the time at which to come back.
 */
import type * as domain from '@celerydrift/domain';
import * as waitQueue from './waitQueue';

type Placement = domain.allocation.allocator.Placement;

/** A prompt and how long its caller's entry waits for a place, milliseconds. */
export type Request = domain.allocation.allocator.Request & { patienceMs: number };

export type Answer =
  | { kind: 'placed'; placement: Placement }
  | { kind: 'noPlace'; retryAfterMs: number }
  /** Places aren't given here any more. */
  | { kind: 'closed' };

export interface Clock {
  now: () => number;
  after: (ms: number, action: () => void) => void;
}

export interface Refusal {
  request: Request;
  waitedMs: number;
  waiting: number;
  /** How long the limits of the engines let no request more pass, milliseconds; 0 where some engine has none. */
  limitedForMs: number;
  retryAfterMs: number;
}

export interface Dependencies {
  allocator: domain.allocation.allocator.Allocator;
  clock: Clock;
  random: domain.shared.random.Random;
  onRefused: (refused: Refusal) => void;
}

/**
 * Bounds of the time that callers are told to stay away when no place is free, milliseconds: a few passes of an
 * engine, so that those who were refused together don't return together to the same few places; and what a
 * caller bears.
 */
const RETRY_AFTER_MS = { min: 200, max: 2_000 } as const;

/**
 * A request can be in time only if it has its place within this part of its objective; reading and the first pass
 * take the rest. In a burst that no engine has places for, those that are late already must not keep the others
 * waiting until they are late too.
 */
const START_BY_SHARE = 0.5;

/**
 * Bounds of the time after which a prompt that is better begun later is considered again, milliseconds: engines may be
 * free sooner than predictedMs, and a consideration costs the leader up to a millisecond.
 */
const DEFERRAL_MS = { min: 20, max: 200 } as const;

/**
 * What considering a prompt that several engines read costs, in attempts for a short one, and the part of a leader's time that
 * each postponed prompt may take. Bursts postpone some twenty of them at once.
 */
const ATTEMPTS_PER_DEFERRAL = 3;
const DEFERRAL_SHARE = 0.04;

/** Pause between two servings of those who wait, milliseconds; a fifth of a pass. */
const SERVE_INTERVAL_MS = 10;

/**
 * What an attempt to place a prompt costs a leader for each engine, milliseconds: the first hundred after a start, when the
 * code is cold, at 150 engines; later ones a third.
 */
const ATTEMPT_MS_PER_ENGINE = 0.01;

/**
 * Part of its time that a leader spends on those who wait. With 150 engines eight attempts take 12 ms; every 10 ms, they
 * kept a leader from its heartbeats and its followers for a second, and another one was elected.
 */
const SERVE_SHARE = 0.25;

/** Callers that waited in vain are told to come back after so many times their wait. */
const RETRY_SPREAD = { min: 1, max: 2 } as const;

/** A request that has no place yet. */
interface PendingRequest {
  request: Request;
  since: number;
  settle: (placement: Placement | undefined) => void;
}

export class Placing {
  private readonly queue = new waitQueue.WaitQueue<Placement>();

  private isOpen = false;

  private isServeScheduled = false;

  private serveIntervalMs = SERVE_INTERVAL_MS;

  constructor(private readonly dependencies: Dependencies) {}

  open(): void {
    this.isOpen = true;
  }

  /** Ends all waits: whoever leads now, or the entry itself, may have a place. */
  close(): void {
    this.isOpen = false;
    this.queue.clear();
  }

  place(request: Request): Promise<Answer> {
    return new Promise((resolve) => {
      this.ask(request, resolve);
    });
  }

  /** The same with a callback, for a clock of which promises know nothing. */
  ask(request: Request, answer: (answer: Answer) => void): void {
    const since = this.now;
    const settle = (placement: Placement | undefined): void => {
      if (placement !== undefined) answer({ kind: 'placed', placement });
      else if (this.isOpen) answer(this.refuse(request, this.now - since));
      else answer({ kind: 'closed' });
    };
    this.tryPlace({ request, since, settle });
  }

  /** Places may have become free. */
  serveSoon(): void {
    if (this.isServeScheduled || this.queue.length === 0) return;
    this.isServeScheduled = true;
    // Once more while requests wait: places become free with time too, as what an engine has to read becomes less.
    this.dependencies.clock.after(this.serveIntervalMs, () => {
      this.isServeScheduled = false;
      const attempts = this.queue.serve(this.now);
      const workMs = attempts * this.attemptMs;
      this.serveIntervalMs = Math.max(SERVE_INTERVAL_MS, workMs / SERVE_SHARE);
      this.serveSoon();
    });
  }

  /** What placing a prompt takes, milliseconds; a short one. */
  private get attemptMs(): number {
    return ATTEMPT_MS_PER_ENGINE * this.dependencies.allocator.mostAsked;
  }

  private get now(): number {
    return this.dependencies.clock.now();
  }

  /** Places a request, waits until it is better begun, or lets it stand in line for a place. */
  private tryPlace(pending: PendingRequest): void {
    const { request, since, settle } = pending;
    if (!this.isOpen) {
      settle(undefined);
      return;
    }
    const { now } = this;
    // Those that are late already don't hold up one that can still be in time.
    if (this.queue.hasInTime(now)) {
      this.enqueue(pending);
      return;
    }
    const waitedMs = request.waitedMs + now - since;
    const mayWait = now - since < request.patienceMs;
    const choice = this.dependencies.allocator.choose({ ...request, waitedMs }, now, mayWait);
    if (choice.kind === 'placed') settle(choice.placement);
    else if (choice.kind === 'full') this.enqueue(pending);
    else this.defer(pending, choice.inMs);
  }

  private defer(pending: PendingRequest, wantedMs: number): void {
    const { min, max } = DEFERRAL_MS;
    const minDelayMs = Math.max(min, (this.attemptMs * ATTEMPTS_PER_DEFERRAL) / DEFERRAL_SHARE);
    const inMs = Math.min(max, Math.max(minDelayMs, wantedMs));
    this.dependencies.clock.after(inMs, () => this.tryPlace(pending));
  }

  private enqueue({ request, since, settle }: PendingRequest): void {
    if (this.limitedForMs(request.service) > request.patienceMs) {
      settle(undefined);
      return;
    }
    const attempt = (): Placement | undefined => {
      const { now } = this;
      const waitedMs = request.waitedMs + now - since;
      return this.dependencies.allocator.place({ ...request, waitedMs }, now);
    };
    const until = since + request.patienceMs;
    const inTimeUntil = since + START_BY_SHARE * request.objectiveMs - request.waitedMs;
    const { tokens, pauseMs, service, excluded, writers } = request;
    const isRestricted = excluded.length > 0 || writers !== undefined;
    const attributes = { tokens, pauseMs, service, isRestricted };
    this.queue.add({ ...attributes, since, inTimeUntil, until, attempt, resolve: settle });
    this.serveSoon();
  }

  /** Until the limits of the engines let one request more pass than those who wait, milliseconds. */
  private limitedForMs(service: string): number {
    return this.dependencies.allocator.limitedForMs(service, this.queue.length, this.now);
  }

  private refuse(request: Request, waitedMs: number): Answer {
    const { min, max } = RETRY_AFTER_MS;
    const limitedForMs = this.limitedForMs(request.service);
    const nextPlaceMs = this.dependencies.allocator.nextPlaceMs(request.service, this.now);
    const predictedMs = Math.max(nextPlaceMs, limitedForMs);
    // One that waited in vain finds others in its place if all come back at once.
    const spread =
      RETRY_SPREAD.min + (RETRY_SPREAD.max - RETRY_SPREAD.min) * this.dependencies.random.uniform();
    const delayMs = Math.max(min, predictedMs, spread * waitedMs);
    const retryAfterMs = Math.round(Math.min(max, delayMs));
    const waiting = this.queue.length;
    this.dependencies.onRefused({ request, waitedMs, waiting, limitedForMs, retryAfterMs });
    return { kind: 'noPlace', retryAfterMs };
  }
}
