/**
 * Decides how long a request may wait for an engine. Handles bursts in which not all requests can be on time: one that
 * can't be on time any more is told at once when to return, while its caller still has time to do so; one that was
 * refused before waits until its caller leaves, because callers give up after a second refusal.
 */

export interface Request {
  /** Objective for the first event, in milliseconds. */
  objectiveMs: number;
  /** How long the caller has waited, in milliseconds. */
  waitedMs: number;
  /** Time until the caller leaves, in milliseconds. */
  leavesInMs: number;
  /** Whether it was refused before, or was already sent to a target. */
  isReturning: boolean;
}

export interface Bounds {
  /** Time until which a placement still leads to a first event on time. */
  inTimeUntil: number;
  /** Time at which the request is refused. */
  until: number;
}

/**
 * Share of its objective by which the first event must be predicted for a request to be on time. Predictions leave out
 * up to an engine step.
 */
const IN_TIME_SHARE = 0.9;

/** Time from a placement to the first event, in milliseconds. */
export interface Prediction {
  usualMs: number;
  /** On an engine that does nothing else. */
  shortestMs: number;
}

/**
 * Bounds of the wait. A first attempt is refused once it would be late even on an idle engine: until then an engine may
 * become free earlier than predicted. It counts as late from the usual prediction on.
 */
export function boundsOf(request: Request, predicted: Prediction, now: number): Bounds {
  const { objectiveMs, waitedMs, leavesInMs, isReturning } = request;
  const inTimeUntil = now + IN_TIME_SHARE * objectiveMs - waitedMs - predicted.usualMs;
  const possibleUntil = now + objectiveMs - waitedMs - predicted.shortestMs;
  const reachableUntil = now + leavesInMs - predicted.usualMs;
  return {
    inTimeUntil,
    until: isReturning ? reachableUntil : Math.min(possibleUntil, reachableUntil),
  };
}

/** Weight of a new placement in the usual overhead. Some ten placements change it, within tens of milliseconds. */
const OVERHEAD_WEIGHT = 0.1;

/** Kinds of requests whose overhead is remembered; there are as many as routes. */
const MAX_KINDS = 1_000;

/**
 * Predicts the time from a placement to the first event: the prefill of the prompt itself, plus the usual time that
 * recent placements of its kind were predicted to spend on engine steps and prefills of others.
 */
export class FirstEventForecast {
  private readonly overheads = new Map<string, number>();

  /** Takes the allocator's prediction for a placement. */
  observe(kind: string, firstTokenMs: number, prefillMs: number): void {
    const sample = Math.max(0, firstTokenMs - prefillMs);
    const usual = this.overheads.get(kind) ?? sample;
    if (this.overheads.size >= MAX_KINDS) this.overheads.clear();
    this.overheads.set(kind, usual + OVERHEAD_WEIGHT * (sample - usual));
  }

  /** `stepMs` is used before any placement of the kind. */
  predict(kind: string, prefillMs: number, stepMs: number): Prediction {
    return { usualMs: prefillMs + (this.overheads.get(kind) ?? stepMs), shortestMs: prefillMs };
  }
}
