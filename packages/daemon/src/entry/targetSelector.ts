/**
 * Where a request goes. Prompts get their engines from the leader's allocator, which has one view of all
 * dispatches; while it doesn't answer, the entry places by its own dispatches. Calls to plain services
 * go to the ready target with the fewest calls of this entry.
 */
import * as domain from '@celerydrift/domain';
import type { Result } from 'ts-results';
import * as clock from '../clock';
import type * as holding from '../fleet/holding';
import type * as leaderLink from '../fleet/leaderLink';
import type * as messages from '../fleet/messages';
import type * as observer from '../observability/observer';
import type * as errors from '../rpc/errors';
import type * as peerClient from '../rpc/peerClient';
import type * as rateLimitClient from './rateLimitClient';
import type * as targetSignals from './targetSignals';

type Announcement = domain.registry.registry.Announcement;
type DispatchOutcome = domain.allocation.soundness.Ending;
type Placement = domain.allocation.allocator.Placement;
type PlaceResult = Result<messages.PlaceAnswer, errors.CallError>;

export interface PlacementRequest {
  id: string;
  service: string;
  tokens: number;
  answerTokens: number;
  objectiveMs: number;
  pauseMs: number;
  /** How long the caller has waited already. */
  waitedMs: number;
  excluded: readonly string[];
  /** The only targets that may answer; undefined for any. */
  writers?: readonly string[];
  /** How many targets ended while they ran its content; undefined for none. */
  endings?: number;
  patienceMs: number;
}

/** What an entry saw of a dispatch beside its ending. */
export interface DispatchObservations {
  /** The target that made it fail, where that isn't the chosen one. */
  faulty?: string;
  /** Usual pause between its events, milliseconds. */
  gapMs?: number;
}

/** Says how a dispatch ended. */
export type Release = (outcome: DispatchOutcome, observed?: DispatchObservations) => void;

/** Why there is no place; `closed` where no target takes a further request from this VM for a while. */
export type NoPlaceReason = 'full' | 'limited' | 'closed';

/** No target has a place; `reason` is missing where it is the usual one, that all are full or gone. */
interface NoPlace {
  kind: 'noPlace';
  retryAfterMs: number;
  reason?: NoPlaceReason;
}

export type Choice = { kind: 'placed'; placement: Placement; release: Release } | NoPlace;

/** Until when a request waits for a place, and for targets that want nothing from this VM. */
interface WaitDeadlines {
  until: number;
  backOffUntil: number;
}

/** Some target takes requests from this VM; `excluded` are those that the request mustn't go to. */
interface Availability {
  kind: 'open';
  excluded: readonly string[];
}

export interface Options {
  name: string;
  dataCentre: string;
  holding: holding.Holding;
  link: leaderLink.LeaderLink;
  client: peerClient.PeerClient;
  limits: Pick<rateLimitClient.RateLimitClient, 'grant' | 'grantProbe' | 'spent'>;
  signals: Pick<targetSignals.TargetSignals, 'unavailable' | 'waitMs'>;
  observer: observer.Observer;
  random: domain.shared.random.Random;
  now: () => number;
}

/** The leader is asked only if it confirmed this entry lately; two of the usual pauses, milliseconds. */
const MAX_LEADER_AGE_MS = 1_300;

/** What the leader's answer may take beyond the wait for a place, milliseconds: ten times the usual. */
const PLACE_TIMEOUT_MS = 150;

/**
 * A prompt with a shorter objective must hurry, milliseconds: it would come late while its entry finds out whether the leader is
 * lost. It goes on without the leader as soon as that owes a sign of life for `SILENT_MS`, thirty ways there and back; one that
 * is only busy, or keeps the prompt waiting for a place, gives it within a few.
 */
const SHORT_OBJECTIVE_MS = 900;
const SHORT_CHECK_INTERVAL_MS = 60;
const LEADER_OVERDUE_MS = 50;

/** An answer that comes later than this after it was due is not waited for to give its place back, milliseconds. */
const LATE_ANSWER_WINDOW_MS = 5_000;

/** Ends of dispatches are gathered for so long before they are told to the leader, milliseconds. */
const REPORT_BATCH_MS = 5;

/**
 * Pause before a prompt without a place is considered again while nobody leads, milliseconds: about a pass of an engine. Refused
 * at once, long prompts came back to the same full engines while their callers had seconds left.
 */
const PLACEMENT_RETRY_MS = 50;

/** Pause before a limited target is asked for once more, milliseconds. */
const MIN_WAIT_MS = 10;

/** Bounds of what callers are told to stay away where engines are full, milliseconds. */
const RETRY_AFTER_MS = { min: 200, max: 2_000 } as const;

/**
 * Part of its objective for which a request waits for targets that want nothing from this VM. Held longer, it would be late even if
 * the first one took it; refused, its caller may find another VM that they didn't turn away.
 */
const MAX_UNAVAILABLE_WAIT_SHARE = 0.5;

/** Callers whom all targets turned away are told to stay away up to this part longer, so that they don't return together. */
const RETRY_AFTER_JITTER = 0.5;

/** How long callers are told to stay away where no target is there, milliseconds. */
const NO_TARGET_RETRY_MS = 500;

export class TargetSelector {
  /** Places by this entry's dispatches alone. */
  readonly fallback: domain.allocation.allocator.Allocator;

  private readonly activeCalls = new Map<string, number>();

  private readonly targetHealth = new Map<string, domain.allocation.soundness.Soundness>();

  /** Dispatches on engines that run, by request. */
  private readonly running = new Map<string, messages.Dispatched>();

  private finishedDispatches: messages.Ended['dispatches'] = [];

  constructor(private readonly options: Options) {
    const { random, holding: held } = options;
    this.fallback = new domain.allocation.allocator.Allocator(random, undefined, held.limits);
  }

  get dispatches(): messages.Dispatched[] {
    return [...this.running.values()];
  }

  async choose(request: PlacementRequest): Promise<Choice> {
    const service = this.options.holding.directory?.service(request.service);
    const until = this.options.now() + request.patienceMs;
    const backOffUntil = Math.min(until, this.options.now() + maxUnavailableWaitMs(request));
    if (service?.engine === undefined) return this.choosePlain(request, { until, backOffUntil });
    for (let retries = 0; ; retries++) {
      // A leader that was given up may give a place for the first question yet, which must not be taken for one of a later.
      const id = retries === 0 ? request.id : `${request.id}.${retries}`;
      const availability = await this.awaitAvailability(request, backOffUntil);
      if (availability.kind === 'noPlace') return availability;
      const allowed = { ...request, id, excluded: availability.excluded };
      const choice = (await this.placeByLeader(allowed, until)) ?? this.placeLocally(allowed);
      if (choice !== undefined) return choice;
      const leftMs = until - this.options.now();
      if (leftMs <= 0) return { kind: 'noPlace', retryAfterMs: this.nextPlaceMs(request) };
      await clock.pause(Math.min(leftMs, PLACEMENT_RETRY_MS));
    }
  }

  /** Until the first target of a service takes a request from this VM, milliseconds; 0 where one does, or where there is none. */
  unavailableForMs(service: string): number {
    return this.untilAvailableMs(
      { service, excluded: [] },
      this.options.signals.unavailable(service),
    );
  }

  /** Waits for a target that takes requests from this VM, if there may be one in time. */
  private async awaitAvailability(
    request: PlacementRequest,
    until: number,
  ): Promise<Availability | NoPlace> {
    const { now, signals, random } = this.options;
    for (;;) {
      const unavailable = signals.unavailable(request.service);
      const waitMs = this.untilAvailableMs(request, unavailable);
      if (waitMs === 0) return { kind: 'open', excluded: [...request.excluded, ...unavailable] };
      if (now() + waitMs > until) {
        const jitter = 1 + RETRY_AFTER_JITTER * random.uniform();
        const retryAfterMs = Math.round(Math.max(RETRY_AFTER_MS.min, waitMs) * jitter);
        return { kind: 'noPlace', retryAfterMs, reason: 'closed' };
      }
      await clock.pause(Math.max(MIN_WAIT_MS, waitMs));
    }
  }

  /** How long all targets that may take a request are closed, milliseconds; 0 where one isn't, or where there is none. */
  private untilAvailableMs(
    { service, excluded, writers }: Pick<PlacementRequest, 'service' | 'excluded' | 'writers'>,
    unavailable: readonly string[],
  ): number {
    if (unavailable.length === 0) return 0;
    const candidates = this.options.holding.registry.ready(service).filter(({ id }) => {
      return !excluded.includes(id) && writers?.includes(id) !== false;
    });
    if (candidates.length === 0 || candidates.some(({ id }) => !unavailable.includes(id))) return 0;
    return Math.min(...candidates.map(({ id }) => this.options.signals.waitMs(id)));
  }

  /** The leader's answer; undefined where nobody leads, or the leader is lost meanwhile. */
  private async placeByLeader(
    request: PlacementRequest,
    until: number,
  ): Promise<Choice | undefined> {
    const { link, now } = this.options;
    const { leader } = link;
    if (leader === '' || link.age >= MAX_LEADER_AGE_MS) return undefined;
    return this.requestPlacement(leader, { ...request, patienceMs: Math.max(0, until - now()) });
  }

  private async requestPlacement(
    leader: string,
    request: PlacementRequest,
  ): Promise<Choice | undefined> {
    const { name, dataCentre, client, link } = this.options;
    const message: messages.Place = { ...request, entry: name, dataCentre };
    const pending = client.call<messages.PlaceAnswer>(leader, 'place', message, {
      timeoutMs: request.patienceMs + LATE_ANSWER_WINDOW_MS,
      toleratesDelay: true,
    });
    const answer = await this.awaitLeader(pending, request);
    if (answer === undefined) {
      void pending.then((late) => this.releaseLatePlacement(request, late));
      return undefined;
    }
    if (answer.err || answer.val.kind === 'redirect') {
      link.doubt(leader);
      return undefined;
    }
    if (answer.val.kind === 'noPlace') return answer.val;
    const { placement } = answer.val;
    this.running.set(request.id, {
      request: { ...request, entry: name, dataCentre },
      target: placement.target,
    });
    return {
      kind: 'placed',
      placement,
      release: (outcome, observed) => this.report(request.id, placement.target, outcome, observed),
    };
  }

  /** The leader's answer; undefined where it comes too late, or the leader is lost or seems to be before. */
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
    // Again and again, as one that has just given a sign of life isn't asked at once.
    const check = (): void => {
      void link.verify();
      if (hasShortObjective && link.silentMs > LEADER_OVERDUE_MS) giveUp();
    };
    const checks = setInterval(
      check,
      hasShortObjective ? SHORT_CHECK_INTERVAL_MS : PLACE_TIMEOUT_MS,
    );
    const limit = setTimeout(giveUp, request.patienceMs + PLACE_TIMEOUT_MS);
    const stopListening = link.onLost(giveUp);
    const answer = await Promise.race([pending, gaveUp]);
    clearInterval(checks);
    clearTimeout(limit);
    stopListening();
    return answer;
  }

  /** The leader gave a place after all: nobody uses it, so it must not count there. */
  private releaseLatePlacement({ id }: PlacementRequest, late: PlaceResult): void {
    if (late.err || late.val.kind !== 'placed') return;
    this.report(id, late.val.placement.target, 'cancelled');
  }

  /** A place by this entry's own dispatches; undefined where no engine has room. */
  private placeLocally(request: PlacementRequest): Choice | undefined {
    const { name, dataCentre, now, observer } = this.options;
    const placement = this.fallback.place({ ...request, entry: name, dataCentre }, now());
    if (placement === undefined) return undefined;
    observer.log('placedLocally', { request: request.id, target: placement.target });
    [placement, ...placement.helpers].forEach(({ target }) => this.options.limits.spent(target));
    this.running.set(request.id, {
      request: { ...request, entry: name, dataCentre },
      target: placement.target,
    });
    const release: Release = (outcome, observed) => {
      this.fallback.ended(request.id, outcome, now(), observed);
      this.report(request.id, placement.target, outcome, observed);
    };
    return { kind: 'placed', placement, release };
  }

  private nextPlaceMs({ service }: PlacementRequest): number {
    const now = this.options.now();
    const waitMs = this.fallback.limitedForMs(service, 0, now);
    return Math.max(
      clampRetryAfterMs(this.fallback.nextPlaceMs(service, now)),
      limitRetryAfterMs({ waitMs }),
    );
  }

  /** Targets with limits get what the others can't take, and now and then a call that shows whether the limit is over. */
  private async choosePlain(
    request: PlacementRequest,
    { until, backOffUntil }: WaitDeadlines,
  ): Promise<Choice> {
    const { limits, now } = this.options;
    for (;;) {
      const availability = await this.awaitAvailability(request, backOffUntil);
      if (availability.kind === 'noPlace') return availability;
      const { open, limited } = this.eligibleTargets({
        ...request,
        excluded: availability.excluded,
      });
      const healthy = this.usableOf(open);
      const healthyLimited = this.usableOf(limited);
      if (healthy.length > 0) {
        const probe = await limits.grantProbe(healthyLimited);
        const probed = limited.find(({ address }) => address === probe?.address);
        return this.placePlain(probed ?? this.leastBusy(healthy));
      }
      if (limited.length === 0) {
        if (open.length > 0) return this.placePlain(this.leastBusy(open));
        return { kind: 'noPlace', retryAfterMs: NO_TARGET_RETRY_MS };
      }
      const candidates = healthyLimited.length > 0 ? healthyLimited : limited;
      const grant = await limits.grant(candidates);
      if (grant.kind === 'granted') {
        const granted = candidates.find(({ address }) => address === grant.place.address);
        return this.placePlain(granted ?? candidates[0]);
      }
      if (open.length > 0) return this.placePlain(this.leastBusy(open));
      const waitMs = Number.isFinite(grant.waitMs) ? grant.waitMs : PLACEMENT_RETRY_MS;
      if (now() + waitMs > until) {
        return { kind: 'noPlace', retryAfterMs: limitRetryAfterMs(grant), reason: 'limited' };
      }
      await clock.pause(Math.max(MIN_WAIT_MS, waitMs));
    }
  }

  /** Ready targets that may take a call, those without and those with a limit. */
  private eligibleTargets({ service, excluded, writers }: PlacementRequest): {
    open: Announcement[];
    limited: Announcement[];
  } {
    const { holding: held } = this.options;
    const ready = held.registry.ready(service).filter(({ id }) => {
      return !excluded.includes(id) && writers?.includes(id) !== false;
    });
    return {
      open: ready.filter((record) => !held.limits.isLimited(record)),
      limited: ready.filter((record) => held.limits.isLimited(record)),
    };
  }

  /** Those that take work; one that hasn't spoken since all keepers were down may be gone, and gets one call at a time. */
  private usableOf(records: Announcement[]): Announcement[] {
    const healthy = records.filter(({ id }) => {
      return (
        this.targetHealth.get(id)?.isUsable(this.options.now(), !this.activeCalls.has(id)) !== false
      );
    });
    const preferred = healthy.filter(
      ({ id, isRemembered }) => !(isRemembered && this.activeCalls.has(id)),
    );
    return preferred.length > 0 ? preferred : healthy;
  }

  private leastBusy(records: readonly Announcement[]): Announcement {
    const { random, dataCentre } = this.options;
    const scored = records.map((record) => {
      const distance = record.dataCentre === dataCentre ? 0 : 0.5;
      const calls = this.activeCalls.get(record.id) ?? 0;
      return { record, score: calls + distance + random.uniform() };
    });
    return scored.reduce((best, each) => (each.score < best.score ? each : best)).record;
  }

  private placePlain({ id, address }: Announcement): Choice {
    this.activeCalls.set(id, (this.activeCalls.get(id) ?? 0) + 1);
    const placement = { target: id, address, helpers: [], firstTokenMs: 0 };
    return { kind: 'placed', placement, release: (outcome) => this.releasePlain(id, outcome) };
  }

  private releasePlain(target: string, outcome: DispatchOutcome): void {
    const left = (this.activeCalls.get(target) ?? 1) - 1;
    if (left > 0) this.activeCalls.set(target, left);
    else this.activeCalls.delete(target);
    const health = this.targetHealth.get(target) ?? new domain.allocation.soundness.Soundness();
    health.ended(outcome, this.options.now());
    this.targetHealth.set(target, health);
    // The leader is told too: it may be the only one that can presume the lifetime ended for all.
    if (outcome === 'replaced') this.report('', target, outcome);
  }

  /** A lifetime ended: nothing more is known of it. */
  forget(target: string): void {
    this.targetHealth.delete(target);
  }

  /** Tells whoever leads now: a new leader may have counted a dispatch of the old one. */
  private report(
    id: string,
    target: string,
    outcome: DispatchOutcome,
    observed: DispatchObservations = {},
  ): void {
    this.running.delete(id);
    if (this.finishedDispatches.length === 0) setTimeout(() => this.sendReports(), REPORT_BATCH_MS);
    this.finishedDispatches.push({ id, ending: outcome, target, ...observed });
  }

  private sendReports(): void {
    const dispatches = this.finishedDispatches.splice(0);
    const { leader } = this.options.link;
    if (leader === '') return;
    this.options.client.notify(leader, 'ended', { dispatches } satisfies messages.Ended);
  }
}

/** How long a request may wait for targets that want nothing from this VM, milliseconds. */
function maxUnavailableWaitMs({ objectiveMs, waitedMs }: PlacementRequest): number {
  return Math.max(0, MAX_UNAVAILABLE_WAIT_SHARE * objectiveMs - waitedMs);
}

/** How long to stay away for the limits of targets; while nobody leads, nobody knows. */
function limitRetryAfterMs({ waitMs }: { waitMs: number }): number {
  return clampRetryAfterMs(Number.isFinite(waitMs) ? waitMs : NO_TARGET_RETRY_MS);
}

/** A time to stay away that callers bear. */
function clampRetryAfterMs(ms: number): number {
  const { min, max } = RETRY_AFTER_MS;
  return Math.round(Math.min(max, Math.max(min, ms)));
}
