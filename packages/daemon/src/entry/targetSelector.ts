/**
 * Selects the target of each request. Engines for prompts are placed by the leader's allocator, which sees the
 * dispatches of all entries; while the leader doesn't answer, a local allocator places by this entry's dispatches
 * alone. Calls to plain services go to the ready target with the fewest calls from this entry.
 */
import * as domain from '@celerydrift/domain';
import type { Result } from 'ts-results';
import * as clock from '../clock';
import type * as fleetState from '../fleet/fleetState';
import type * as leaderLink from '../fleet/leaderLink';
import type * as messages from '../fleet/messages';
import type * as observer from '../observability/observer';
import type * as errors from '../rpc/errors';
import type * as peerClient from '../rpc/peerClient';
import type * as coldGrants from './coldGrants';
import type * as rateLimitClient from './rateLimitClient';
import type * as targetAvailability from './targetAvailability';

type Announcement = domain.registry.registry.Announcement;
type DispatchOutcome = domain.allocation.targetHealth.DispatchOutcome;
type Placement = domain.allocation.allocator.Placement;
type Lifetime = domain.quarantine.crashedLifetimes.Lifetime;
type DispatchTarget = Pick<messages.FinishedDispatch, 'target' | 'bornAt'>;
type PlaceResult = Result<messages.PlaceAnswer, errors.CallError>;

const { lifetimeKey } = domain.quarantine.crashedLifetimes;

/** A request that needs a target. Sent to the leader as it is, in `messages.PlaceRequest`. */
export interface PlacementRequest {
  id: string;
  service: string;
  tokens: number;
  answerTokens: number;
  objectiveMs: number;
  pauseMs: number;
  /** How long the caller has already waited, milliseconds. */
  waitedMs: number;
  excluded: readonly string[];
  /** The only targets that may serve the request; undefined for any. */
  writers?: readonly string[];
  /** How many targets crashed while running a request with the same fingerprint; undefined for none. */
  endings?: number;
  /** How long the request may wait for a placement, milliseconds. */
  patienceMs: number;
  organisation?: string;
  urgency?: number;
  content?: string;
  /** Time until the caller leaves, milliseconds; the leader may use all of it. */
  leavesInMs?: number;
  /** Time that the caller has left, also for a return after a refusal, milliseconds. */
  timeLeftMs?: number;
}

/** What an entry observed of a dispatch besides its outcome. */
export interface DispatchObservations {
  /** The target that caused the failure, if it isn't the selected one. */
  faulty?: string;
  /** Typical inter-token gap, milliseconds. */
  gapMs?: number;
}

/** Releases a placement and reports the outcome of its dispatch. */
export type Release = (outcome: DispatchOutcome, observed?: DispatchObservations) => void;

/**
 * Why there is no placement; `unavailable` if all targets are in back-off, draining or out of connections for this VM,
 * `evacuated` if all that would accept the request are in evacuated data centres.
 */
export type NoPlaceReason = 'full' | 'limited' | 'unavailable' | 'evacuated';

/** No target can take the request; `reason` is absent for the usual one, that all targets are full or gone. */
interface NoPlace {
  kind: 'noPlace';
  retryAfterMs: number;
  reason?: NoPlaceReason;
}

export type Choice = { kind: 'placed'; placement: Placement; release: Release } | NoPlace;

/** Until when a request waits for a placement, and until when for targets that are unavailable to this VM. */
interface WaitDeadlines {
  until: number;
  /** When the caller leaves; infinite where that isn't known. */
  leavesAt: number;
  backOffUntil: number;
}

/** At least one target accepts requests from this VM; `excluded` lists those that the request must not go to. */
interface Availability {
  kind: 'available';
  excluded: readonly string[];
}

/** A grant for one of several targets. */
type TargetGrant = { kind: 'granted'; target: Announcement } | { kind: 'wait'; waitMs: number };

export interface Options {
  name: string;
  dataCentre: string;
  fleetState: fleetState.FleetState;
  link: leaderLink.LeaderLink;
  client: peerClient.PeerClient;
  limits: Pick<rateLimitClient.RateLimitClient, 'grant' | 'grantProbe' | 'spent'>;
  /** Grants for requests to cold targets; without them nothing is known of cold targets. */
  coldGrants?: Pick<coldGrants.ColdGrants, 'begin' | 'add'>;
  availability: Pick<targetAvailability.TargetAvailability, 'unavailable' | 'waitMs'>;
  observer: observer.Observer;
  random: domain.shared.random.Random;
  now: () => number;
}

/** A leader that last confirmed this entry longer ago isn't asked, milliseconds: two of the usual intervals. */
const MAX_LEADER_AGE_MS = 1_300;

/** Time that the leader's answer may take beyond the wait for a placement, milliseconds: ten times the usual. */
const PLACE_TIMEOUT_MS = 150;

/**
 * Prompts with a shorter objective, milliseconds, would miss it while the entry detects the loss of the leader. They
 * stop waiting for the leader's placement once it leaves a liveness probe unanswered for `LEADER_OVERDUE_MS`, thirty
 * round trips. A leader that is only busy, or has no free engine for the prompt, answers the probe within a few.
 */
const SHORT_OBJECTIVE_MS = 900;
const SHORT_CHECK_INTERVAL_MS = 60;
const LEADER_OVERDUE_MS = 50;

/** How long after its deadline a late placement is still received, to release it at the leader, milliseconds. */
const LATE_ANSWER_WINDOW_MS = 5_000;

/** Outcomes of dispatches are batched for this long before they are reported to the leader, milliseconds. */
const REPORT_BATCH_MS = 5;

/**
 * Interval between placement attempts for a prompt while there is no leader, milliseconds: about one engine step.
 * Refused at once, long prompts came back to the same full engines although their callers had seconds left.
 */
const PLACEMENT_RETRY_MS = 50;

/** Minimum pause before targets that are unavailable or limited are checked again, milliseconds. */
const MIN_WAIT_MS = 10;

/** Longest pause before the leader is asked again for a cold target that only relieves the others, milliseconds. */
const MAX_COLD_PAUSE_MS = 100;

/** Bounds of the Retry-After that callers get when targets are full or limited, milliseconds. */
const RETRY_AFTER_MS = { min: 200, max: 2_000 } as const;

/**
 * Share of its objective for which a request waits for targets that are unavailable to this VM. After a longer wait it
 * would miss the objective anyway; when refused, its caller may reach another VM to which the targets are available.
 */
const MAX_UNAVAILABLE_WAIT_SHARE = 0.5;

/**
 * Retry-After is extended by up to this share when all targets are unavailable, so that callers don't return together.
 */
const RETRY_AFTER_JITTER = 0.5;

/**
 * Retry-After where all targets are evacuated, milliseconds: the longest that callers get otherwise, as nobody knows
 * when the evacuation ends.
 */
const EVACUATED_RETRY_MS = RETRY_AFTER_MS.max;

/** Retry-After where the service has no target, milliseconds. */
const NO_TARGET_RETRY_MS = 500;

export class TargetSelector {
  /** Places by this entry's dispatches alone, while there is no leader. */
  readonly fallback: domain.allocation.allocator.Allocator;

  /** Number of calls to plain targets from here, by lifetime. */
  private readonly activeCalls = new Map<string, number>();

  private readonly targetHealth = new Map<string, domain.allocation.targetHealth.TargetHealth>();

  /** Running dispatches on engines, by request id. */
  private readonly running = new Map<string, messages.RunningDispatch>();

  /** When the leader is next asked for a cold target that only relieves the others. */
  private askForColdAt = 0;

  private finishedDispatches: messages.FinishedDispatches['dispatches'] = [];

  private verdicts: messages.TargetVerdict[] = [];

  constructor(private readonly options: Options) {
    const { random, fleetState: state } = options;
    this.fallback = new domain.allocation.allocator.Allocator(random, undefined, state.limits);
    this.fallback.setEvacuated((name) => state.evacuations.isEvacuated(name));
  }

  get dispatches(): messages.RunningDispatch[] {
    return [...this.running.values()];
  }

  async choose(request: PlacementRequest): Promise<Choice> {
    const service = this.options.fleetState.directory?.service(request.service);
    const until = this.options.now() + request.patienceMs;
    const backOffUntil = Math.min(until, this.options.now() + maxUnavailableWaitMs(request));
    const deadlines = {
      until,
      leavesAt: this.options.now() + (request.leavesInMs ?? Infinity),
      backOffUntil,
    };
    if (service?.engine === undefined) return this.choosePlain(request, deadlines);
    for (let retries = 0; ; retries++) {
      // A leader that timed out may still place an earlier attempt; a distinct id keeps that from matching a later one.
      const id = retries === 0 ? request.id : `${request.id}.${retries}`;
      const availability = await this.awaitAvailability(request, backOffUntil);
      if (availability.kind === 'noPlace') return availability;
      const allowed = { ...request, id, excluded: availability.excluded };
      const choice = (await this.placeByLeader(allowed, deadlines)) ?? this.placeLocally(allowed);
      if (choice !== undefined) return choice;
      const leftMs = until - this.options.now();
      if (leftMs <= 0 || this.isHopeless(request, deadlines.leavesAt))
        return { kind: 'noPlace', retryAfterMs: this.retryAfterMs(request) };
      await clock.sleep(Math.min(leftMs, PLACEMENT_RETRY_MS));
    }
  }

  /**
   * Time until a target of the service accepts requests from this VM, milliseconds; 0 if one does or if there is none.
   * Where all are evacuated, the time after which a caller may ask again.
   */
  unavailableForMs(service: string): number {
    const unavailable = this.options.availability.unavailable(service);
    const waitMs = this.untilAvailableMs({ service, excluded: [] }, unavailable);
    return Number.isFinite(waitMs) ? waitMs : EVACUATED_RETRY_MS;
  }

  /** Waits for a target that accepts requests from this VM, unless all stay unavailable beyond the deadline. */
  private async awaitAvailability(
    request: PlacementRequest,
    until: number,
  ): Promise<Availability | NoPlace> {
    const { now, availability, random } = this.options;
    for (;;) {
      const unavailable = availability.unavailable(request.service);
      const waitMs = this.untilAvailableMs(request, unavailable);
      if (waitMs === 0)
        return { kind: 'available', excluded: [...request.excluded, ...unavailable] };
      if (now() + waitMs > until) {
        const isEvacuated = waitMs === Infinity;
        const jitter = 1 + RETRY_AFTER_JITTER * random.uniform();
        const leastMs = isEvacuated ? EVACUATED_RETRY_MS : Math.max(RETRY_AFTER_MS.min, waitMs);
        const retryAfterMs = Math.round(leastMs * jitter);
        return { kind: 'noPlace', retryAfterMs, reason: isEvacuated ? 'evacuated' : 'unavailable' };
      }
      await clock.sleep(Math.max(MIN_WAIT_MS, waitMs));
    }
  }

  /**
   * Time until a candidate target becomes available, milliseconds; 0 if one is or if there is none, infinite if all are
   * evacuated.
   */
  private untilAvailableMs(
    { service, excluded, writers }: Pick<PlacementRequest, 'service' | 'excluded' | 'writers'>,
    unavailable: readonly string[],
  ): number {
    if (unavailable.length === 0) return 0;
    const candidates = this.options.fleetState.registry.ready(service).filter(({ id }) => {
      return !excluded.includes(id) && writers?.includes(id) !== false;
    });
    if (candidates.length === 0 || candidates.some(({ id }) => !unavailable.includes(id))) return 0;
    return Math.min(...candidates.map(({ id }) => this.options.availability.waitMs(id)));
  }

  /** Asks the leader for a placement; undefined if there is no leader, or it is lost meanwhile. */
  private async placeByLeader(
    request: PlacementRequest,
    { until, leavesAt }: WaitDeadlines,
  ): Promise<Choice | undefined> {
    const { link, now } = this.options;
    const { leader } = link;
    if (leader === '' || link.confirmationAgeMs >= MAX_LEADER_AGE_MS) return undefined;
    return this.requestPlacement(leader, {
      ...request,
      patienceMs: Math.max(0, until - now()),
      ...(request.leavesInMs !== undefined && { leavesInMs: Math.max(0, leavesAt - now()) }),
    });
  }

  private async requestPlacement(
    leader: string,
    request: PlacementRequest,
  ): Promise<Choice | undefined> {
    const { name, dataCentre, client, link } = this.options;
    const message: messages.PlaceRequest = { ...request, entry: name, dataCentre };
    const ticket = this.options.coldGrants?.begin();
    const pending = client.call<messages.PlaceAnswer>(leader, 'place', message, {
      timeoutMs: longestWaitMs(request) + LATE_ANSWER_WINDOW_MS,
      toleratesDelay: true,
    });
    const answer = await this.awaitLeader(pending, request);
    if (answer === undefined) {
      void pending.then((late) => this.releaseLatePlacement(request, late));
      return undefined;
    }
    if (answer.err || answer.val.kind === 'redirect') {
      link.reportFailure(leader);
      return undefined;
    }
    if (answer.val.kind === 'noPlace') return answer.val;
    const { placement } = answer.val;
    this.addColdGrants(placement, ticket);
    const target = this.dispatchTarget(placement.target);
    this.running.set(request.id, { request: { ...request, entry: name, dataCentre }, ...target });
    return {
      kind: 'placed',
      placement,
      release: (outcome, observed) => this.report(request.id, target, outcome, observed),
    };
  }

  /** The leader's answer; undefined if it is late, or if the leader is lost or appears to be. */
  private async awaitLeader<T>(
    pending: Promise<T>,
    request: PlacementRequest,
  ): Promise<T | undefined> {
    const { link } = this.options;
    const hasShortObjective = request.objectiveMs < SHORT_OBJECTIVE_MS;
    let giveUp = (): void => undefined;
    const gaveUp = new Promise<undefined>((resolve) => {
      giveUp = () => resolve(undefined);
    });
    // Repeated, because a leader that responded a moment ago isn't probed at once.
    const check = (): void => {
      void link.probe();
      if (!hasShortObjective || link.unansweredMs <= LEADER_OVERDUE_MS) return;
      clock.afterPendingEvents(() => {
        if (link.unansweredMs > LEADER_OVERDUE_MS) giveUp();
      });
    };
    const checks = setInterval(
      check,
      hasShortObjective ? SHORT_CHECK_INTERVAL_MS : PLACE_TIMEOUT_MS,
    );
    const stopTimeout = clock.startTimeout(longestWaitMs(request) + PLACE_TIMEOUT_MS, giveUp);
    const stopListening = link.onLost(giveUp);
    const answer = await Promise.race([pending, gaveUp]);
    clearInterval(checks);
    stopTimeout();
    stopListening();
    return answer;
  }

  /** Releases a placement that came after the deadline, so that the leader doesn't count an unused dispatch. */
  private releaseLatePlacement({ id }: PlacementRequest, late: PlaceResult): void {
    if (late.err || late.val.kind !== 'placed') return;
    this.report(id, this.dispatchTarget(late.val.placement.target), 'cancelled');
  }

  /** Places by this entry's own dispatches; undefined if no engine has room. */
  private placeLocally(request: PlacementRequest): Choice | undefined {
    const { name, dataCentre, now, observer } = this.options;
    const placement = this.fallback.place({ ...request, entry: name, dataCentre }, now());
    if (placement === undefined) return undefined;
    observer.log('placedLocally', { request: request.id, target: placement.target });
    this.addColdGrants(placement, this.options.coldGrants?.begin());
    [placement, ...placement.helpers].forEach(({ target }) => this.options.limits.spent(target));
    const target = this.dispatchTarget(placement.target);
    this.running.set(request.id, { request: { ...request, entry: name, dataCentre }, ...target });
    const release: Release = (outcome, observed) => {
      this.fallback.endDispatch(request.id, outcome, now(), observed);
      this.report(request.id, target, outcome, observed);
    };
    return { kind: 'placed', placement, release };
  }

  /** Whether the caller will have left before any engine could send a first event. */
  private isHopeless(request: PlacementRequest, leavesAt: number): boolean {
    if (request.leavesInMs === undefined) return false;
    const now = this.options.now();
    const availableMs = this.fallback.nextAvailableMs(request.service, now);
    const firstEventAt = now + availableMs + this.fallback.minPrefillMs(request);
    return Number.isFinite(availableMs) && firstEventAt > leavesAt;
  }

  /** A placement contains the grants for its engines. */
  private addColdGrants({ target, helpers }: Placement, ticket = 0): void {
    [target, ...helpers.map((helper) => helper.target)].forEach((each) => {
      this.options.coldGrants?.add(each, ticket);
    });
  }

  /** Retry-After where no engine became free in time, milliseconds. */
  private retryAfterMs({ service }: PlacementRequest): number {
    const now = this.options.now();
    const waitMs = this.fallback.limitedForMs(service, 0, now);
    return Math.max(
      clampRetryAfterMs(this.fallback.nextAvailableMs(service, now)),
      limitRetryAfterMs({ waitMs }),
    );
  }

  /**
   * Targets with rate limits get the calls that no other target can take, and occasionally a call that shows whether
   * the limit is over.
   */
  private async choosePlain(
    request: PlacementRequest,
    { until, backOffUntil }: WaitDeadlines,
  ): Promise<Choice> {
    const { limits, now } = this.options;
    for (;;) {
      const availability = await this.awaitAvailability(request, backOffUntil);
      if (availability.kind === 'noPlace') return availability;
      const { unlimited, limited } = this.eligibleTargets({
        ...request,
        excluded: availability.excluded,
      });
      const healthy = this.usableOf(unlimited);
      const healthyLimited = this.usableOf(limited);
      if (healthy.length > 0) {
        const { cold, others } = this.splitCold(healthyLimited);
        const probe = await limits.grantProbe(others);
        const probed = limited.find(({ address }) => address === probe?.address);
        const granted = probed ?? (await this.grantCold(cold, healthy));
        return this.placePlain(granted ?? this.leastBusy(healthy));
      }
      if (limited.length === 0) {
        if (unlimited.length > 0) return this.placePlain(this.leastBusy(unlimited));
        return { kind: 'noPlace', retryAfterMs: NO_TARGET_RETRY_MS };
      }
      const candidates = healthyLimited.length > 0 ? healthyLimited : limited;
      const grant = await this.grant(candidates);
      if (grant.kind === 'granted') return this.placePlain(grant.target);
      if (unlimited.length > 0) return this.placePlain(this.leastBusy(unlimited));
      const waitMs = Number.isFinite(grant.waitMs) ? grant.waitMs : PLACEMENT_RETRY_MS;
      if (now() + waitMs > until) {
        return { kind: 'noPlace', retryAfterMs: limitRetryAfterMs(grant), reason: 'limited' };
      }
      await clock.sleep(Math.max(MIN_WAIT_MS, waitMs));
    }
  }

  private splitCold(limited: readonly Announcement[]): {
    cold: Announcement[];
    others: Announcement[];
  } {
    const { limits } = this.options.fleetState;
    return {
      cold: limited.filter((record) => limits.isCold(record)),
      others: limited.filter((record) => !limits.isCold(record)),
    };
  }

  /**
   * A cold target for a call, if every warm one has more running calls. While the leader grants none, the warm ones are
   * used without another question.
   */
  private async grantCold(
    cold: readonly Announcement[],
    warm: readonly Announcement[],
  ): Promise<Announcement | undefined> {
    const { now } = this.options;
    const callsOf = (record: Announcement): number =>
      this.activeCalls.get(lifetimeKey(record)) ?? 0;
    const least = Math.min(...warm.map(callsOf));
    const candidates = cold.filter((record) => callsOf(record) < least);
    if (candidates.length === 0 || now() < this.askForColdAt) return undefined;
    const grant = await this.grant(candidates);
    if (grant.kind === 'granted') return grant.target;
    this.askForColdAt = now() + Math.min(grant.waitMs, MAX_COLD_PAUSE_MS);
    return undefined;
  }

  private async grant(candidates: readonly Announcement[]): Promise<TargetGrant> {
    const { limits, coldGrants: grants } = this.options;
    const ticket = grants?.begin() ?? 0;
    const grant = await limits.grant(candidates);
    if (grant.kind !== 'granted') return grant;
    const target =
      candidates.find(({ address }) => address === grant.place.address) ?? candidates[0];
    grants?.add(target.id, ticket);
    return { kind: 'granted', target };
  }

  /** Ready targets that may take a call, split into those without a rate limit and those with one. */
  private eligibleTargets({ service, excluded, writers }: PlacementRequest): {
    unlimited: Announcement[];
    limited: Announcement[];
  } {
    const { fleetState: state } = this.options;
    const ready = state.registry.ready(service).filter(({ id }) => {
      return !excluded.includes(id) && writers?.includes(id) !== false;
    });
    return {
      unlimited: ready.filter((record) => !state.limits.isLimited(record)),
      limited: ready.filter((record) => state.limits.isLimited(record)),
    };
  }

  /**
   * Targets that aren't ejected. One that hasn't announced itself since all keepers were down may be gone, so it gets
   * one call at a time, unless there is no other.
   */
  private usableOf(records: Announcement[]): Announcement[] {
    const isIdle = (record: Announcement): boolean => !this.activeCalls.has(lifetimeKey(record));
    const healthy = records.filter((record) => {
      const health = this.targetHealth.get(record.id);
      return health?.isUsable(this.options.now(), isIdle(record)) !== false;
    });
    const preferred = healthy.filter((record) => !record.isRemembered || isIdle(record));
    return preferred.length > 0 ? preferred : healthy;
  }

  private leastBusy(records: readonly Announcement[]): Announcement {
    const { random, dataCentre } = this.options;
    const scored = records.map((record) => {
      const distance = record.dataCentre === dataCentre ? 0 : 0.5;
      const calls = this.activeCalls.get(lifetimeKey(record)) ?? 0;
      return { record, score: calls + distance + random.uniform() };
    });
    return scored.reduce((best, each) => (each.score < best.score ? each : best)).record;
  }

  private placePlain({ id, address, bornAt }: Announcement): Choice {
    const key = lifetimeKey({ id, bornAt });
    this.activeCalls.set(key, (this.activeCalls.get(key) ?? 0) + 1);
    const placement = { target: id, address, helpers: [], firstTokenMs: 0 };
    return {
      kind: 'placed',
      placement,
      release: (outcome) => this.releasePlain({ id, bornAt }, outcome),
    };
  }

  private releasePlain(lifetime: Lifetime, outcome: DispatchOutcome): void {
    const key = lifetimeKey(lifetime);
    const remaining = (this.activeCalls.get(key) ?? 1) - 1;
    if (remaining > 0) this.activeCalls.set(key, remaining);
    else this.activeCalls.delete(key);
    const { id: target, bornAt } = lifetime;
    // The outcome of a call to a former lifetime tells nothing about the present one.
    if (this.options.fleetState.registry.get(target)?.bornAt !== bornAt) return;
    const health =
      this.targetHealth.get(target) ?? new domain.allocation.targetHealth.TargetHealth();
    health.recordOutcome(outcome, this.options.now());
    this.targetHealth.set(target, health);
    // The leader is informed as well: it may be the only one that can presume the lifetime ended, for all entries.
    if (outcome === 'replaced') this.report('', { target, bornAt }, outcome);
  }

  /** Discards the health of a target whose lifetime ended. */
  forget(target: string): void {
    this.targetHealth.delete(target);
  }

  /** The target of a placement with the lifetime that is known here, if any. */
  private dispatchTarget(target: string): DispatchTarget {
    return { target, bornAt: this.options.fleetState.registry.get(target)?.bornAt };
  }

  /**
   * Reports to the current leader, even if an earlier one placed the dispatch: the current one may count it as well.
   */
  private report(
    id: string,
    target: DispatchTarget,
    outcome: DispatchOutcome,
    observed: DispatchObservations = {},
  ): void {
    this.running.delete(id);
    this.scheduleReports();
    this.finishedDispatches.push({ id, ending: outcome, ...target, ...observed });
  }

  /** Reports whether another VM reaches a target that a dispatch of this entry didn't reach. */
  reportVerdict(target: string, isAlive: boolean): void {
    this.scheduleReports();
    this.verdicts.push({ ...this.dispatchTarget(target), isAlive });
  }

  private scheduleReports(): void {
    const isScheduled = this.finishedDispatches.length > 0 || this.verdicts.length > 0;
    if (!isScheduled) setTimeout(() => this.sendReports(), REPORT_BATCH_MS);
  }

  private sendReports(): void {
    const dispatches = this.finishedDispatches.splice(0);
    const verdicts = this.verdicts.splice(0);
    const { leader } = this.options.link;
    if (leader === '') return;
    this.options.client.notify(leader, 'ended', {
      dispatches,
      ...(verdicts.length > 0 && { verdicts }),
    } satisfies messages.FinishedDispatches);
  }
}

/** How long a request may wait for the leader's answer, milliseconds. */
function longestWaitMs({ patienceMs, leavesInMs = 0 }: PlacementRequest): number {
  return Math.max(patienceMs, leavesInMs);
}

/** How long a request may wait for targets that are unavailable to this VM, milliseconds. */
function maxUnavailableWaitMs({ objectiveMs, waitedMs }: PlacementRequest): number {
  return Math.max(0, MAX_UNAVAILABLE_WAIT_SHARE * objectiveMs - waitedMs);
}

/** Retry-After where rate limits block all targets, milliseconds; the wait is unknown while there is no leader. */
function limitRetryAfterMs({ waitMs }: { waitMs: number }): number {
  return clampRetryAfterMs(Number.isFinite(waitMs) ? waitMs : NO_TARGET_RETRY_MS);
}

/** Clamps a Retry-After to `RETRY_AFTER_MS`. */
function clampRetryAfterMs(ms: number): number {
  const { min, max } = RETRY_AFTER_MS;
  return Math.round(Math.min(max, Math.max(min, ms)));
}
