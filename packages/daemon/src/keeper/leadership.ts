/**
 * What the leader of the keepers does beside leading the log: confirms followers, keeps the registry and
 * pushes its changes, places requests on engines, and repairs the replica set. All of it is soft state that a
 * new leader gets back from the followers within a second.
 */
import * as crypto from 'node:crypto';
import * as domain from '@celerydrift/domain';
import type * as holding from '../fleet/holding';
import * as messages from '../fleet/messages';
import type * as observer from '../observability/observer';
import type * as logHost from '../replicas/logHost';
import type * as peerClient from '../rpc/peerClient';
import * as followers from './followers';
import * as waitingLine from './waitingLine';

type Announcement = domain.registry.registry.Announcement;
type Placement = domain.allocation.allocator.Placement;

export interface Options {
  host: logHost.LogHost;
  holding: holding.Holding;
  client: peerClient.PeerClient;
  observer: observer.Observer;
  now: () => number;
  random: domain.shared.random.Random;
  newest: () => domain.catalogue.versions.Edition | undefined;
}

/**
 * Bounds of the time that callers are told to stay away when no place is free, milliseconds: a few passes of an
 * engine, so that those who were refused together don't return together to the same few places; and what a
 * caller bears.
 */
const RETRY_AFTER_MS = { least: 200, most: 2_000 } as const;

/**
 * A request can be in time only if it has its place within this part of its objective; reading and the first pass
 * take the rest. In a burst that no engine has places for, those that are late already must not keep the others
 * waiting until they are late too.
 */
const START_SHARE = 0.5;

/** A new leader has heard of all entries after so long, milliseconds: three of their questions. */
const KNOWS_ALL_MS = 1_500;

/**
 * Bounds of the time after which a prompt that is better begun later is considered again, milliseconds: engines may be
 * free sooner than predicted, and a consideration costs the leader up to a millisecond.
 */
const POSTPONED_MS = { least: 20, most: 200 } as const;

/** Pause between two servings of those who wait, milliseconds; a fifth of a pass. */
const SERVE_PAUSE_MS = 10;

/** Callers that waited in vain are told to come back after so many times their wait. */
const SPREAD = { least: 1, most: 2 } as const;

/** Records of the registry's changes that are kept for followers that missed a push. */
const KEPT_CHANGES = 512;

/** A request that has no place yet. */
interface Candidate {
  request: messages.Place;
  since: number;
  settle: (placement: Placement | undefined) => void;
}

export class Leadership {
  readonly followers: followers.Followers;

  readonly allocator = new domain.allocation.allocator.Allocator();

  private mark: messages.RegistryMark = messages.NO_MARK;

  private changes: { mark: messages.RegistryMark; record: Announcement }[] = [];

  private readonly line = new waitingLine.WaitingLine<Placement>();

  private leads = false;

  private leadsSince = 0;

  private isServingSoon = false;

  constructor(private readonly options: Options) {
    this.followers = new followers.Followers(options.client, options.now);
  }

  /** Lets time pass; to be called some times a second. */
  tick(): void {
    const { host, holding: held, now } = this.options;
    if (host.isLeader !== this.leads) this.turn(host.isLeader);
    if (!this.leads) return;
    this.followers
      .forgetSilent()
      .filter(({ role }) => role === 'entry')
      .forEach(({ name }) => this.allocator.forgetEntry(name, now()));
    held.registry.forget(now());
    this.line.serve(now());
  }

  /** Answers a follower, or undefined when this keeper doesn't lead. */
  async follow(question: messages.Follow): Promise<messages.Confirmed | undefined> {
    const { now } = this.options;
    // A follower without a catalogue can't serve, so it doesn't wait for the next heartbeat.
    const isUrgent = question.version === 0;
    if (!(await this.options.host.confirm(isUrgent))) return undefined;
    if (!this.leads) this.turn(true);
    this.followers.heard(question);
    void this.take(question.records);
    question.dispatches.forEach(({ request, target }) => {
      this.allocator.restore(request, target, now());
    });
    return {
      kind: 'confirmed',
      keepers: this.options.host.replica.members.map(({ address }) => address),
      entries: now() - this.leadsSince < KNOWS_ALL_MS ? 0 : this.followers.entries(),
      crowding: question.role === 'entry' ? this.allocator.averages() : [],
      news: this.newsFor(question),
    };
  }

  /** Takes a target's own word; resolves when the followers in touch know what changed. */
  async announce(announcement: Announcement): Promise<void> {
    const { holding: held, observer } = this.options;
    const { id, service } = announcement;
    const isUsable = held.directory === undefined || held.directory.service(service) !== undefined;
    if (!isUsable && held.registry.get(id) === undefined) {
      // Taken, it would end whoever is known at its address. It announces itself again once there is such a service.
      observer.log('announcementIgnored', { target: id, reason: `no service ${service}` });
      return;
    }
    const changed = held.takeAnnouncement(announcement);
    if (changed.length > 0) await this.publish(changed);
  }

  /** Takes what a follower knows of targets. */
  private async take(records: readonly Announcement[]): Promise<void> {
    const changed = this.options.holding.takeRecords(records);
    if (changed.length > 0) await this.publish(changed);
  }

  async depart({ id, bornAt }: messages.Departed): Promise<void> {
    const known = this.options.holding.registry.get(id);
    const changed = this.options.holding.registry.depart(id, this.options.now(), bornAt);
    if (changed.length === 0) return;
    this.options.observer.log('targetAnnounced', {
      target: id,
      state: 'gone',
      before: known?.state,
    });
    changed.forEach((record) => this.allocator.observe(record));
    await this.publish(changed);
  }

  /** Pushes a catalogue that was accepted. */
  async publishEdition(edition: domain.catalogue.versions.Edition): Promise<void> {
    await this.followers.push({ edition, mark: this.mark, since: this.mark, records: [] });
  }

  place(request: messages.Place): Promise<messages.PlaceAnswer> {
    const since = this.options.now();
    return new Promise((resolve) => {
      const settle = (placement: Placement | undefined): void => {
        const waitedMs = this.options.now() - since;
        if (placement !== undefined) resolve({ kind: 'placed', placement });
        else if (this.leads) resolve(this.refusal(request, waitedMs));
        // Whoever leads now, or the entry itself, may have a place.
        else resolve({ kind: 'redirect', leader: '' });
      };
      this.consider({ request, since, settle });
    });
  }

  /** Places a request, waits until it is better begun, or lets it stand in line for a place. */
  private consider(candidate: Candidate): void {
    const { now } = this.options;
    const { request, since, settle } = candidate;
    // Those that are late already don't hold up one that can still be in time.
    if (this.line.hasInTime(now())) {
      this.standInLine(candidate);
      return;
    }
    if (!this.leads) {
      settle(undefined);
      return;
    }
    const waitedMs = request.waitedMs + now() - since;
    const mayWait = now() - since < request.patienceMs;
    const choice = this.allocator.choose({ ...request, waitedMs }, now(), mayWait);
    if (choice.kind === 'placed') settle(choice.placement);
    else if (choice.kind === 'full') this.standInLine(candidate);
    else {
      const { least, most } = POSTPONED_MS;
      const inMs = Math.min(most, Math.max(least, choice.inMs));
      setTimeout(() => this.consider(candidate), inMs);
    }
  }

  private standInLine({ request, since, settle }: Candidate): void {
    const { now } = this.options;
    const attempt = (): Placement | undefined => {
      const waitedMs = request.waitedMs + now() - since;
      return this.allocator.place({ ...request, waitedMs }, now());
    };
    const until = since + request.patienceMs;
    const inTimeUntil = since + START_SHARE * request.objectiveMs - request.waitedMs;
    const { tokens, pauseMs } = request;
    this.line.add({ tokens, pauseMs, since, inTimeUntil, until, attempt, resolve: settle });
    this.serveSoon();
  }

  private refusal({ id, service, tokens }: messages.Place, waitedMs: number): messages.PlaceAnswer {
    const { least, most } = RETRY_AFTER_MS;
    const predicted = this.allocator.nextPlaceMs(service, this.options.now());
    // One that waited in vain finds others in its place if all come back at once.
    const spread = SPREAD.least + (SPREAD.most - SPREAD.least) * this.options.random.uniform();
    const expected = Math.max(least, predicted, spread * waitedMs);
    const retryAfterMs = Math.round(Math.min(most, expected));
    this.options.observer.log('requestNotPlaced', {
      request: id,
      tokens,
      waitedMs: Math.round(waitedMs),
      waiting: this.line.length,
      dispatches: this.allocator.size,
      retryAfterMs,
    });
    return { kind: 'noPlace', retryAfterMs };
  }

  ended({ dispatches }: messages.Ended): void {
    const now = this.options.now();
    dispatches.forEach(({ id, ending, faulty, gapMs, target }) => {
      this.allocator.ended(id, ending, now, { faulty, gapMs });
      if (ending === 'replaced') this.presumeEnded(faulty ?? target);
    });
    this.serveSoon();
  }

  /** While requests wait, as places become free with time too: what an engine has to read becomes less. */
  private serveSoon(): void {
    if (this.isServingSoon || this.line.length === 0) return;
    this.isServingSoon = true;
    setTimeout(() => {
      this.isServingSoon = false;
      this.line.serve(this.options.now());
      this.serveSoon();
    }, SERVE_PAUSE_MS);
  }

  /** Without it every request would find out by itself that another lifetime has the address. */
  private presumeEnded(id: string): void {
    const changed = this.options.holding.registry.presumeEnded(id, this.options.now());
    if (changed.length === 0) return;
    this.options.observer.log('targetAnnounced', { target: id, state: 'gone', presumed: true });
    changed.forEach((record) => this.allocator.observe(record));
    void this.publish(changed);
  }

  private turn(leads: boolean): void {
    this.leads = leads;
    this.followers.clear();
    this.line.clear();
    this.leadsSince = this.options.now();
    if (leads) this.mark = { epoch: crypto.randomBytes(6).toString('hex'), change: 0 };
    this.changes = [];
  }

  private async publish(records: Announcement[]): Promise<void> {
    const since = this.mark;
    records.forEach((record) => {
      this.mark = { ...this.mark, change: this.mark.change + 1 };
      this.changes.push({ mark: this.mark, record });
    });
    this.changes.splice(0, Math.max(0, this.changes.length - KEPT_CHANGES));
    await this.followers.push({ edition: undefined, mark: this.mark, since, records });
  }

  private newsFor({ version, mark }: messages.Follow): messages.News {
    const newest = this.options.newest();
    const edition = newest !== undefined && newest.version > version ? newest : undefined;
    return { edition, mark: this.mark, ...this.recordsSince(mark) };
  }

  private recordsSince(mark: messages.RegistryMark): Pick<messages.News, 'since' | 'records'> {
    if (messages.isSameMark(mark, this.mark)) return { since: mark, records: [] };
    const first = this.changes[0];
    const reaches =
      first !== undefined &&
      mark.epoch === this.mark.epoch &&
      mark.change >= first.mark.change - 1 &&
      mark.change < this.mark.change;
    if (!reaches) return { since: undefined, records: this.options.holding.registry.records() };
    const missed = this.changes.filter((each) => each.mark.change > mark.change);
    return { since: mark, records: missed.map(({ record }) => record) };
  }
}
