/**
 * What the leader of the keepers does beside leading the log: confirms followers, keeps the registry and
 * pushes its changes, places requests on engines, and repairs the replica set. All of it is soft state that a
 * new leader gets back from the followers within a second.
 */
import * as crypto from 'node:crypto';
import * as domain from '@celerydrift/domain';
import type * as holding from '../fleet/holding';
import * as messages from '../fleet/messages';
import * as registryCopies from '../fleet/registryCopies';
import type * as observer from '../observability/observer';
import type * as logHost from '../replicas/logHost';
import type * as peerClient from '../rpc/peerClient';
import * as followers from './followers';
import * as placing from './placing';
import * as turns from './turns';

type Announcement = domain.registry.registry.Announcement;

export interface Options {
  host: logHost.LogHost;
  holding: holding.Holding;
  client: peerClient.PeerClient;
  observer: observer.Observer;
  now: () => number;
  random: domain.shared.random.Random;
  newest: () => domain.catalogue.versions.Edition | undefined;
}

/** A new leader has heard of all entries after so long, milliseconds: three of their questions. */
const KNOWS_ALL_MS = 1_500;

/**
 * Changes of targets that may be used are gathered for so long before they are pushed, milliseconds. After a loss of all 150
 * targets announce themselves within 1.2 s; with a push for each, a new leader of 200 followers sent 30,000 and answered
 * nobody for four seconds. Targets that leave are pushed at once, with all that was gathered.
 */
const GATHER_MS = 150;

/** How long averages over the engines are given out before they are worked out anew, milliseconds; a fifth of a follower's pause. */
const AVERAGES_MS = 100;

/** Records of the registry's changes that are kept for followers that missed a push. */
const KEPT_CHANGES = 512;

export class Leadership {
  readonly followers: followers.Followers;

  readonly allocator = new domain.allocation.allocator.Allocator();

  private mark: messages.RegistryMark = messages.NO_MARK;

  private changes: { mark: messages.RegistryMark; record: Announcement }[] = [];

  private readonly placing: placing.Placing;

  private readonly turns = new turns.Turns();

  /** The end of the push that gathers changes now. */
  private gathering: { done: Promise<void>; push: () => void } | undefined;

  /** The mark that followers have once all that was pushed has arrived. */
  private pushed: messages.RegistryMark = messages.NO_MARK;

  /** The whole registry at a mark, for followers that need all of it. */
  private copy: { mark: messages.RegistryMark; packed: Uint8Array } | undefined;

  private averages: { at: number; of: domain.allocation.unseen.Crowding[] } | undefined;

  private leads = false;

  private leadsSince = 0;

  constructor(private readonly options: Options) {
    const { client, now, random, observer: observe } = options;
    this.followers = new followers.Followers(client, now);
    this.placing = new placing.Placing({
      allocator: this.allocator,
      clock: { now, after: (ms, action) => setTimeout(action, ms) },
      random,
      onRefused: ({ request: { id, tokens }, waitedMs, waiting, retryAfterMs }) => {
        observe.log('requestNotPlaced', {
          request: id,
          tokens,
          waitedMs: Math.round(waitedMs),
          waiting,
          dispatches: this.allocator.size,
          retryAfterMs,
        });
      },
    });
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
    const silent = held.endRemembered(this.leadsSince);
    if (silent.length > 0) void this.publish(silent);
    this.placing.serveSoon();
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
      lacksTargets: this.options.holding.registry.size === 0,
      crowding: question.role === 'entry' ? this.averagesNow() : [],
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
    const { pushed } = this;
    await this.followers.push({ edition, mark: pushed, since: pushed, records: [] });
  }

  async place(request: messages.Place): Promise<messages.PlaceAnswer> {
    const answer = await this.turns.run(() => this.placing.place(request));
    return answer.kind === 'closed' ? { kind: 'redirect', leader: '' } : answer;
  }

  ended({ dispatches }: messages.Ended): void {
    const now = this.options.now();
    dispatches.forEach(({ id, ending, faulty, gapMs, target }) => {
      this.allocator.ended(id, ending, now, { faulty, gapMs });
      if (ending === 'replaced') this.presumeEnded(faulty ?? target);
    });
    this.placing.serveSoon();
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
    if (leads) this.placing.open();
    else this.placing.close();
    this.leadsSince = this.options.now();
    if (leads) this.mark = { epoch: crypto.randomBytes(6).toString('hex'), change: 0 };
    this.pushed = this.mark;
    this.changes = [];
  }

  private averagesNow(): domain.allocation.unseen.Crowding[] {
    const now = this.options.now();
    if (this.averages === undefined || now - this.averages.at >= AVERAGES_MS) {
      this.averages = { at: now, of: this.allocator.averages() };
    }
    return this.averages.of;
  }

  /** Notes changes and pushes them; resolves when the followers in touch have them. */
  private publish(records: Announcement[]): Promise<void> {
    records.forEach((record) => {
      this.mark = { ...this.mark, change: this.mark.change + 1 };
      this.changes.push({ mark: this.mark, record });
    });
    this.changes.splice(0, Math.max(0, this.changes.length - KEPT_CHANGES));
    const gathering = this.gather();
    if (records.some(({ state }) => state !== 'ready')) gathering.push();
    return gathering.done;
  }

  /** The push to which changes are added now. */
  private gather(): { done: Promise<void>; push: () => void } {
    if (this.gathering !== undefined) return this.gathering;
    let push = (): void => undefined;
    const done = new Promise<void>((resolve) => {
      push = () => {
        if (this.gathering?.done !== done) return;
        this.gathering = undefined;
        void this.pushChanges().then(resolve);
      };
    });
    this.gathering = { done, push };
    setTimeout(push, GATHER_MS);
    return this.gathering;
  }

  private async pushChanges(): Promise<void> {
    const { mark } = this;
    const news = this.recordsSince(this.pushed);
    this.pushed = mark;
    await this.followers.push({ edition: undefined, mark, ...news });
  }

  private wholeRegistry(): Uint8Array {
    if (this.copy === undefined || !messages.isSameMark(this.copy.mark, this.mark)) {
      const packed = registryCopies.pack(this.options.holding.registry.records());
      this.copy = { mark: this.mark, packed };
    }
    return this.copy.packed;
  }

  private newsFor({ version, mark }: messages.Follow): messages.News {
    const newest = this.options.newest();
    const edition = newest !== undefined && newest.version > version ? newest : undefined;
    return { edition, mark: this.mark, ...this.recordsSince(mark) };
  }

  private recordsSince(
    mark: messages.RegistryMark,
  ): Pick<messages.News, 'since' | 'records' | 'packedRegistry'> {
    if (messages.isSameMark(mark, this.mark)) return { since: mark, records: [] };
    const first = this.changes[0];
    const reaches =
      first !== undefined &&
      mark.epoch === this.mark.epoch &&
      mark.change >= first.mark.change - 1 &&
      mark.change < this.mark.change;
    if (!reaches) return { since: undefined, records: [], packedRegistry: this.wholeRegistry() };
    const missed = this.changes.filter((each) => each.mark.change > mark.change);
    return { since: mark, records: missed.map(({ record }) => record) };
  }
}
