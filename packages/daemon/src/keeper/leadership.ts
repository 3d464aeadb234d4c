/**
 * Duties of the leader of the keepers besides replicating the log: it confirms followers, maintains the target
 * registry and pushes its changes, places requests on engines and repairs the replica set. All of this is soft state,
 * which a new leader rebuilds from its followers within a second.
 */
import * as domain from '@celerydrift/domain';
import type * as fleetState from '../fleet/fleetState';
import * as messages from '../fleet/messages';
import * as registrySnapshots from '../fleet/registrySnapshots';
import type * as observer from '../observability/observer';
import type * as logHost from '../replicas/logHost';
import type * as peerClient from '../rpc/peerClient';
import * as batchQueue from './batchQueue';
import * as coldCoordinator from './coldCoordinator';
import * as entryProcesses from './entryProcesses';
import * as evacuationCoordinator from './evacuationCoordinator';
import * as followers from './followers';
import * as ignoredAnnouncements from './ignoredAnnouncements';
import * as limitCoordinator from './limitCoordinator';
import * as placer from './placer';
import * as publishedEnds from './publishedEnds';
import * as registryUpdates from './registryUpdates';
import * as snapshotThrottle from './snapshotThrottle';
import * as suspectTracker from './suspectTracker';
import * as withdrawnPlacements from './withdrawnPlacements';

const { isNewerVersion } = domain.catalogue.newestCatalogue;

type Announcement = domain.registry.registry.Announcement;

export interface Options {
  /** Name of this keeper. */
  name: string;
  host: logHost.LogHost;
  fleetState: fleetState.FleetState;
  client: peerClient.PeerClient;
  observer: observer.Observer;
  now: () => number;
  random: domain.shared.random.Random;
  newestCatalogue: () => domain.catalogue.newestCatalogue.PackedCatalogue | undefined;
  /** The committed evacuations. */
  evacuations: () => domain.evacuation.evacuations.EvacuationState;
  /** Resolves once the ends of targets that this keeper knows are on its disk, or after a time limit. */
  endsStored?: () => Promise<void>;
  /** Called when the replicas that are known to know evacuations change. */
  onInformed: () => void;
  /** Called when the known suspect requests change. */
  onSuspects: () => void;
  /** Called when the rate limits of targets change. */
  onLimits: () => void;
  /** Bandwidth of this VM's link, in megabits per second. */
  linkMbps: number;
  /** `arrival` by default. */
  contentionMode?: placer.Mode;
}

/** Time after which a new leader has heard from all entries, in milliseconds: three of their poll intervals. */
const ENTRY_DISCOVERY_MS = 1_500;

/**
 * Maximum number of followers that a leader without targets asks for their records; more than one, as any of them may
 * have just started too.
 */
const MAX_RECORD_SOURCES = 3;

/**
 * How long engine load averages are reused before they are recomputed, in milliseconds; a fifth of a follower's poll
 * interval.
 */
const AVERAGES_TTL_MS = 100;

/** Answer to a request that this keeper places no longer. */
const NO_PLACEMENT: messages.Redirect = { kind: 'redirect', leader: '' };

/** Number of requests of an ended process that are named in the log. */
const MAX_LOGGED_REQUESTS = 20;

export class Leadership {
  readonly followers: followers.Followers;

  readonly allocator: domain.allocation.allocator.Allocator;

  private readonly placer: placer.Placer;

  private readonly placementQueue = new batchQueue.BatchQueue();

  private readonly snapshotThrottle: snapshotThrottle.SnapshotThrottle;

  /** Followers that were confirmed without a registry snapshot because other snapshots were using the link. */
  private readonly awaitingSnapshot = new Set<string>();

  /** Followers that were asked for their registry records. */
  private readonly recordSources = new Set<string>();

  private readonly updates: registryUpdates.RegistryUpdates;

  readonly suspects: suspectTracker.SuspectTracker;

  readonly limits: limitCoordinator.LimitCoordinator;

  readonly evacuations: evacuationCoordinator.EvacuationCoordinator;

  private readonly cold: coldCoordinator.ColdCoordinator;

  private readonly standing = new domain.reachability.reporterStanding.ReporterStanding();

  private readonly processes: entryProcesses.EntryProcesses;

  private readonly ignored: ignoredAnnouncements.IgnoredAnnouncements;

  /** Number of targets loaded from disk that announced themselves since the last tick. */
  private confirmedTargets = 0;

  private averages: { at: number; of: domain.allocation.assumedLoad.AverageLoad[] } | undefined;

  private readonly publishedEnds = new publishedEnds.PublishedEnds();

  private readonly withdrawn: withdrawnPlacements.WithdrawnPlacements;

  private isLeading = false;

  private leadingSince = 0;

  constructor(private readonly options: Options) {
    const { client, now, random, observer: observe, fleetState: fleet } = options;
    this.allocator = new domain.allocation.allocator.Allocator(undefined, undefined, fleet.limits);
    this.evacuations = new evacuationCoordinator.EvacuationCoordinator({
      ownReplica: () => options.host.replica.id,
      state: options.evacuations,
      onInformed: options.onInformed,
    });
    this.followers = new followers.Followers(
      client,
      now,
      (mark) => this.updates.fullUpdateSince(mark),
      (revision) => this.evacuations.missingAt(revision),
    );
    this.processes = new entryProcesses.EntryProcesses(now);
    this.withdrawn = new withdrawnPlacements.WithdrawnPlacements(now);
    this.ignored = new ignoredAnnouncements.IgnoredAnnouncements({ observer: observe, now });
    this.snapshotThrottle = new snapshotThrottle.SnapshotThrottle(options.linkMbps, now);
    this.updates = new registryUpdates.RegistryUpdates({
      snapshot: () => this.snapshot(),
      now,
      followers: () => this.followers.size,
      push: (update) => this.followers.push(update),
    });
    this.suspects = new suspectTracker.SuspectTracker({
      quarantine: fleet.quarantine,
      registry: fleet.registry,
      isAllocated: (service) => {
        return fleet.directory?.service(service)?.engine !== undefined;
      },
      observer: observe,
      now,
      publish: (reports) => {
        options.onSuspects();
        this.updates.publishSuspects(reports);
      },
    });
    this.limits = new limitCoordinator.LimitCoordinator({
      limits: fleet.limits,
      registry: fleet.registry,
      observer: observe,
      now,
      publish: (limits) => {
        options.onLimits();
        this.updates.publishLimits(limits);
      },
    });
    this.cold = new coldCoordinator.ColdCoordinator({
      limits: fleet.limits,
      registry: fleet.registry,
      directory: () => fleet.directory,
      hasQuorumContact: () => options.host.hasQuorumContact(),
      observer: observe,
      now,
      publish: (limits) => {
        options.onLimits();
        this.updates.publishLimits(limits);
      },
    });
    const after: placer.Clock['after'] = (ms, action) => {
      setTimeout(() => {
        this.cold.checkQuorum();
        action();
      }, ms);
    };
    this.placer = new placer.Placer({
      allocator: this.allocator,
      clock: { now, after },
      random,
      mode: options.contentionMode,
      onOverload: ({ change, ...fields }) => {
        observe.log(change === 'began' ? 'overloadBegan' : 'overloadEnded', fields);
      },
      onReturned: () => observe.count('returns.seen'),
      onRefused: (refusal) => {
        const { request, waitedMs, waiting, limitedForMs, retryAfterMs } = refusal;
        const { id, tokens } = request;
        const { class: urgencyClass, isLate, returns } = refusal;
        if (urgencyClass !== undefined) {
          observe.count(`refused.class${urgencyClass}.${isLate === true ? 'late' : 'full'}`);
        }
        if (returns === true) observe.count('returns.planned');
        observe.log('requestNotPlaced', {
          request: id,
          tokens,
          waitedMs: Math.round(waitedMs),
          waiting,
          limitedForMs: Math.round(limitedForMs),
          dispatches: this.allocator.size,
          retryAfterMs,
          ...(urgencyClass !== undefined && { class: urgencyClass, isLate, returns }),
        });
      },
    });
  }

  /** Advances the leader's timers; called several times a second. */
  tick(): void {
    const { host, fleetState: fleet, now } = this.options;
    if (host.isLeader !== this.isLeading) this.setLeading(host.isLeader);
    if (!this.isLeading) return;
    this.followers
      .removeSilent()
      .filter(({ role }) => role === 'entry')
      .forEach(({ name }) => {
        this.processes.recordReleased(name, this.allocator.forgetEntry(name, now()));
        this.suspects.forgetEntry(name);
        this.standing.forget(name);
      });
    fleet.registry.forgetGone(now());
    const expired = fleet.expireUnconfirmed(this.leadingSince);
    if (expired.length > 0) void this.updates.publish(expired);
    this.logConfirmed();
    this.suspects.tick();
    this.cold.tick();
    this.limits.tick();
    this.placer.scheduleServing();
  }

  private logConfirmed(): void {
    if (this.confirmedTargets > 0)
      this.options.observer.log('targetsConfirmed', { count: this.confirmedTargets });
    this.confirmedTargets = 0;
  }

  /** Answers a follower's poll, or returns undefined if this keeper doesn't lead. */
  async follow(follower: messages.FollowRequest): Promise<messages.Confirmation | undefined> {
    const { now } = this.options;
    // A follower without a catalogue can't serve, and a new follower requests placements only once it is confirmed,
    // so neither waits for the next heartbeat.
    const isNew = !this.isSelf(follower.name) && !this.followers.has(follower.name);
    const isUrgent = messages.catalogueVersionOf(follower) === undefined || isNew;
    if (!(await this.options.host.confirmLeadership(isUrgent))) return undefined;
    if (!this.isLeading) this.setLeading(true);
    this.endCanariesOfPreviousProcess(follower);
    if (follower.role === 'entry') this.endPreviousProcess(follower);
    this.standing.setIsolated(follower.name, follower.isIsolated === true);
    if (!this.isSelf(follower.name)) {
      this.followers.recordPoll(follower);
      this.evacuations.recordPoll({
        replica: follower.replica,
        evacuationRevision: follower.evacuationRevision,
      });
    }
    void this.mergeRecords(registrySnapshots.unpackRecords(follower));
    this.suspects.merge(follower.suspects);
    // A follower on this leader's epoch has missed the end of no limit except those still being pushed, so its report
    // has nothing to add.
    if (!this.updates.isCurrentEpoch(follower.mark)) {
      this.limits.merge(follower.limits);
      this.cold.merge(follower.limits);
    }
    follower.dispatches.forEach(({ request, target: id, bornAt }) => {
      this.allocator.restore(request, { id, bornAt }, now());
    });
    const { members } = this.options.host.replica;
    const knowsEntries = now() - this.leadingSince >= ENTRY_DISCOVERY_MS;
    return {
      kind: 'confirmed',
      keepers: members.map(({ address }) => address),
      entries: knowsEntries ? this.followers.entries() : 0,
      entryRank: knowsEntries ? this.followers.rankOf(follower.name) : undefined,
      lacksTargets: this.shouldSendRecords(follower.name),
      crowding: follower.role === 'entry' ? this.currentAverages() : [],
      ...(follower.wantsRelays === true && { relays: this.followers.relaysFor(follower) }),
      news: this.updateFor(follower),
      ...(follower.role === 'keeper'
        ? { evacuationReplicas: this.evacuations.informedReplicas(members) }
        : {}),
    };
  }

  /**
   * Ends the canary runs of a follower that restarted: one that has received no registry version has just started,
   * and whatever its previous process ran under the same name ended with it.
   */
  private endCanariesOfPreviousProcess(follower: messages.FollowRequest): void {
    const { name, mark } = follower;
    const isNew = messages.isSameVersion(mark, messages.NO_VERSION);
    const hasCatalogue = messages.catalogueVersionOf(follower) !== undefined;
    // A follower that has a catalogue but no registry version may simply be waiting for its registry snapshot.
    const isAwaitingSnapshot = hasCatalogue && this.awaitingSnapshot.has(name);
    if (isNew && !isAwaitingSnapshot) this.suspects.forgetEntry(name);
  }

  /**
   * Releases what the previous process of an entry had been granted, if another one polls now. A process that is back
   * within a second is never missed as silent, and its engines would stay occupied for as long as this keeper leads.
   */
  private endPreviousProcess(follower: messages.FollowRequest): void {
    const change = this.processes.recordPoll(follower);
    if (change.kind === 'none') return;
    const { name } = follower;
    const released = this.allocator.forgetEntry(name, this.options.now());
    this.suspects.forgetEntry(name);
    this.standing.forget(name);
    this.placer.scheduleServing();
    if (change.kind === 'replaced') this.logEndedProcess(name, change.ended, released);
  }

  private logEndedProcess(
    entry: string,
    { process, lastPollMsAgo, released: releasedBefore }: entryProcesses.EndedProcess,
    released: readonly string[],
  ): void {
    const { observer: observe } = this.options;
    // A placement's id is the request's and its number.
    const requests = [...releasedBefore, ...released].map((id) => id.replace(/\/\d+$/, ''));
    const ids = [...new Set(requests)];
    observe.count('entries.ended');
    observe.log('entryProcessEnded', {
      entry,
      process,
      lastPollMsAgo,
      count: ids.length,
      requests: ids.slice(0, MAX_LOGGED_REQUESTS),
    });
  }

  /** Whether a follower is this leader itself, which already has everything it would receive. */
  private isSelf(name: string): boolean {
    return name === this.options.name;
  }

  /**
   * Whether a follower should send its registry records. A leader without targets asks only a few; the same records
   * from all followers would fill its link.
   */
  private shouldSendRecords(name: string): boolean {
    if (this.options.fleetState.registry.size > 0) return false;
    if (this.recordSources.size < MAX_RECORD_SOURCES) this.recordSources.add(name);
    return this.recordSources.has(name);
  }

  /** Applies a target's own announcement; resolves once the reachable followers know what changed. */
  async announce(announcement: Announcement): Promise<void> {
    const { fleetState: fleet } = this.options;
    const { coldLeftMs, ...record } = announcement;
    const { id, service } = record;
    const isUsable =
      fleet.directory === undefined || fleet.directory.service(service) !== undefined;
    if (!isUsable && fleet.registry.get(id)?.service !== service) {
      // Accepting it would replace the target known by its id or at its address. The target announces itself again
      // once the service exists. One whose service has left the catalogue is still followed, so that it can drain.
      this.ignored.report({ writer: id, target: id, reason: `unknown service "${service}"` });
      return;
    }
    this.suspects.handleAnnouncement(record);
    const isConfirmed = isConfirmation(fleet.registry.get(id), record);
    if (isConfirmed) {
      // Followers already use a target that was loaded from disk; its confirmation comes with the answer to their
      // next poll.
      const confirmed = fleet.applyConfirmation(record);
      this.cold.announced(announcement);
      this.updates.record(confirmed);
      this.confirmedTargets += 1;
      return;
    }
    const changed = fleet.applyAnnouncement(record);
    this.cold.announced(announcement);
    if (changed.length > 0) await this.publishDurably(changed);
    else if (record.state !== 'ready') await this.repeatEnd(id);
  }

  /** Acknowledges a target's end once more: the first acknowledgement may have been lost, also with an earlier leader. */
  private async repeatEnd(id: string): Promise<void> {
    const known = this.options.fleetState.registry.get(id);
    if (known === undefined || this.publishedEnds.has(known)) await this.options.endsStored?.();
    else await this.publishDurably([known]);
  }

  /** Pushes changes of targets; resolves when the reachable followers know them and ends are on their and this disk. */
  private async publishDurably(changed: readonly Announcement[]): Promise<void> {
    await Promise.all([this.updates.publish(changed), this.options.endsStored?.()]);
    this.publishedEnds.add(changed);
  }

  /** Merges registry records received from a follower. */
  private async mergeRecords(records: readonly Announcement[]): Promise<void> {
    const changed = this.options.fleetState.mergeRecords(records);
    this.cold.recorded(changed);
    if (changed.length > 0) await this.updates.publish(changed);
  }

  /** Start time of the present lifetime of a target; undefined for an unknown target. */
  lifetimeOf(id: string): number | undefined {
    return this.options.fleetState.registry.get(id)?.bornAt;
  }

  async depart({ id, bornAt }: messages.Departure): Promise<void> {
    const previous = this.options.fleetState.registry.get(id);
    const changed = this.options.fleetState.applyDeparture({ id, bornAt });
    if (changed.length === 0) {
      await this.repeatEnd(id);
      return;
    }
    this.options.observer.log('targetAnnounced', {
      target: id,
      state: 'gone',
      before: previous?.state,
    });
    await this.publishDurably(changed);
  }

  /**
   * Marks targets as draining that announced it in answers to some entries, so that the other entries learn of it
   * before they get such an answer themselves.
   */
  leaving({ lifetimes }: messages.DrainingReport): messages.AppliedAnswer {
    const changed = lifetimes.flatMap((each) => this.options.fleetState.applyDraining(each));
    if (changed.length > 0) void this.updates.publish(changed);
    return { kind: 'taken' };
  }

  /** Pushes an accepted catalogue to the followers. */
  publishCatalogue(edition: domain.catalogue.newestCatalogue.PackedCatalogue): Promise<void> {
    return this.updates.publishCatalogue(edition);
  }

  /** Pushes the evacuations if a follower lacks them; an order that is sent again mostly finds them in force. */
  async publishEvacuations(): Promise<void> {
    const isLacking = this.followers.all().some(({ evacuationRevision: revision }) => {
      return revision !== undefined && this.evacuations.missingAt(revision) !== undefined;
    });
    if (isLacking) await this.updates.publishEvacuations();
  }

  /** Replicas that may become voters. */
  spares(): domain.replication.repair.Spare[] {
    return this.followers.spares().filter(({ id }) => this.evacuations.mayVote(id));
  }

  /** Places a request; a small batch of the requests that arrive together is handled per turn of the event loop. */
  async place(request: messages.PlaceRequest): Promise<messages.PlaceAnswer> {
    const answer = await this.placementQueue.run(() => {
      this.cold.checkQuorum();
      return this.placer.place(request);
    });
    if (answer.kind === 'closed') return NO_PLACEMENT;
    if (answer.kind !== 'placed' || !this.withdrawn.includes(request.id)) return answer;
    this.releaseWithdrawn(request);
    return NO_PLACEMENT;
  }

  /** Releases the placement of an entry that had given it up, perhaps before its request arrived here. */
  private releaseWithdrawn({ id, entry }: messages.PlaceRequest): void {
    const { observer: observe, now } = this.options;
    this.allocator.endDispatch(id, 'cancelled', now());
    this.placer.scheduleServing();
    observe.count('placements.withdrawn');
    observe.log('placementWithdrawn', { request: id, entry });
  }

  /** Grants one message to a target with a rate limit. */
  grant(request: messages.GrantRequest): messages.GrantAnswer {
    this.cold.checkQuorum();
    return this.limits.grant(request);
  }

  /** Applies the limits and cold targets that an entry reports. */
  limited(report: messages.LimitReport): messages.AppliedAnswer {
    this.cold.answered(report.cold ?? []);
    return this.limits.report(report);
  }

  /** Applies what a new catalogue states about cold targets, before it is pushed to the followers. */
  catalogueChanged(): void {
    if (this.isLeading) this.cold.tick();
  }

  /** Takes the targets of a data centre for cold, as its evacuation has ended. */
  evacuationEnded(dataCentre: string): void {
    this.cold.evacuationEnded(dataCentre);
  }

  /** Applies finished dispatches of an entry, and serves the wait queue, as they leave slots free. */
  ended({ dispatches, verdicts = [] }: messages.FinishedDispatches): void {
    const now = this.options.now();
    dispatches.forEach(({ id, ending, faulty, gapMs, target, bornAt }) => {
      if (ending === 'cancelled' && this.allocator.entryOf(id) === undefined)
        this.withdrawn.add(id);
      const outcome = this.weigh(id, target, ending);
      const ejection = this.allocator.endDispatch(id, outcome, now, { faulty, gapMs });
      // A full engine is ejected for a few steps, which happens all the time under load.
      if (ejection !== undefined && ending !== 'full')
        this.options.observer.log('targetEjected', { ...ejection, outcome: ending });
      if (ending !== 'replaced') return;
      if (faulty === undefined) this.reportReplaced(target, bornAt);
      else this.reportReplaced(faulty);
    });
    verdicts.forEach((verdict) => this.applyVerdict(verdict));
    this.placer.scheduleServing();
  }

  /** Outcome of a dispatch as far as it counts: a failure that is more likely its entry's own doesn't. */
  private weigh(
    id: string,
    target: string,
    outcome: domain.allocation.targetHealth.DispatchOutcome,
  ): domain.allocation.targetHealth.DispatchOutcome {
    const entry = this.allocator.entryOf(id);
    if (entry === undefined) return outcome;
    if (this.standing.record(entry, target, outcome, this.options.now())) return outcome;
    this.options.observer.count('reports.doubted');
    return 'cancelled';
  }

  /** Corrects what was assumed of a target that an entry didn't reach. */
  private applyVerdict({ target, bornAt, isAlive }: messages.TargetVerdict): void {
    const { registry } = this.options.fleetState;
    if (bornAt !== undefined && registry.get(target)?.bornAt !== bornAt) return;
    const now = this.options.now();
    if (isAlive) this.allocator.retractFailure(target, now);
    else this.allocator.recordUnreachable(target, now);
    this.options.observer.log('targetVerdict', { target, isAlive });
  }

  /** Applies an entry's reports of crashes; one that has lost its paths takes all targets for crashed. */
  blame({ entry, ended }: messages.CrashReport): domain.quarantine.suspect.SuspectReport[] {
    const isDoubted = entry !== undefined && this.standing.isDoubted(entry, this.options.now());
    const counted = ended.filter(({ isConfirmed }) => !isDoubted || isConfirmed === true);
    const doubted = ended.length - counted.length;
    if (doubted > 0) this.options.observer.count('crashReports.doubted', doubted);
    this.suspects.blame({ ended: counted });
    return this.suspects.reportsOf({ ended });
  }

  /**
   * Marks a target as gone whose address now belongs to another lifetime; otherwise each request would find that out
   * by itself. One that restarted since, at another address, isn't replaced; `bornAt` is undefined if the entry doesn't
   * report it.
   */
  private reportReplaced(id: string, bornAt?: number): void {
    const { registry } = this.options.fleetState;
    if (bornAt !== undefined && registry.get(id)?.bornAt !== bornAt) return;
    const changed = registry.reportReplaced(id, this.options.now());
    if (changed.length === 0) return;
    this.options.observer.log('targetAnnounced', { target: id, state: 'gone', presumed: true });
    changed.forEach((record) => this.allocator.observe(record));
    void this.updates.publish(changed);
  }

  private setLeading(isLeading: boolean): void {
    this.isLeading = isLeading;
    this.publishedEnds.clear();
    this.followers.clear();
    this.standing.clear();
    this.processes.clear();
    this.withdrawn.clear();
    this.awaitingSnapshot.clear();
    this.recordSources.clear();
    this.suspects.reset();
    this.limits.setLeading(isLeading);
    if (isLeading) this.placer.open();
    else this.placer.close();
    this.leadingSince = this.options.now();
    if (isLeading) this.updates.beginEpoch();
    this.cold.setLeading(isLeading);
  }

  private snapshot(): registrySnapshots.RegistrySnapshot {
    const { fleetState: fleet, now } = this.options;
    return {
      records: fleet.registry.records(),
      suspects: fleet.quarantine.reports(now()),
      limits: fleet.limits.all(),
    };
  }

  private currentAverages(): domain.allocation.assumedLoad.AverageLoad[] {
    const now = this.options.now();
    if (this.averages === undefined || now - this.averages.at >= AVERAGES_TTL_MS) {
      this.averages = { at: now, of: this.allocator.averageLoadByService() };
    }
    return this.averages.of;
  }

  private updateFor(follower: messages.FollowRequest): messages.FleetUpdate {
    const { name, mark, evacuationRevision } = follower;
    const newest = this.options.newestCatalogue();
    const version = messages.catalogueVersionOf(follower);
    const isLacking = newest !== undefined && isNewerVersion(newest.version, version);
    const edition = isLacking ? newest : undefined;
    const evacuations = this.evacuations.missingAt(evacuationRevision);
    const update = { edition, ...this.registryUpdateFor(name, mark) };
    return evacuations === undefined ? update : { ...update, evacuations };
  }

  private registryUpdateFor(
    name: string,
    mark: messages.RegistryVersion,
  ): registryUpdates.RegistryUpdate {
    if (this.isSelf(name)) return this.updates.emptyUpdate();
    this.awaitingSnapshot.delete(name);
    const update = this.updates.updateSince(mark);
    if (update !== undefined) return update;
    const snapshot = this.updates.snapshotUpdate();
    if (this.snapshotThrottle.take(snapshot.packedRegistry.length)) return snapshot;
    this.awaitingSnapshot.add(name);
    return {
      mark,
      since: mark,
      records: this.plainTargets(),
      suspects: [],
      limits: this.options.fleetState.limits.all(),
    };
  }

  /** Targets of services without engines, including draining and gone ones; entries choose among these themselves. */
  private plainTargets(): Announcement[] {
    const { directory, registry } = this.options.fleetState;
    const services = directory?.catalogue.services ?? [];
    const plainServices = new Set(
      services.filter(({ engine }) => engine === undefined).map(({ name }) => name),
    );
    return registry.records().filter(({ service }) => plainServices.has(service));
  }
}

/** Whether an announcement confirms what was loaded from disk about a target. */
function isConfirmation(
  loaded: Announcement | undefined,
  { state, address, bornAt }: Announcement,
): boolean {
  if (loaded?.isRemembered !== true || loaded.bornAt !== bornAt) return false;
  return loaded.state === state && loaded.address === address;
}
