/**
 * What an entry or a keeper has in force: the newest catalogue it heard of, and the registry of targets.
 * Both only move forward within the life of a process.
 */
import * as domain from '@celerydrift/domain';
import type * as protocols from '../edges/protocols';
import type * as observer from '../observability/observer';
import * as packedCatalogue from './packedCatalogue';
import * as messages from './messages';
import * as registryCopies from './registryCopies';

type Announcement = domain.registry.registry.Announcement;
type RateLimit = domain.rateLimits.rateLimits.RateLimit;
type Directory = domain.catalogue.directory.Directory;

export interface Options {
  protocol: protocols.ControlProtocol;
  observer: observer.Observer;
  now: () => number;
  onCatalogue: (directory: Directory) => void;
  onRecord: (record: Announcement) => void;
  /** What is known of suspects changed by news. */
  onSuspects?: () => void;
  /** Limits of targets changed by news. */
  onLimits?: () => void;
}

/** Endings from which on a suspect is worth telling to a new leader; most with fewer are innocent, and they are many. */
const MIN_REPORTED_CRASHES = 2;

/** Changes of targets that are taken together and still get a line of the log each. */
const MAX_LOGGED_RECORDS = 20;

/** Takes records into the registry; those that changed with them come back. */
type ApplyRecords = (records: readonly Announcement[]) => Announcement[];

export class Holding {
  readonly registry = new domain.registry.registry.Registry();

  /** Requests under which targets end. */
  readonly quarantine = new domain.quarantine.quarantine.Quarantine();

  /** Limits that targets name. */
  readonly limits = new domain.rateLimits.rateLimits.RateLimits();

  mark: messages.RegistryVersion = messages.NO_MARK;

  private current: Directory | undefined;

  constructor(private readonly options: Options) {}

  get directory(): Directory | undefined {
    return this.current;
  }

  get version(): number {
    return this.current?.version ?? 0;
  }

  applyCatalogue(edition: domain.catalogue.versions.Edition): void {
    if (edition.version <= this.version) return;
    const decoded = this.options.protocol.catalogue(packedCatalogue.unpack(edition));
    if (decoded.err) {
      // Only what a keeper could read is accepted, so this one is an older program.
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

  /** Takes what this process's disk held at its start. */
  loadRecords(records: readonly Announcement[]): Announcement[] {
    const loaded = this.registry.remember(records, this.options.now());
    loaded.forEach((record) => this.options.onRecord(record));
    return loaded;
  }

  /** Gives up remembered targets that were silent for too long since `since`. */
  expireUnconfirmed(since: number): Announcement[] {
    return this.notifyChanged(this.registry.endRemembered(this.options.now(), since));
  }

  /** Takes what copies of the registry say; the records that changed with it come back. */
  mergeRecords(records: readonly Announcement[]): Announcement[] {
    return this.notifyChanged(this.registry.merge(records, this.options.now()));
  }

  private applySnapshot({ records, suspects, limits }: registryCopies.RegistrySnapshot): void {
    this.applyManyRecords(records, (each) => this.registry.follow(each, this.options.now()));
    if (this.limits.setAll(limits, this.options.now())) this.options.onLimits?.();
    this.quarantine.takeAll(suspects, this.options.now());
    this.options.onSuspects?.();
  }

  /**
   * Takes a whole copy of the registry, in one line of the log: an entry that has just started has callers waiting, and a
   * line for each of 155 targets took it 40 KB of log before it could serve the first of them.
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

  /** What a new leader should know of suspects. */
  suspectsToTell(): domain.quarantine.suspect.Report[] {
    const reports = this.quarantine.reports(this.options.now());
    return reports.filter(({ endings }) => endings.length >= MIN_REPORTED_CRASHES);
  }

  /** Takes a target's own word. */
  applyAnnouncement(announcement: Announcement): Announcement[] {
    return this.notifyChanged(this.registry.announce(announcement, this.options.now()));
  }

  /** Takes a lifetime's word, from an answer, that it leaves. */
  takeLeaving({ id, bornAt }: domain.quarantine.endedLifetimes.Lifetime): Announcement[] {
    return this.notifyChanged(this.registry.leave(id, bornAt));
  }

  /** The same for a target that was only remembered, and says what was remembered; thousands may come within a second. */
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

  /** Takes news; false where they build on a state that isn't held here, so that a full copy is needed. */
  takeNews(update: messages.News): boolean {
    const { edition, mark, since, packedRegistry } = update;
    if (edition !== undefined) this.applyCatalogue(edition);
    if (packedRegistry !== undefined) this.applySnapshot(registryCopies.unpack(packedRegistry));
    const isConsecutive = since === undefined || messages.includes(this.mark, since);
    // News of a leader that isn't followed any more, or that was held up, says nothing of what came later.
    this.applyRecords(
      registryCopies.unpackRecords(update),
      isConsecutive && !isNewer(this.mark, mark),
    );
    // A push that was held up comes after the answer to a question: what it says of suspects and limits is no longer so.
    if (!isNewer(this.mark, mark)) {
      this.applySuspects(update.suspects);
      this.applyLimits(update.limits);
    }
    if (!isConsecutive) return false;
    if (!isNewer(this.mark, mark)) this.mark = mark;
    return true;
  }

  private applySuspects(suspects: messages.News['suspects']): void {
    suspects.forEach((report) => this.quarantine.take(report, this.options.now()));
    if (suspects.length > 0) this.options.onSuspects?.();
  }

  /** Takes limits that changed or ended. */
  applyLimits(limits: readonly RateLimit[]): void {
    const changed = limits.filter((limit) => this.limits.set(limit, this.options.now()));
    if (changed.length > 0) this.options.onLimits?.();
  }

  /** Takes changes; many in one line of the log, like a whole copy. */
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
