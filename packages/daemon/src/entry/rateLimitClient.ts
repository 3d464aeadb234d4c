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
import * as unreportedLimits from './unreportedLimits';

const { keyOf } = domain.rateLimits.rateLimits;

type Place = domain.rateLimits.rateLimits.Place;

/** A request that a target answered. */
export interface AnsweredRequest extends Place {
  requestId: string;
  target: string;
  status: number;
  /** On the steady clock, milliseconds. */
  sentAt: number;
}

export type Grant = Exclude<messages.GrantAnswer, messages.Redirect>;

export interface Dependencies extends leaderCall.Dependencies {
  holding: Pick<holding.Holding, 'limits' | 'registry'>;
  observer: observer.Observer;
  now: () => number;
}

/**
 * Pause between an entry's trials of a target with a limit while other targets take all calls, milliseconds; longer where more
 * entries share the trials.
 */
const PROBE_INTERVAL_MS = 1_000;
const PROBING_ENTRIES = 5;

export class RateLimitClient {
  /** When this entry tries a target with a limit next, by place. */
  private readonly nextProbes = new Map<string, number>();

  private readonly unreported = new unreportedLimits.UnreportedLimits();

  private isReporting = false;

  private isClosed = false;

  /** How many entries share the limits while nobody leads; 0 while that isn't known. */
  private entries = 0;

  constructor(private readonly dependencies: Dependencies) {}

  /** A leader confirmed this entry, and gives out the limits. */
  leaderFound(entries: number): void {
    if (entries > 0) this.entries = entries;
    this.dependencies.holding.limits.giveOut(0, this.dependencies.now());
  }

  leaderLost(): void {
    const share = this.entries === 0 ? 0 : 1 / this.entries;
    this.dependencies.holding.limits.giveOut(share, this.dependencies.now());
  }

  /** A target answered a request of a caller. */
  answered(answer: AnsweredRequest, limit: protocols.NamedLimit): void {
    const { observer: observe, holding: held } = this.dependencies;
    if (limit.kind !== 'none') observe.count(`limits.${limit.kind}`);
    if (limit.kind === 'unreadable') return;
    const since = held.limits.knownSince(answer);
    // An answer to a request from before the limit was known may be older than the limit.
    if (limit.kind === 'none' && (since === undefined || answer.sentAt <= since)) return;
    const before = held.limits.at(answer);
    const perSecond = limit.kind === 'none' ? undefined : limit.perSecond;
    const { service, address } = answer;
    if (!held.limits.set({ service, address, perSecond }, this.dependencies.now())) return;
    if (perSecond === undefined) this.nextProbes.delete(keyOf(answer));
    const event = perSecond === undefined ? 'targetLimitEnded' : 'targetLimited';
    observe.log(event, { ...answer, sentAt: undefined, perSecond, before });
    this.unreported.setLimit({ service, address, perSecond });
    void this.reportToLeader();
  }

  /** A message went to a target without the leader's word. */
  spent(target: string): void {
    const record = this.dependencies.holding.registry.get(target);
    if (record !== undefined) this.recordSpent(record);
  }

  /** Whether a target may be asked whether it lives. */
  async mayProbe(target: string): Promise<boolean> {
    const record = this.dependencies.holding.registry.get(target);
    if (record === undefined || !this.dependencies.holding.limits.isLimited(record)) return true;
    const answer = await this.requestGrant({ places: [placeOf(record)], purpose: 'check' });
    return answer?.kind === 'granted';
  }

  /** One request for one of some places with limits. */
  async grant(places: readonly Place[]): Promise<Grant> {
    const message = { places: places.map(placeOf), purpose: 'request' } as const;
    return (await this.requestGrant(message)) ?? this.grantLocally(places);
  }

  /** One request for a target whose limit may be over; without any, nobody would learn that. */
  async grantProbe(places: readonly Place[]): Promise<Place | undefined> {
    const { now, holding: held } = this.dependencies;
    const intervalMs = PROBE_INTERVAL_MS * Math.max(1, this.entries / PROBING_ENTRIES);
    const due = places.find((place) => {
      const since = held.limits.knownSince(place) ?? now();
      return now() >= (this.nextProbes.get(keyOf(place)) ?? since + intervalMs);
    });
    if (due === undefined) return undefined;
    this.nextProbes.set(keyOf(due), now() + intervalMs);
    const grant = await this.grant([due]);
    return grant.kind === 'granted' ? due : undefined;
  }

  /** What no leader has taken by now stays untold. */
  close(): void {
    this.isClosed = true;
  }

  /** The leader's word; undefined where nobody leads. */
  private requestGrant(message: messages.GrantQuestion): Promise<Grant | undefined> {
    return leaderCall.call<messages.GrantAnswer>(this.dependencies, 'grant', message);
  }

  private grantLocally(places: readonly Place[]): Grant {
    const { holding: held, now } = this.dependencies;
    const place = places.find((each) => held.limits.mayTake(each, now()));
    if (place === undefined) {
      return { kind: 'wait', waitMs: held.limits.waitMs(places, 0, now()) };
    }
    held.limits.take(place, 1, now());
    this.recordSpent(place);
    return { kind: 'granted', place };
  }

  private recordSpent(place: Place): void {
    if (!this.dependencies.holding.limits.isLimited(place)) return;
    this.unreported.addSpent(place, 1);
    void this.reportToLeader();
  }

  /** Tells the leader until one has taken it. */
  private async reportToLeader(): Promise<void> {
    if (this.isReporting) return;
    this.isReporting = true;
    while (!this.unreported.isEmpty && !this.isClosed) {
      const report = this.unreported.takeAll();
      if (!(await this.isAccepted(report))) {
        this.unreported.restore(report);
        await clock.pause(leaderOutbox.RETRY_INTERVAL_MS);
      }
    }
    this.isReporting = false;
  }

  private async isAccepted(report: messages.Limited): Promise<boolean> {
    const answer = await leaderCall.call<messages.TakenAnswer>(
      this.dependencies,
      'limited',
      report,
    );
    return answer !== undefined;
  }
}

function placeOf({ service, address }: Place): Place {
  return { service, address };
}
