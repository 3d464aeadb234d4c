/**
 * Replicated state of an entry or a keeper: the newest catalogue it received, the target registry, suspects and rate
 * limits. Catalogue and registry only move forward within the lifetime of a process.
 */
import * as domain from '@celerydrift/domain';
import type * as protocols from '../edges/protocols';
import type * as observer from '../observability/observer';
import * as messages from './messages';
import * as packedCatalogue from './packedCatalogue';
import * as registrySnapshots from './registrySnapshots';

const { keyOf } = domain.rateLimits.rateLimits;

const { isNewerVersion } = domain.catalogue.newestCatalogue;

type Announcement = domain.registry.registry.Announcement;
type RateLimit = domain.rateLimits.rateLimits.RateLimit;
type Endpoint = domain.rateLimits.rateLimits.Endpoint;
type Directory = domain.catalogue.directory.Directory;

export interface Options {
  protocol: protocols.ControlProtocol;
  observer: observer.Observer;
  now: () => number;
  onCatalogue: (directory: Directory) => void;
  onRecord: (record: Announcement) => void;
  /** Called when an update changed the suspect requests. */
  onSuspects?: () => void;
  /** Called when an update changed rate limits of targets. */
  onLimits?: () => void;
  /** Called when the evacuation of a data centre has ended, before any request can be sent there. */
  onEvacuationEnded?: (dataCentre: string) => void;
}

/**
 * Minimum number of crashes of a suspect that is reported to a new leader; most suspects with fewer are innocent, and
 * they are many.
 */
const MIN_REPORTED_CRASHES = 2;

/** Maximum number of records changed together that are still logged in a line each. */
const MAX_LOGGED_RECORDS = 20;

/**
 * How long after its cold period a limit stays that this process set by itself and the leader didn't publish,
 * milliseconds. The leader publishes it within the time of a few polls, unless it ended there before this process learned
 * of the end of the evacuation.
 */
const UNPUBLISHED_LIMIT_MS = 5_000;

/** Applies records to the registry; returns the changed ones. */
type ApplyRecords = (records: readonly Announcement[]) => Announcement[];

export class FleetState {
  readonly registry = new domain.registry.registry.Registry();

  /** Requests that crashed targets. */
  readonly quarantine = new domain.quarantine.quarantine.Quarantine();

  /** Rate limits that targets reported. */
  readonly limits = new domain.rateLimits.rateLimits.RateLimits();

  readonly evacuations = new domain.evacuation.evacuations.Evacuations();

  /** Version of the registry that is in force here. */
  registryVersion: messages.RegistryVersion = messages.NO_VERSION;

  private current: Directory | undefined;

  /** Limits of cold targets that this process set by itself and no leader has published since. */
  private readonly unpublishedLimits = new Map<string, RateLimit>();

  constructor(private readonly options: Options) {}

  get directory(): Directory | undefined {
    return this.current;
  }

  /** Version of the catalogue in force; undefined without one. */
  get version(): number | undefined {
    return this.current?.version;
  }

  applyCatalogue(edition: domain.catalogue.newestCatalogue.PackedCatalogue): void {
    if (!isNewerVersion(edition.version, this.version)) return;
    const document = packedCatalogue.unpack(edition);
    const decoded = document.andThen((content) => this.options.protocol.parseCatalogue(content));
    if (decoded.err) {
      // Only a document that a keeper could decode is accepted, so this process runs an older program.
      this.options.observer.log('catalogueRefused', {
        version: edition.version,
        reason: decoded.val.detail,
      });
      return;
    }
    this.current = new domain.catalogue.directory.Directory(decoded.val);
    this.options.observer.log('catalogueInForce', { version: edition.version });
    this.options.onCatalogue(this.current);
  }

  /** Applies the evacuations of the log or of an update, if they are newer than those in force here. */
  applyEvacuations(state: domain.evacuation.evacuations.EvacuationState): void {
    const before = this.evacuations.state.evacuations;
    if (!this.evacuations.replace(state)) return;
    this.options.observer.log('evacuationsInForce', {
      revision: state.revision,
      dataCentres: state.evacuations.map(({ dataCentre }) => dataCentre),
    });
    before
      .filter(({ dataCentre }) => !this.evacuations.isEvacuated(dataCentre))
      .forEach(({ dataCentre }) => this.evacuationEnded(dataCentre));
  }

  /**
   * Limits the targets of a data centre whose evacuation has ended, as they may be cold. Every process does so by itself,
   * since the end may reach it before the limits of the leader.
   */
  evacuationEnded(dataCentre: string): void {
    this.options.onEvacuationEnded?.(dataCentre);
    const records = this.registry.records().filter((record) => {
      return record.dataCentre === dataCentre && record.state !== 'gone';
    });
    records.forEach((record) => {
      this.assumeCold(record, this.current?.service(record.service)?.coldStartMs ?? 0);
    });
  }

  /**
   * Limits the target at an address as cold before the leader does; returns whether that is new here. The limit ends by
   * itself if no leader publishes it.
   */
  assumeCold({ service, address }: Endpoint, forMs: number): boolean {
    const perSecond = this.current?.service(service)?.coldPerSecond ?? 0;
    if (perSecond === 0 || this.limits.isCold({ service, address })) return false;
    const limit: RateLimit = { service, address, perSecond, source: 'cold' };
    const key = keyOf(limit);
    this.limits.set(limit, this.options.now());
    this.unpublishedLimits.set(key, limit);
    const end = (): void => {
      // The limit may have been published since, and assumed again later.
      if (this.unpublishedLimits.get(key) !== limit) return;
      this.unpublishedLimits.delete(key);
      this.limits.set({ ...limit, perSecond: undefined }, this.options.now());
    };
    setTimeout(end, forMs + UNPUBLISHED_LIMIT_MS).unref();
    return true;
  }

  /** Loads records that were stored on this process's disk. */
  loadRecords(records: readonly Announcement[]): Announcement[] {
    const loaded = this.registry.loadFromDisk(records, this.options.now());
    loaded.forEach((record) => this.options.onRecord(record));
    return loaded;
  }

  /** Gives up targets loaded from disk that haven't announced themselves in time since `since`. */
  expireUnconfirmed(since: number): Announcement[] {
    return this.notifyChanged(this.registry.expireLoaded(this.options.now(), since));
  }

  /** Merges records of another registry; returns the changed ones. */
  mergeRecords(records: readonly Announcement[]): Announcement[] {
    return this.notifyChanged(this.registry.merge(records, this.options.now()));
  }

  private applySnapshot({ records, suspects, limits }: registrySnapshots.RegistrySnapshot): void {
    this.applyManyRecords(records, (each) => this.registry.follow(each, this.options.now()));
    this.unpublishedLimits.clear();
    if (this.limits.setAll(limits, this.options.now())) this.options.onLimits?.();
    this.quarantine.replaceAll(suspects, this.options.now());
    this.options.onSuspects?.();
  }

  /**
   * Applies many records, logged in one line: an entry that has just started has callers waiting, and a line for each
   * of 155 targets wrote 40 KB of log before it could serve the first of them. The leader logs each target.
   */
  private applyManyRecords(records: readonly Announcement[], apply: ApplyRecords): void {
    const changed = apply(records);
    changed.forEach((record) => this.options.onRecord(record));
    const ready = records.filter(({ state }) => state === 'ready');
    this.options.observer.log('registryTaken', {
      known: records.length,
      ready: ready.length,
      remembered: ready.filter(({ isRemembered }) => isRemembered === true).length,
      changed: changed.length,
    });
  }

  /** Reports of suspects that a new leader should know. */
  reportableSuspects(): domain.quarantine.suspect.SuspectReport[] {
    const reports = this.quarantine.reports(this.options.now());
    return reports.filter(({ endings }) => endings.length >= MIN_REPORTED_CRASHES);
  }

  /** Applies a target's own announcement. */
  applyAnnouncement(announcement: Announcement): Announcement[] {
    return this.notifyChanged(this.registry.announce(announcement, this.options.now()));
  }

  /** Applies a target's departure, without logging it. */
  applyDeparture({ id, bornAt }: { id: string; bornAt?: number }): Announcement[] {
    const changed = this.registry.depart(id, this.options.now(), bornAt);
    changed.forEach((record) => this.options.onRecord(record));
    return changed;
  }

  /** Applies a lifetime's notice, in an answer, that it drains. */
  applyDraining({ id, bornAt }: domain.quarantine.crashedLifetimes.Lifetime): Announcement[] {
    return this.notifyChanged(this.registry.reportDraining(id, bornAt));
  }

  /**
   * Applies an announcement that confirms a target loaded from disk, without logging it: thousands may arrive within
   * a second.
   */
  applyConfirmation(announcement: Announcement): Announcement[] {
    const changed = this.registry.announce(announcement, this.options.now());
    changed.forEach((record) => this.options.onRecord(record));
    return changed;
  }

  private notifyChanged(changed: Announcement[]): Announcement[] {
    changed.forEach((record) => {
      const { id, service, address, state, sequence, bornAt, isRemembered } = record;
      this.options.observer.log('targetAnnounced', {
        target: id,
        bornAt,
        service,
        address,
        state,
        sequence,
        isRemembered,
      });
      this.options.onRecord(record);
    });
    return changed;
  }

  /**
   * Applies an update; returns false if it builds on a version that this process doesn't have, so that it needs a
   * snapshot.
   */
  applyUpdate(update: messages.FleetUpdate): boolean {
    const { evacuations, edition, mark, since, packedRegistry } = update;
    if (evacuations !== undefined) this.applyEvacuations(evacuations);
    if (edition !== undefined) this.applyCatalogue(edition);
    if (packedRegistry !== undefined) this.applySnapshot(registrySnapshots.unpack(packedRegistry));
    const isConsecutive = since === undefined || messages.includes(this.registryVersion, since);
    // An update of a former leader, or a delayed one, doesn't reflect later changes; its records are merged.
    this.applyRecords(
      registrySnapshots.unpackRecords(update),
      isConsecutive && !isNewer(this.registryVersion, mark),
    );
    // A delayed push arrives after the answer to a later poll, so its suspects and limits are outdated.
    if (!isNewer(this.registryVersion, mark)) {
      this.applySuspects(update.suspects);
      this.applyLimits(update.limits);
    }
    if (!isConsecutive) return false;
    if (!isNewer(this.registryVersion, mark)) this.registryVersion = mark;
    return true;
  }

  private applySuspects(suspects: messages.FleetUpdate['suspects']): void {
    suspects.forEach((report) => this.quarantine.applyReport(report, this.options.now()));
    if (suspects.length > 0) this.options.onSuspects?.();
  }

  /** Applies rate limits that changed or ended. */
  applyLimits(limits: readonly RateLimit[]): void {
    limits
      .filter(({ source }) => source === 'cold')
      .forEach((limit) => this.unpublishedLimits.delete(keyOf(limit)));
    const changed = limits.filter((limit) => this.limits.set(limit, this.options.now()));
    if (changed.length > 0) this.options.onLimits?.();
  }

  /** Applies changes; many are logged in one line, like a snapshot. */
  private applyRecords(records: readonly Announcement[], isConsecutive: boolean): void {
    const now = this.options.now();
    const apply: ApplyRecords = (each) =>
      isConsecutive ? this.registry.follow(each, now) : this.registry.merge(each, now);
    if (records.length > MAX_LOGGED_RECORDS) this.applyManyRecords(records, apply);
    else this.notifyChanged(apply(records));
  }
}

function isNewer(a: messages.RegistryVersion, b: messages.RegistryVersion): boolean {
  return a.epoch === b.epoch && a.change > b.change;
}
