/**
 * Keeps an entry within the rate limits that targets name. Reports limits found in responses, and messages sent without
 * a grant, to the leader, and asks it for grants of messages that the allocator doesn't place. While there is no
 * leader, the entry grants its own share of each limit.
 */
import * as domain from '@celerydrift/domain';
import * as clock from '../clock';
import type * as protocols from '../edges/protocols';
import type * as fleetState from '../fleet/fleetState';
import type * as messages from '../fleet/messages';
import type * as observer from '../observability/observer';
import * as leaderCall from './leaderCall';
import * as leaderOutbox from './leaderOutbox';
import * as unreportedLimits from './unreportedLimits';

const { keyOf } = domain.rateLimits.rateLimits;

type Endpoint = domain.rateLimits.rateLimits.Endpoint;

/** A request that a target responded to. */
export interface AnsweredRequest extends Endpoint {
  requestId: string;
  target: string;
  status: number;
  /** On the steady clock, milliseconds. */
  sentAt: number;
}

export type Grant = Exclude<messages.GrantAnswer, messages.Redirect>;

export interface Dependencies extends leaderCall.Dependencies {
  fleetState: Pick<fleetState.FleetState, 'limits' | 'registry'> &
    Partial<Pick<fleetState.FleetState, 'assumeCold'>>;
  observer: observer.Observer;
  now: () => number;
}

/** Interval at which an entry reports again that a target is cold, milliseconds, as it may be cold for longer. */
const COLD_REPORT_INTERVAL_MS = 1_000;

/**
 * Interval at which an entry probes whether a target's limit is over while other targets take all calls, milliseconds.
 * Grows in proportion with more than `PROBING_ENTRIES` entries, which share the probes.
 */
const PROBE_INTERVAL_MS = 1_000;
const PROBING_ENTRIES = 5;

/** Longest pause before the leader is asked again for a probe of a lost path, milliseconds, as limits change. */
const MAX_PATH_PROBE_PAUSE_MS = 5_000;

export class RateLimitClient {
  /** When this entry next probes a target with a limit, by service and address. */
  private readonly nextProbes = new Map<string, number>();

  /** When the leader next grants a probe of a lost path to a target with a limit, by service and address. */
  private readonly nextPathProbes = new Map<string, number>();

  private readonly unreported = new unreportedLimits.UnreportedLimits();

  private isReporting = false;

  private isClosed = false;

  /** Number of entries that share the limits while there is no leader; 0 while unknown. */
  private entries = 0;

  /** This entry's position among them; undefined while unknown. */
  private rank: domain.coldTargets.coldShares.EntryRank | undefined;

  /** When this entry last reported that a target is cold, by service and address. */
  private readonly coldReports = new Map<string, number>();

  constructor(private readonly dependencies: Dependencies) {}

  /** Called when a leader confirms this entry; the leader grants messages from then on. */
  leaderFound(entries: number, rank?: number): void {
    if (entries > 0) this.entries = entries;
    if (entries > 0 && rank !== undefined) this.rank = { rank, entries };
    const { now, fleetState: state } = this.dependencies;
    state.limits.setShare(0, now());
    state.limits.setColdShare(() => 0, now());
  }

  leaderLost(): void {
    const share = this.entries === 0 ? 0 : 1 / this.entries;
    const { rank } = this;
    const { now, fleetState: state } = this.dependencies;
    state.limits.setShare(share, now());
    state.limits.setColdShare((limit) => {
      return rank === undefined ? 0 : domain.coldTargets.coldShares.leaderlessShare(limit, rank);
    }, now());
  }

  /** Limits a target that answered that it remains cold, until the leader ends that. */
  coldAnswered({ service, address, target, requestId }: AnsweredRequest, statedMs: number): void {
    const { observer: observe, fleetState: state, now } = this.dependencies;
    if (statedMs === 0) return;
    const coldForMs = Math.min(statedMs, domain.registry.validity.MAX_COLD_MS);
    if (state.assumeCold?.({ service, address }, coldForMs) === true) {
      observe.log('coldAnswered', { request: requestId, target, coldForMs });
    }
    if (!state.limits.isCold({ service, address })) return;
    const key = keyOf({ service, address });
    if (now() - (this.coldReports.get(key) ?? -Infinity) < COLD_REPORT_INTERVAL_MS) return;
    this.coldReports.set(key, now());
    this.unreported.setCold({ service, address, coldForMs });
    void this.reportToLeader();
  }

  /** Applies the limit that a response names; a response that names none lifts the limit. */
  answered(answer: AnsweredRequest, limit: protocols.AdvertisedLimit): void {
    const { observer: observe, fleetState: state } = this.dependencies;
    if (limit.kind !== 'none') observe.count(`limits.${limit.kind}`);
    if (limit.kind === 'unreadable') return;
    const since = state.limits.knownSince(answer);
    // A response to a request that was sent before the limit became known may be older than the limit.
    if (limit.kind === 'none' && (since === undefined || answer.sentAt <= since)) return;
    const before = state.limits.limitAt(answer);
    const perSecond = limit.kind === 'none' ? undefined : limit.perSecond;
    const { service, address } = answer;
    if (!state.limits.set({ service, address, perSecond }, this.dependencies.now())) return;
    if (perSecond === undefined) {
      this.nextProbes.delete(keyOf(answer));
      this.nextPathProbes.delete(keyOf(answer));
    }
    const event = perSecond === undefined ? 'targetLimitEnded' : 'targetLimited';
    observe.log(event, { ...answer, sentAt: undefined, perSecond, before });
    this.unreported.setLimit({ service, address, perSecond });
    void this.reportToLeader();
  }

  /** Counts a message that was sent to a target without a grant. */
  spent(target: string): void {
    const record = this.dependencies.fleetState.registry.get(target);
    if (record !== undefined) this.recordSpent(record);
  }

  /** Whether a liveness probe may be sent to a target. */
  async mayProbe(target: string): Promise<boolean> {
    const record = this.dependencies.fleetState.registry.get(target);
    if (record === undefined || !this.dependencies.fleetState.limits.isLimited(record)) return true;
    const answer = await this.requestGrant({ places: [endpointOf(record)], purpose: 'check' });
    return answer?.kind === 'granted';
  }

  /** Whether the leader may grant a probe of a lost path to a target, as far as this entry knows. */
  isPathProbeDue(target: string): boolean {
    const { fleetState: state, now } = this.dependencies;
    const record = state.registry.get(target);
    if (record === undefined || !state.limits.isLimited(record)) return true;
    return now() >= (this.nextPathProbes.get(keyOf(record)) ?? -Infinity);
  }

  /** Whether a probe may be sent to a target that only shows whether a path is back. */
  async mayProbePath(target: string): Promise<boolean> {
    const { fleetState: state, now } = this.dependencies;
    const record = state.registry.get(target);
    if (record === undefined || !state.limits.isLimited(record)) return true;
    const answer = await this.requestGrant({ places: [endpointOf(record)], purpose: 'path' });
    if (answer?.kind === 'wait') {
      const pauseMs = Math.min(answer.waitMs, MAX_PATH_PROBE_PAUSE_MS);
      this.nextPathProbes.set(keyOf(record), now() + pauseMs);
    }
    return answer?.kind === 'granted';
  }

  /** Grants one request to one of several targets with limits. */
  async grant(places: readonly Endpoint[]): Promise<Grant> {
    const message = { places: places.map(endpointOf), purpose: 'request' } as const;
    return (await this.requestGrant(message)) ?? this.grantLocally(places);
  }

  /** Grants one request to a target whose limit may be over, which only a response of the target can show. */
  async grantProbe(places: readonly Endpoint[]): Promise<Endpoint | undefined> {
    const { now, fleetState: state } = this.dependencies;
    const intervalMs = PROBE_INTERVAL_MS * Math.max(1, this.entries / PROBING_ENTRIES);
    const due = places.find((place) => {
      const since = state.limits.knownSince(place) ?? now();
      return now() >= (this.nextProbes.get(keyOf(place)) ?? since + intervalMs);
    });
    if (due === undefined) return undefined;
    this.nextProbes.set(keyOf(due), now() + intervalMs);
    const grant = await this.grant([due]);
    return grant.kind === 'granted' ? due : undefined;
  }

  /** Drops reports that no leader has accepted yet. */
  close(): void {
    this.isClosed = true;
  }

  /** The leader's decision; undefined if there is no leader or it doesn't answer. */
  private requestGrant(message: messages.GrantRequest): Promise<Grant | undefined> {
    return leaderCall.call<messages.GrantAnswer>(this.dependencies, 'grant', message);
  }

  private grantLocally(places: readonly Endpoint[]): Grant {
    const { fleetState: state, now } = this.dependencies;
    const place = places.find((each) => state.limits.maySend(each, now()));
    if (place === undefined) {
      return { kind: 'wait', waitMs: state.limits.waitMs(places, 0, now()) };
    }
    state.limits.countSent(place, 1, now());
    this.recordSpent(place);
    return { kind: 'granted', place };
  }

  private recordSpent(place: Endpoint): void {
    if (!this.dependencies.fleetState.limits.isLimited(place)) return;
    this.unreported.addSpent(place, 1);
    void this.reportToLeader();
  }

  /** Reports to the leader until one has accepted everything. */
  private async reportToLeader(): Promise<void> {
    if (this.isReporting) return;
    this.isReporting = true;
    while (!this.unreported.isEmpty && !this.isClosed) {
      const report = this.unreported.takeAll();
      if (!(await this.isAccepted(report))) {
        this.unreported.restore(report);
        await clock.sleep(leaderOutbox.RETRY_INTERVAL_MS);
      }
    }
    this.isReporting = false;
  }

  private async isAccepted(report: messages.LimitReport): Promise<boolean> {
    const answer = await leaderCall.call<messages.AppliedAnswer>(
      this.dependencies,
      'limited',
      report,
    );
    return answer !== undefined;
  }
}

function endpointOf({ service, address }: Endpoint): Endpoint {
  return { service, address };
}
