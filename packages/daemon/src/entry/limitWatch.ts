/**
 * An entry's part in keeping to the limits that targets name. Tells the leader what answers say of them, and what it sent without
 * asking; asks it for messages that the allocator doesn't place. While nobody leads, the entry gives out its own part of each limit.
 */
import * as domain from '@celerydrift/domain';
import * as clock from '../clock';
import type * as protocols from '../edges/protocols';
import type * as holding from '../fleet/holding';
import type * as messages from '../fleet/messages';
import type * as observer from '../observability/observer';
import * as leaderCall from './leaderCall';
import * as leaderOutbox from './leaderOutbox';
import * as untoldLimits from './untoldLimits';

const { keyOf } = domain.rateLimits.rateLimits;

type Place = domain.rateLimits.rateLimits.Place;

/** A request that a target answered. */
export interface Answered extends Place {
  requestId: string;
  target: string;
  status: number;
  /** On the steady clock, milliseconds. */
  sentAt: number;
}

export type Grant = Exclude<messages.GrantAnswer, messages.Redirect>;

export interface Parts extends leaderCall.Parts {
  holding: Pick<holding.Holding, 'limits' | 'registry'>;
  observer: observer.Observer;
  now: () => number;
}

/**
 * Pause between an entry's trials of a target with a limit while other targets take all calls, milliseconds; longer where more
 * entries share the trials.
 */
const TRIAL_EVERY_MS = 1_000;
const ENTRIES_TRYING = 5;

export class LimitWatch {
  /** When this entry tries a target with a limit next, by place. */
  private readonly trials = new Map<string, number>();

  private readonly untold = new untoldLimits.UntoldLimits();

  private isTelling = false;

  private isClosed = false;

  /** How many entries share the limits while nobody leads; 0 while that isn't known. */
  private entries = 0;

  constructor(private readonly parts: Parts) {}

  /** A leader confirmed this entry, and gives out the limits. */
  leaderFound(entries: number): void {
    if (entries > 0) this.entries = entries;
    this.parts.holding.limits.giveOut(0, this.parts.now());
  }

  leaderLost(): void {
    const share = this.entries === 0 ? 0 : 1 / this.entries;
    this.parts.holding.limits.giveOut(share, this.parts.now());
  }

  /** A target answered a request of a caller. */
  answered(answer: Answered, limit: protocols.NamedLimit): void {
    const { observer: observe, holding: held } = this.parts;
    if (limit.kind !== 'none') observe.count(`limits.${limit.kind}`);
    if (limit.kind === 'unreadable') return;
    const since = held.limits.knownSince(answer);
    // An answer to a request from before the limit was known may be older than the limit.
    if (limit.kind === 'none' && (since === undefined || answer.sentAt <= since)) return;
    const before = held.limits.at(answer);
    const perSecond = limit.kind === 'none' ? undefined : limit.perSecond;
    const { service, address } = answer;
    if (!held.limits.set({ service, address, perSecond }, this.parts.now())) return;
    if (perSecond === undefined) this.trials.delete(keyOf(answer));
    const event = perSecond === undefined ? 'targetLimitEnded' : 'targetLimited';
    observe.log(event, { ...answer, sentAt: undefined, perSecond, before });
    this.untold.note({ service, address, perSecond });
    void this.tellLeader();
  }

  /** A message went to a target without the leader's word. */
  spent(target: string): void {
    const record = this.parts.holding.registry.get(target);
    if (record !== undefined) this.spentAt(record);
  }

  /** Whether a target may be asked whether it lives. */
  async mayCheck(target: string): Promise<boolean> {
    const record = this.parts.holding.registry.get(target);
    if (record === undefined || !this.parts.holding.limits.isLimited(record)) return true;
    const answer = await this.ask({ places: [placeOf(record)], purpose: 'check' });
    return answer?.kind === 'granted';
  }

  /** One request for one of some places with limits. */
  async grant(places: readonly Place[]): Promise<Grant> {
    const question = { places: places.map(placeOf), purpose: 'request' } as const;
    return (await this.ask(question)) ?? this.grantLocally(places);
  }

  /** One request for a target whose limit may be over; without any, nobody would learn that. */
  async grantTrial(places: readonly Place[]): Promise<Place | undefined> {
    const { now, holding: held } = this.parts;
    const pauseMs = TRIAL_EVERY_MS * Math.max(1, this.entries / ENTRIES_TRYING);
    const due = places.find((place) => {
      const since = held.limits.knownSince(place) ?? now();
      return now() >= (this.trials.get(keyOf(place)) ?? since + pauseMs);
    });
    if (due === undefined) return undefined;
    this.trials.set(keyOf(due), now() + pauseMs);
    const grant = await this.grant([due]);
    return grant.kind === 'granted' ? due : undefined;
  }

  /** What no leader has taken by now stays untold. */
  close(): void {
    this.isClosed = true;
  }

  /** The leader's word; undefined where nobody leads. */
  private ask(question: messages.GrantQuestion): Promise<Grant | undefined> {
    return leaderCall.ask<messages.GrantAnswer>(this.parts, 'grant', question);
  }

  private grantLocally(places: readonly Place[]): Grant {
    const { holding: held, now } = this.parts;
    const place = places.find((each) => held.limits.mayTake(each, now()));
    if (place === undefined) {
      return { kind: 'wait', waitMs: held.limits.waitMs(places, 0, now()) };
    }
    held.limits.take(place, 1, now());
    this.spentAt(place);
    return { kind: 'granted', place };
  }

  private spentAt(place: Place): void {
    if (!this.parts.holding.limits.isLimited(place)) return;
    this.untold.spend(place, 1);
    void this.tellLeader();
  }

  /** Tells the leader until one has taken it. */
  private async tellLeader(): Promise<void> {
    if (this.isTelling) return;
    this.isTelling = true;
    while (!this.untold.isEmpty && !this.isClosed) {
      const told = this.untold.take();
      if (!(await this.isTaken(told))) {
        this.untold.putBack(told);
        await clock.pause(leaderOutbox.TELL_AGAIN_MS);
      }
    }
    this.isTelling = false;
  }

  private async isTaken(told: messages.Limited): Promise<boolean> {
    const answer = await leaderCall.ask<messages.TakenAnswer>(this.parts, 'limited', told);
    return answer !== undefined;
  }
}

function placeOf({ service, address }: Place): Place {
  return { service, address };
}
