/**
 * What the leader does when requests compete for engines. Mode `arrival` serves them in order of arrival and lets each
 * wait for its patience. Mode `adaptive` applies the decisions of `domain.contention`, which differ from `arrival` only
 * while requests wait.
 */
import * as domain from '@celerydrift/domain';
import type * as roleSettings from '../configuration/roleSettings';
import type * as messages from '../fleet/messages';
import * as waitQueue from './waitQueue';

export type Mode = roleSettings.ContentionMode;

export type Request = messages.PlaceRequest;

/** A request that waits for a placement since it arrived at the leader. */
export interface Arrival {
  request: Request;
  since: number;
  /** Whether it was refused before, or was already sent to a target. */
  isReturning: boolean;
}

export interface Refused {
  arrival: Arrival;
  /** Time until an engine is predicted to be available, in milliseconds. */
  predictedMs: number;
  /** Retry-After in mode `arrival`, in milliseconds. */
  usualDelayMs: number;
  /** Absent where engines are full or gone; the plan of returns knows nothing of other reasons. */
  reason?: string;
}

export interface RefusalDetails {
  /** Urgency class. */
  class?: number;
  /** Whether the request could not be on time any more. */
  isLate?: boolean;
  /** Whether its caller has a planned time to return at. */
  returns?: boolean;
}

export interface Policy {
  readonly order: waitQueue.Order;
  /** Whether requests wait only for earlier ones of their own service. */
  readonly isPerService: boolean;
  /** Cost of ordering one waiting request in a round, in milliseconds. */
  readonly orderingMs: number;
  /** Whether a request that arrives now returns after a refusal. */
  arrived(request: Request, now: number): boolean;
  boundsOf(arrival: Arrival, now: number): domain.contention.admission.Bounds;
  /** Whether a request that arrives now waits even if an engine has a free slot. */
  mustWait(arrival: Arrival, now: number): boolean;
  placed(request: Request, firstTokenMs: number, now: number): void;
  /** Retry-After of a request that is refused now, in milliseconds. */
  delayMs(refused: Refused, now: number): number;
  /** What the log says of a refusal, beside its figures. */
  describe(arrival: Arrival, now: number): RefusalDetails;
  /** Forgets what was observed; for the end of a leadership. */
  reset(): void;
}

/**
 * Share of its objective within which a request must be placed to still be on time; prefill and the first step take
 * the rest. In a burst that exceeds all engines, requests that are already late must not delay the others until those
 * are late too.
 */
const START_BY_SHARE = 0.5;

export class ArrivalPolicy implements Policy {
  readonly order = new waitQueue.ArrivalOrder();

  readonly isPerService = false;

  /** Not bounded: a round costs little beside its attempts. */
  readonly orderingMs = 0;

  arrived(): boolean {
    return false;
  }

  boundsOf({ request, since }: Arrival): domain.contention.admission.Bounds {
    const { objectiveMs, waitedMs, patienceMs } = request;
    return {
      inTimeUntil: since + START_BY_SHARE * objectiveMs - waitedMs,
      until: since + patienceMs,
    };
  }

  mustWait(): boolean {
    return false;
  }

  placed(): void {
    // Nothing depends on earlier placements.
  }

  delayMs({ usualDelayMs }: Refused): number {
    return usualDelayMs;
  }

  describe(): RefusalDetails {
    return {};
  }

  reset(): void {
    // Nothing was observed.
  }
}

/**
 * Least planned delay of a return, in milliseconds: a few engine steps, so that callers refused together don't return
 * together for the same few slots.
 */
const MIN_DELAY_MS = 200;

/** Ordering 2,000 waiting requests of 50 organisations took 2.4 to 2.6 ms. */
const ORDERING_MS = 0.0012;

export interface Dependencies {
  allocator: domain.allocation.allocator.Allocator;
  mode?: Mode;
  onOverload?: (change: domain.contention.waitingOrder.OverloadChange) => void;
  onReturned?: () => void;
}

export class AdaptivePolicy implements Policy {
  order: domain.contention.waitingOrder.WaitingOrder;

  readonly isPerService = true;

  readonly orderingMs = ORDERING_MS;

  private readonly usual = new ArrivalPolicy();

  private readonly forecast = new domain.contention.admission.FirstEventForecast();

  private readonly refused = new domain.contention.returnPlan.RefusedRequests();

  /** Planned returns by service. */
  private readonly plans = new Map<string, domain.contention.returnPlan.ReturnPlan>();

  constructor(private readonly dependencies: Dependencies) {
    this.order = new domain.contention.waitingOrder.WaitingOrder(dependencies.onOverload);
  }

  private get allocator(): domain.allocation.allocator.Allocator {
    return this.dependencies.allocator;
  }

  arrived(request: Request, now: number): boolean {
    const { content, service, organisation = '', tokens } = request;
    const wasRefused = content !== undefined && this.refused.has(content, now);
    if (wasRefused) this.dependencies.onReturned?.();
    if (wasRefused || wasSent(request)) return true;
    this.planOf(service).countArrival(now);
    this.order.demand.count(organisation, tokens, now);
    return false;
  }

  boundsOf(arrival: Arrival, now: number): domain.contention.admission.Bounds {
    const { request, since, isReturning } = arrival;
    // A new leader learns of its targets within about a second; refused meanwhile, callers would come back for nothing.
    const isNew = !this.order.demand.isObserved(now);
    if (request.leavesInMs === undefined || isNew) return this.usual.boundsOf(arrival);
    const { service, objectiveMs } = request;
    const prefillMs = this.allocator.minPrefillMs(request);
    const stepMs = this.allocator.nextAvailableMs(service, now);
    const kind = domain.contention.waitingOrder.kindOf({ service, objectiveMs });
    const predicted = this.forecast.predict(kind, prefillMs, stepMs);
    const { waitedMs, leavesInMs } = request;
    return domain.contention.admission.boundsOf(
      { objectiveMs, waitedMs, leavesInMs, isReturning },
      predicted,
      since,
    );
  }

  mustWait(arrival: Arrival, now: number): boolean {
    const isHeld = this.order.holdsLate(arrival.request, now);
    return isHeld && this.boundsOf(arrival, now).inTimeUntil <= now;
  }

  placed(request: Request, firstTokenMs: number, now: number): void {
    const kind = domain.contention.waitingOrder.kindOf(request);
    this.forecast.observe(kind, firstTokenMs, this.allocator.minPrefillMs(request));
    this.planOf(request.service).countPlacement(now);
  }

  delayMs({ arrival, predictedMs, usualDelayMs, reason }: Refused, now: number): number {
    const { request, since, isReturning } = arrival;
    const { content, leavesInMs, timeLeftMs = leavesInMs } = request;
    const isPlanned = !isReturning && reason === undefined;
    if (!isPlanned || content === undefined || timeLeftMs === undefined) return usualDelayMs;
    this.refused.add(content, now);
    const minDelayMs = Math.max(MIN_DELAY_MS, predictedMs);
    return this.planOf(request.service).plan(timeLeftMs - (now - since), minDelayMs, now);
  }

  describe(arrival: Arrival, now: number): RefusalDetails {
    const { request, isReturning } = arrival;
    const isPlanned = request.content !== undefined && request.leavesInMs !== undefined;
    return {
      class: request.urgency ?? 0,
      isLate: this.boundsOf(arrival, now).inTimeUntil <= now,
      returns: isPlanned && !isReturning,
    };
  }

  reset(): void {
    this.order = new domain.contention.waitingOrder.WaitingOrder(this.dependencies.onOverload);
    this.refused.clear();
    this.plans.clear();
  }

  private planOf(service: string): domain.contention.returnPlan.ReturnPlan {
    const plan = this.plans.get(service) ?? new domain.contention.returnPlan.ReturnPlan();
    this.plans.set(service, plan);
    return plan;
  }
}

/** Whether the request was already sent to a target; a refusal of such a request is final. */
function wasSent({ excluded, writers }: Request): boolean {
  return excluded.length > 0 || writers !== undefined;
}

export function policyOf(dependencies: Dependencies): Policy {
  return dependencies.mode === 'adaptive' ? new AdaptivePolicy(dependencies) : new ArrivalPolicy();
}
