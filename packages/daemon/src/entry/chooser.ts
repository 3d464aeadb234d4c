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
import type * as limitWatch from './limitWatch';
import type * as targetSignals from './targetSignals';

type Announcement = domain.registry.registry.Announcement;
type Ending = domain.allocation.soundness.Ending;
type Placement = domain.allocation.allocator.Placement;
type LateAnswer = Result<messages.PlaceAnswer, errors.CallError>;

export interface Wish {
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
export interface Seen {
  /** The target that made it fail, where that isn't the chosen one. */
  faulty?: string;
  /** Usual pause between its events, milliseconds. */
  gapMs?: number;
}

/** Says how a dispatch ended. */
export type Release = (ending: Ending, seen?: Seen) => void;

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
interface Bounds {
  until: number;
  heldUntil: number;
}

/** Some target takes requests from this VM; `excluded` are those that the request mustn't go to. */
interface Opening {
  kind: 'open';
  excluded: readonly string[];
}

export interface Options {
  name: string;
  dataCentre: string;
  holding: holding.Holding;
  link: leaderLink.LeaderLink;
  client: peerClient.PeerClient;
  limits: Pick<limitWatch.LimitWatch, 'grant' | 'grantTrial' | 'spent'>;
  signals: Pick<targetSignals.TargetSignals, 'closed' | 'waitMs'>;
  observer: observer.Observer;
  random: domain.shared.random.Random;
  now: () => number;
}

/** The leader is asked only if it confirmed this entry lately; two of the usual pauses, milliseconds. */
const LEADER_FRESH_MS = 1_300;

/** What the leader's answer may take beyond the wait for a place, milliseconds: ten times the usual. */
const PLACE_TIMEOUT_MS = 150;

/**
 * A prompt with a shorter objective must hurry, milliseconds: it would come late while its entry finds out whether the leader is
 * lost. It goes on without the leader as soon as that owes a sign of life for `SILENT_MS`, thirty ways there and back; one that
 * is only busy, or keeps the prompt waiting for a place, gives it within a few.
 */
const HURRIED_OBJECTIVE_MS = 900;
const HURRIED_CHECK_MS = 60;
const SILENT_MS = 50;

/** An answer that comes later than this after it was due is not waited for to give its place back, milliseconds. */
const ABANDONED_MS = 5_000;

/** Ends of dispatches are gathered for so long before they are told to the leader, milliseconds. */
const GATHER_MS = 5;

/**
 * Pause before a prompt without a place is considered again while nobody leads, milliseconds: about a pass of an engine. Refused
 * at once, long prompts came back to the same full engines while their callers had seconds left.
 */
const LOOK_AGAIN_MS = 50;

/** Pause before a limited target is asked for once more, milliseconds. */
const LEAST_WAIT_MS = 10;

/** Bounds of what callers are told to stay away where engines are full, milliseconds. */
const RETRY_AFTER_MS = { least: 200, most: 2_000 } as const;

/**
 * Part of its objective for which a request waits for targets that want nothing from this VM. Held longer, it would be late even if
 * the first one took it; refused, its caller may find another VM that they didn't turn away.
 */
const HELD_SHARE = 0.5;

/** Callers whom all targets turned away are told to stay away up to this part longer, so that they don't return together. */
const CLOSED_SPREAD = 0.5;

/** How long callers are told to stay away where no target is there, milliseconds. */
const NO_TARGET_RETRY_MS = 500;

export class Chooser {
  /** Places by this entry's dispatches alone. */
  readonly fallback: domain.allocation.allocator.Allocator;

  private readonly calls = new Map<string, number>();

  private readonly soundness = new Map<string, domain.allocation.soundness.Soundness>();

  /** Dispatches on engines that run, by request. */
  private readonly running = new Map<string, messages.Dispatched>();

  private ends: messages.Ended['dispatches'] = [];

  constructor(private readonly options: Options) {
    const { random, holding: held } = options;
    this.fallback = new domain.allocation.allocator.Allocator(random, undefined, held.limits);
  }

  get dispatches(): messages.Dispatched[] {
    return [...this.running.values()];
  }

  async choose(wish: Wish): Promise<Choice> {
    const service = this.options.holding.directory?.service(wish.service);
    const until = this.options.now() + wish.patienceMs;
    const heldUntil = Math.min(until, this.options.now() + heldMs(wish));
    if (service?.engine === undefined) return this.choosePlain(wish, { until, heldUntil });
    for (let asked = 0; ; asked++) {
      // A leader that was given up may give a place for the first question yet, which must not be taken for one of a later.
      const id = asked === 0 ? wish.id : `${wish.id}.${asked}`;
      const opening = await this.awaitOpen(wish, heldUntil);
      if (opening.kind === 'noPlace') return opening;
      const open = { ...wish, id, excluded: opening.excluded };
      const choice = (await this.askAnyLeader(open, until)) ?? this.chooseLocally(open);
      if (choice !== undefined) return choice;
      const leftMs = until - this.options.now();
      if (leftMs <= 0) return { kind: 'noPlace', retryAfterMs: this.nextPlaceMs(wish) };
      await clock.pause(Math.min(leftMs, LOOK_AGAIN_MS));
    }
  }

  /** Until the first target of a service takes a request from this VM, milliseconds; 0 where one does, or where there is none. */
  closedForMs(service: string): number {
    return this.closedMs({ service, excluded: [] }, this.options.signals.closed(service));
  }

  /** Waits for a target that takes requests from this VM, if there may be one in time. */
  private async awaitOpen(wish: Wish, until: number): Promise<Opening | NoPlace> {
    const { now, signals, random } = this.options;
    for (;;) {
      const closed = signals.closed(wish.service);
      const waitMs = this.closedMs(wish, closed);
      if (waitMs === 0) return { kind: 'open', excluded: [...wish.excluded, ...closed] };
      if (now() + waitMs > until) {
        const spread = 1 + CLOSED_SPREAD * random.uniform();
        const retryAfterMs = Math.round(Math.max(RETRY_AFTER_MS.least, waitMs) * spread);
        return { kind: 'noPlace', retryAfterMs, reason: 'closed' };
      }
      await clock.pause(Math.max(LEAST_WAIT_MS, waitMs));
    }
  }

  /** How long all targets that may take a request are closed, milliseconds; 0 where one isn't, or where there is none. */
  private closedMs(
    { service, excluded, writers }: Pick<Wish, 'service' | 'excluded' | 'writers'>,
    closed: readonly string[],
  ): number {
    if (closed.length === 0) return 0;
    const able = this.options.holding.registry.ready(service).filter(({ id }) => {
      return !excluded.includes(id) && writers?.includes(id) !== false;
    });
    if (able.length === 0 || able.some(({ id }) => !closed.includes(id))) return 0;
    return Math.min(...able.map(({ id }) => this.options.signals.waitMs(id)));
  }

  /** The leader's answer; undefined where nobody leads, or the leader is lost meanwhile. */
  private async askAnyLeader(wish: Wish, until: number): Promise<Choice | undefined> {
    const { link, now } = this.options;
    const { leader } = link;
    if (leader === '' || link.age >= LEADER_FRESH_MS) return undefined;
    return this.askLeader(leader, { ...wish, patienceMs: Math.max(0, until - now()) });
  }

  private async askLeader(leader: string, wish: Wish): Promise<Choice | undefined> {
    const { name, dataCentre, client, link } = this.options;
    const question: messages.Place = { ...wish, entry: name, dataCentre };
    const answering = client.call<messages.PlaceAnswer>(leader, 'place', question, {
      timeoutMs: wish.patienceMs + ABANDONED_MS,
      toleratesDelay: true,
    });
    const answer = await this.inTime(answering, wish);
    if (answer === undefined) {
      void answering.then((late) => this.giveBack(wish, late));
      return undefined;
    }
    if (answer.err || answer.val.kind === 'redirect') {
      link.doubt(leader);
      return undefined;
    }
    if (answer.val.kind === 'noPlace') return answer.val;
    const { placement } = answer.val;
    this.running.set(wish.id, {
      request: { ...wish, entry: name, dataCentre },
      target: placement.target,
    });
    return {
      kind: 'placed',
      placement,
      release: (ending, seen) => this.tell(wish.id, placement.target, ending, seen),
    };
  }

  /** The leader's answer; undefined where it comes too late, or the leader is lost or seems to be before. */
  private async inTime<T>(answering: Promise<T>, wish: Wish): Promise<T | undefined> {
    const { link } = this.options;
    const mustHurry = wish.objectiveMs < HURRIED_OBJECTIVE_MS;
    let giveUp = (): void => undefined;
    const given = new Promise<undefined>((resolve) => {
      giveUp = () => resolve(undefined);
    });
    // Again and again, as one that has just given a sign of life isn't asked at once.
    const check = (): void => {
      void link.verify();
      if (mustHurry && link.silentMs > SILENT_MS) giveUp();
    };
    const checks = setInterval(check, mustHurry ? HURRIED_CHECK_MS : PLACE_TIMEOUT_MS);
    const limit = setTimeout(giveUp, wish.patienceMs + PLACE_TIMEOUT_MS);
    const forget = link.onLost(giveUp);
    const answer = await Promise.race([answering, given]);
    clearInterval(checks);
    clearTimeout(limit);
    forget();
    return answer;
  }

  /** The leader gave a place after all: nobody uses it, so it must not count there. */
  private giveBack({ id }: Wish, late: LateAnswer): void {
    if (late.err || late.val.kind !== 'placed') return;
    this.tell(id, late.val.placement.target, 'cancelled');
  }

  /** A place by this entry's own dispatches; undefined where no engine has room. */
  private chooseLocally(wish: Wish): Choice | undefined {
    const { name, dataCentre, now, observer } = this.options;
    const placement = this.fallback.place({ ...wish, entry: name, dataCentre }, now());
    if (placement === undefined) return undefined;
    observer.log('placedLocally', { request: wish.id, target: placement.target });
    [placement, ...placement.helpers].forEach(({ target }) => this.options.limits.spent(target));
    this.running.set(wish.id, {
      request: { ...wish, entry: name, dataCentre },
      target: placement.target,
    });
    const release: Release = (ending, seen) => {
      this.fallback.ended(wish.id, ending, now(), seen);
      this.tell(wish.id, placement.target, ending, seen);
    };
    return { kind: 'placed', placement, release };
  }

  private nextPlaceMs({ service }: Wish): number {
    const now = this.options.now();
    const waitMs = this.fallback.limitedForMs(service, 0, now);
    return Math.max(bounded(this.fallback.nextPlaceMs(service, now)), limitedFor({ waitMs }));
  }

  /** Targets with limits get what the others can't take, and now and then a call that shows whether the limit is over. */
  private async choosePlain(wish: Wish, { until, heldUntil }: Bounds): Promise<Choice> {
    const { limits, now } = this.options;
    for (;;) {
      const opening = await this.awaitOpen(wish, heldUntil);
      if (opening.kind === 'noPlace') return opening;
      const { open, limited } = this.readyFor({ ...wish, excluded: opening.excluded });
      const sound = this.soundOf(open);
      const soundLimited = this.soundOf(limited);
      if (sound.length > 0) {
        const trial = await limits.grantTrial(soundLimited);
        const tried = limited.find(({ address }) => address === trial?.address);
        return this.placePlain(tried ?? this.leastBusy(sound));
      }
      if (limited.length === 0) {
        if (open.length > 0) return this.placePlain(this.leastBusy(open));
        return { kind: 'noPlace', retryAfterMs: NO_TARGET_RETRY_MS };
      }
      const able = soundLimited.length > 0 ? soundLimited : limited;
      const grant = await limits.grant(able);
      if (grant.kind === 'granted') {
        const granted = able.find(({ address }) => address === grant.place.address);
        return this.placePlain(granted ?? able[0]);
      }
      if (open.length > 0) return this.placePlain(this.leastBusy(open));
      const waitMs = Number.isFinite(grant.waitMs) ? grant.waitMs : LOOK_AGAIN_MS;
      if (now() + waitMs > until) {
        return { kind: 'noPlace', retryAfterMs: limitedFor(grant), reason: 'limited' };
      }
      await clock.pause(Math.max(LEAST_WAIT_MS, waitMs));
    }
  }

  /** Ready targets that may take a call, those without and those with a limit. */
  private readyFor({ service, excluded, writers }: Wish): {
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
  private soundOf(records: Announcement[]): Announcement[] {
    const sound = records.filter(({ id }) => {
      return this.soundness.get(id)?.isUsable(this.options.now(), !this.calls.has(id)) !== false;
    });
    const careful = sound.filter(({ id, isRemembered }) => !(isRemembered && this.calls.has(id)));
    return careful.length > 0 ? careful : sound;
  }

  private leastBusy(records: readonly Announcement[]): Announcement {
    const { random, dataCentre } = this.options;
    const scored = records.map((record) => {
      const far = record.dataCentre === dataCentre ? 0 : 0.5;
      const calls = this.calls.get(record.id) ?? 0;
      return { record, score: calls + far + random.uniform() };
    });
    return scored.reduce((best, each) => (each.score < best.score ? each : best)).record;
  }

  private placePlain({ id, address }: Announcement): Choice {
    this.calls.set(id, (this.calls.get(id) ?? 0) + 1);
    const placement = { target: id, address, helpers: [], firstTokenMs: 0 };
    return { kind: 'placed', placement, release: (ending) => this.releasePlain(id, ending) };
  }

  private releasePlain(target: string, ending: Ending): void {
    const left = (this.calls.get(target) ?? 1) - 1;
    if (left > 0) this.calls.set(target, left);
    else this.calls.delete(target);
    const soundness = this.soundness.get(target) ?? new domain.allocation.soundness.Soundness();
    soundness.ended(ending, this.options.now());
    this.soundness.set(target, soundness);
    // The leader is told too: it may be the only one that can presume the lifetime ended for all.
    if (ending === 'replaced') this.tell('', target, ending);
  }

  /** A lifetime ended: nothing more is known of it. */
  forget(target: string): void {
    this.soundness.delete(target);
  }

  /** Tells whoever leads now: a new leader may have counted a dispatch of the old one. */
  private tell(id: string, target: string, ending: Ending, seen: Seen = {}): void {
    this.running.delete(id);
    if (this.ends.length === 0) setTimeout(() => this.flush(), GATHER_MS);
    this.ends.push({ id, ending, target, ...seen });
  }

  private flush(): void {
    const dispatches = this.ends.splice(0);
    const { leader } = this.options.link;
    if (leader === '') return;
    this.options.client.notify(leader, 'ended', { dispatches } satisfies messages.Ended);
  }
}

/** How long a request may wait for targets that want nothing from this VM, milliseconds. */
function heldMs({ objectiveMs, waitedMs }: Wish): number {
  return Math.max(0, HELD_SHARE * objectiveMs - waitedMs);
}

/** How long to stay away for the limits of targets; while nobody leads, nobody knows. */
function limitedFor({ waitMs }: { waitMs: number }): number {
  return bounded(Number.isFinite(waitMs) ? waitMs : NO_TARGET_RETRY_MS);
}

/** A time to stay away that callers bear. */
function bounded(ms: number): number {
  const { least, most } = RETRY_AFTER_MS;
  return Math.round(Math.min(most, Math.max(least, ms)));
}
