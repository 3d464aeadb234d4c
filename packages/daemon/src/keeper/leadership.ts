/**
 * What the leader of the keepers does beside leading the log: confirms followers, keeps the registry and
 * pushes its changes, places requests on engines, and repairs the replica set. All of it is soft state that a
 * new leader gets back from the followers within a second.
 */
import * as domain from '@celerydrift/domain';
import type * as holding from '../fleet/holding';
import * as messages from '../fleet/messages';
import * as registryCopies from '../fleet/registryCopies';
import type * as observer from '../observability/observer';
import type * as logHost from '../replicas/logHost';
import type * as peerClient from '../rpc/peerClient';
import * as copyTurns from './copyTurns';
import * as followers from './followers';
import * as limiting from './limiting';
import * as placing from './placing';
import * as registryNews from './registryNews';
import * as suspicions from './suspicions';
import * as turns from './turns';

type Announcement = domain.registry.registry.Announcement;

export interface Options {
  /** Name of this keeper. */
  name: string;
  host: logHost.LogHost;
  holding: holding.Holding;
  client: peerClient.PeerClient;
  observer: observer.Observer;
  now: () => number;
  random: domain.shared.random.Random;
  newest: () => domain.catalogue.versions.Edition | undefined;
  /** What is known of suspects changed. */
  onSuspects: () => void;
  /** Limits of targets changed. */
  onLimits: () => void;
  /** What this VM's link carries, megabits a second. */
  linkMbps: number;
}

/** A new leader has heard of all entries after so long, milliseconds: three of their questions. */
const KNOWS_ALL_MS = 1_500;

/** Followers that a leader without targets asks for what they know; one may have just started too. */
const MOST_ASKED = 3;

/** How long averages over the engines are given out before they are worked out anew, milliseconds; a fifth of a follower's pause. */
const AVERAGES_MS = 100;

export class Leadership {
  readonly followers: followers.Followers;

  readonly allocator: domain.allocation.allocator.Allocator;

  private readonly placing: placing.Placing;

  private readonly turns = new turns.Turns();

  private readonly copies: copyTurns.CopyTurns;

  /** Followers that were confirmed without the registry, as its copies were under way to others. */
  private readonly waitsForCopy = new Set<string>();

  /** Followers that were asked for their copy of the registry. */
  private readonly askedForRecords = new Set<string>();

  private readonly news: registryNews.RegistryNews;

  readonly suspicions: suspicions.Suspicions;

  readonly limiting: limiting.Limiting;

  /** Remembered targets that spoke since the last tick. */
  private confirmed = 0;

  private averages: { at: number; of: domain.allocation.unseen.Crowding[] } | undefined;

  private leads = false;

  private leadsSince = 0;

  constructor(private readonly options: Options) {
    const { client, now, random, observer: observe, holding: held } = options;
    this.allocator = new domain.allocation.allocator.Allocator(undefined, undefined, held.limits);
    this.followers = new followers.Followers(client, now, (mark) => this.news.allSince(mark));
    this.copies = new copyTurns.CopyTurns(options.linkMbps, now);
    this.news = new registryNews.RegistryNews({
      copy: () => this.copy(),
      now,
      followers: () => this.followers.size,
      push: (news) => this.followers.push(news),
    });
    this.suspicions = new suspicions.Suspicions({
      quarantine: held.quarantine,
      registry: held.registry,
      isAllocated: (service) => {
        return held.directory?.service(service)?.engine !== undefined;
      },
      observer: observe,
      now,
      publish: (reports) => {
        options.onSuspects();
        this.news.publishSuspects(reports);
      },
    });
    this.limiting = new limiting.Limiting({
      limits: held.limits,
      registry: held.registry,
      observer: observe,
      now,
      publish: (limits) => {
        options.onLimits();
        this.news.publishLimits(limits);
      },
    });
    this.placing = new placing.Placing({
      allocator: this.allocator,
      clock: { now, after: (ms, action) => setTimeout(action, ms) },
      random,
      onRefused: ({ request: { id, tokens }, waitedMs, waiting, limitedForMs, retryAfterMs }) => {
        observe.log('requestNotPlaced', {
          request: id,
          tokens,
          waitedMs: Math.round(waitedMs),
          waiting,
          limitedForMs: Math.round(limitedForMs),
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
      .forEach(({ name }) => {
        this.allocator.forgetEntry(name, now());
        this.suspicions.forgetEntry(name);
      });
    held.registry.forget(now());
    const silent = held.endRemembered(this.leadsSince);
    if (silent.length > 0) void this.news.publish(silent);
    this.logConfirmed();
    this.suspicions.tick();
    this.limiting.tick();
    this.placing.serveSoon();
  }

  private logConfirmed(): void {
    if (this.confirmed > 0)
      this.options.observer.log('targetsConfirmed', { count: this.confirmed });
    this.confirmed = 0;
  }

  /** Answers a follower, or undefined when this keeper doesn't lead. */
  async follow(question: messages.Follow): Promise<messages.Confirmed | undefined> {
    const { now } = this.options;
    // A follower without a catalogue can't serve, and one that is new asks for places only once it is confirmed.
    const isNew = !this.isOwn(question.name) && !this.followers.has(question.name);
    const isUrgent = question.version === 0 || isNew;
    if (!(await this.options.host.confirm(isUrgent))) return undefined;
    if (!this.leads) this.turn(true);
    this.forgetFormerLife(question);
    if (!this.isOwn(question.name)) this.followers.heard(question);
    void this.take(registryCopies.unbundle(question));
    this.suspicions.merge(question.suspects);
    // One that has this leader's news has missed the end of no limit but those on their way.
    if (!this.news.isOwn(question.mark)) this.limiting.merge(question.limits);
    question.dispatches.forEach(({ request, target }) => {
      this.allocator.restore(request, target, now());
    });
    return {
      kind: 'confirmed',
      keepers: this.options.host.replica.members.map(({ address }) => address),
      entries: now() - this.leadsSince < KNOWS_ALL_MS ? 0 : this.followers.entries(),
      lacksTargets: this.asksForRecords(question.name),
      crowding: question.role === 'entry' ? this.averagesNow() : [],
      news: this.newsFor(question),
    };
  }

  /** A process that has taken no news yet has just started: what its predecessor ran under the name ended with it. */
  private forgetFormerLife({ name, mark, version }: messages.Follow): void {
    const hasNothing = messages.isSameMark(mark, messages.NO_MARK);
    // One with a catalogue waits for its copy of the registry.
    const isWaiting = version > 0 && this.waitsForCopy.has(name);
    if (hasNothing && !isWaiting) this.suspicions.forgetEntry(name);
  }

  /** Whether a follower is this leader itself, which has what it would send. */
  private isOwn(name: string): boolean {
    return name === this.options.name;
  }

  /** A leader without targets asks some followers for theirs; all of them would fill its link with the same. */
  private asksForRecords(name: string): boolean {
    if (this.options.holding.registry.size > 0) return false;
    if (this.askedForRecords.size < MOST_ASKED) this.askedForRecords.add(name);
    return this.askedForRecords.has(name);
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
    this.suspicions.spoke(announcement);
    const isConfirmed = isConfirmation(held.registry.get(id), announcement);
    if (isConfirmed) {
      // Followers use a remembered target already; that it lives comes with the answer to their next question.
      this.news.note(held.takeConfirmation(announcement));
      this.confirmed += 1;
      return;
    }
    const changed = held.takeAnnouncement(announcement);
    if (changed.length > 0) await this.news.publish(changed);
  }

  /** Takes what a follower knows of targets. */
  private async take(records: readonly Announcement[]): Promise<void> {
    const changed = this.options.holding.takeRecords(records);
    if (changed.length > 0) await this.news.publish(changed);
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
    await this.news.publish(changed);
  }

  /** Takes what answers to entries said, sooner than others of them hear it. */
  leaving({ lifetimes }: messages.Leaving): messages.TakenAnswer {
    const changed = lifetimes.flatMap((each) => this.options.holding.takeLeaving(each));
    if (changed.length > 0) void this.news.publish(changed);
    return { kind: 'taken' };
  }

  /** Pushes a catalogue that was accepted. */
  publishEdition(edition: domain.catalogue.versions.Edition): Promise<void> {
    return this.news.publishEdition(edition);
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
    void this.news.publish(changed);
  }

  private turn(leads: boolean): void {
    this.leads = leads;
    this.followers.clear();
    this.waitsForCopy.clear();
    this.askedForRecords.clear();
    this.suspicions.turn();
    this.limiting.turn(leads);
    if (leads) this.placing.open();
    else this.placing.close();
    this.leadsSince = this.options.now();
    if (leads) this.news.begin();
  }

  private copy(): registryCopies.Copy {
    const { holding: held, now } = this.options;
    return {
      records: held.registry.records(),
      suspects: held.quarantine.reports(now()),
      limits: held.limits.all(),
    };
  }

  private averagesNow(): domain.allocation.unseen.Crowding[] {
    const now = this.options.now();
    if (this.averages === undefined || now - this.averages.at >= AVERAGES_MS) {
      this.averages = { at: now, of: this.allocator.averages() };
    }
    return this.averages.of;
  }

  private newsFor({ name, version, mark }: messages.Follow): messages.News {
    const newest = this.options.newest();
    const edition = newest !== undefined && newest.version > version ? newest : undefined;
    return { edition, ...this.missedBy(name, mark) };
  }

  private missedBy(name: string, mark: messages.RegistryMark): registryNews.Missed {
    if (this.isOwn(name)) return this.news.nothing();
    this.waitsForCopy.delete(name);
    const missed = this.news.since(mark);
    if (missed !== undefined) return missed;
    const whole = this.news.whole();
    if (this.copies.take(whole.packedRegistry.length)) return whole;
    this.waitsForCopy.add(name);
    return {
      mark,
      since: mark,
      records: this.plainTargets(),
      suspects: [],
      limits: this.options.holding.limits.all(),
    };
  }

  /** Targets of services without engines, also those that leave or left: entries choose among these by themselves. */
  private plainTargets(): Announcement[] {
    const { directory, registry } = this.options.holding;
    const services = directory?.catalogue.services ?? [];
    const plain = new Set(
      services.filter(({ engine }) => engine === undefined).map(({ name }) => name),
    );
    return registry.records().filter(({ service }) => plain.has(service));
  }
}

/** Whether a target that was only remembered says what was remembered of it. */
function isConfirmation(
  known: Announcement | undefined,
  { state, address }: Announcement,
): boolean {
  return known?.isRemembered === true && known.state === state && known.address === address;
}
