/**
 * Numbered changes of the registry, of suspects and of rate limits under one leader. Changes are retained for
 * followers that missed some and pushed to reachable followers. A follower receives the changes after its own
 * registry version; one that is too far behind, or comes from another leader, gets a whole snapshot.
 */
import * as crypto from 'node:crypto';
import type * as domain from '@celerydrift/domain';
import * as messages from '../fleet/messages';
import * as registrySnapshots from '../fleet/registrySnapshots';

type Announcement = domain.registry.registry.Announcement;
type SuspectReport = domain.quarantine.suspect.SuspectReport;
type RateLimit = domain.rateLimits.rateLimits.RateLimit;

/** What a follower lacks, apart from the catalogue. */
export type RegistryUpdate = Omit<messages.FleetUpdate, 'edition'>;

/** What a follower lacks whose version isn't covered by the retained changes. */
export type SnapshotUpdate = RegistryUpdate & { packedRegistry: Uint8Array };

export interface Dependencies {
  snapshot: () => registrySnapshots.RegistrySnapshot;
  now: () => number;
  /** Number of followers. */
  followers: () => number;
  /** Resolves when the reachable followers have applied the update, or after a time limit. */
  push: (update: messages.FleetUpdate) => Promise<void>;
}

/**
 * How long changes of usable targets are collected before they are pushed, in milliseconds. After an outage of all
 * VMs, 150 targets announce themselves within 1.2 s; with a push for each, a new leader of 200 followers sent 30,000
 * pushes and answered nobody for four seconds. Draining targets are pushed at once, with everything collected so far.
 */
const BATCH_WINDOW_MS = 150;

/**
 * The same for crash reports, in milliseconds. Entries with requests on the same target report its crash within a few
 * milliseconds; a copy of the request that comes later must find the crash known everywhere.
 */
const SUSPECTS_BATCH_WINDOW_MS = 5;

/**
 * Minimum batch window per follower, in milliseconds, so that pushes take a leader of many followers no more than a
 * third of its time.
 */
const BATCH_WINDOW_MS_PER_FOLLOWER = 1;

/**
 * Number of changes retained for followers that missed a push. When a fleet of 3,000 targets starts, all announce
 * themselves between two polls of a follower; with fewer changes retained, it would get the whole registry again with
 * each poll.
 */
const MAX_RETAINED_CHANGES = 12_000;

/**
 * Maximum number of changes that a follower receives up to the very latest. Longer ranges end at a version shared by
 * all who poll within `SHARED_VERSION_MS`, so that they are packed once and not for each follower.
 */
const MAX_UNSHARED_CHANGES = 256;

/** How long a shared version is handed out, in milliseconds. */
const SHARED_VERSION_MS = 150;

/** Number of packed batches that are cached: the versions that followers may have during a few pushes. */
const MAX_CACHED_BATCHES = 16;

/** Share of the registry that may change before its snapshot is packed anew. */
const STALE_SNAPSHOT_SHARE = 0.1;

interface VersionRange {
  from: messages.RegistryVersion;
  to: messages.RegistryVersion;
}

/** A scheduled push; it includes further changes until it starts. */
interface PendingPush {
  done: Promise<void>;
  push: () => void;
}

/** A change of a registry record, a suspect report or a rate limit. */
interface Change {
  version: messages.RegistryVersion;
  record?: Announcement;
  suspect?: SuspectReport;
  limit?: RateLimit;
}

export class RegistryUpdates {
  private version: messages.RegistryVersion = messages.NO_VERSION;

  /** The version that followers have once everything pushed has arrived. */
  private pushedVersion: messages.RegistryVersion = messages.NO_VERSION;

  private changes: Change[] = [];

  private pendingPush: PendingPush | undefined;

  /** The whole registry, packed, as of a version. */
  private cachedSnapshot:
    { mark: messages.RegistryVersion; packed: Uint8Array; size: number } | undefined;

  /** The version up to which followers that lack many changes are updated. */
  private shared: { mark: messages.RegistryVersion; at: number } | undefined;

  /** Packed records by version range, the latest last. */
  private batches = new Map<string, registrySnapshots.RecordBatch>();

  constructor(private readonly dependencies: Dependencies) {}

  /** Starts numbering changes anew for a new leadership; versions of different leaderships aren't comparable. */
  beginEpoch(): void {
    this.version = { epoch: crypto.randomBytes(6).toString('hex'), change: 0 };
    this.pushedVersion = this.version;
    this.changes = [];
    this.cachedSnapshot = undefined;
    this.shared = undefined;
    this.batches.clear();
  }

  /**
   * Records changes that followers receive with the answer to their next poll or with the next push. After an outage
   * of all VMs every target confirms its record from disk within 1.2 s; pushing each confirmation kept a new leader
   * of 195 entries busy for a second.
   */
  record(records: readonly Announcement[]): void {
    this.append(records.map((record) => ({ record })));
  }

  /** Records changed suspect reports and pushes them soon. */
  publishSuspects(suspects: readonly SuspectReport[]): void {
    this.append(suspects.map((suspect) => ({ suspect })));
    setTimeout(this.schedulePush().push, SUSPECTS_BATCH_WINDOW_MS);
  }

  /** Records rate limits that changed or ended; they are pushed with the other collected changes. */
  publishLimits(limits: readonly RateLimit[]): void {
    this.append(limits.map((limit) => ({ limit })));
    this.schedulePush();
  }

  /** Records changes and pushes them; resolves when the reachable followers have them. */
  publish(records: readonly Announcement[]): Promise<void> {
    this.record(records);
    const pending = this.schedulePush();
    if (records.some(({ state }) => state !== 'ready')) pending.push();
    return pending.done;
  }

  /** Pushes a catalogue. */
  publishCatalogue(edition: domain.catalogue.newestCatalogue.PackedCatalogue): Promise<void> {
    return this.pushUnversioned(edition);
  }

  /** Pushes the evacuations that followers lack, which each push includes. */
  publishEvacuations(): Promise<void> {
    return this.pushUnversioned(undefined);
  }

  /** Pushes what leaves the registry version unchanged. */
  private async pushUnversioned(
    edition: domain.catalogue.newestCatalogue.PackedCatalogue | undefined,
  ): Promise<void> {
    const { pushedVersion } = this;
    await this.dependencies.push({
      edition,
      mark: pushedVersion,
      since: pushedVersion,
      records: [],
      suspects: [],
      limits: [],
    });
  }

  /** Whether a version belongs to this leadership. */
  isCurrentEpoch(mark: messages.RegistryVersion): boolean {
    return mark.epoch === this.version.epoch;
  }

  /** The update for a follower that has the current version. */
  emptyUpdate(): RegistryUpdate {
    return { mark: this.version, since: this.version, records: [], suspects: [], limits: [] };
  }

  /**
   * The changes after version `mark`, up to a version that may be shared with other followers; undefined if only a
   * snapshot would do.
   */
  updateSince(mark: messages.RegistryVersion): RegistryUpdate | undefined {
    if (!this.covers(mark)) return undefined;
    const isFew = this.version.change - mark.change <= MAX_UNSHARED_CHANGES;
    const to = isFew ? this.version : this.sharedVersion();
    return this.changesBetween({ from: mark, to: messages.includes(to, mark) ? to : mark });
  }

  /** All changes after version `mark`; undefined if only a snapshot would do. */
  fullUpdateSince(mark: messages.RegistryVersion): RegistryUpdate | undefined {
    return this.covers(mark) ? this.changesBetween({ from: mark, to: this.version }) : undefined;
  }

  /** A snapshot of the whole registry, for a follower without any of it. */
  snapshotUpdate(): SnapshotUpdate {
    const { mark, packed } = this.currentSnapshot();
    // Many changes since the snapshot come with the next poll; packed for each follower, they would cost as much as
    // new snapshots.
    const isFew = this.version.change - mark.change < registrySnapshots.MIN_PACKED_RECORDS;
    const changes = this.changesBetween({ from: mark, to: isFew ? this.version : mark });
    return { ...changes, since: undefined, packedRegistry: packed };
  }

  /** Whether the retained changes lead from a version to the current one. */
  private covers(mark: messages.RegistryVersion): boolean {
    const oldest = this.changes[0] ?? {
      version: { ...this.version, change: this.version.change + 1 },
    };
    return messages.includes(this.version, mark) && mark.change >= oldest.version.change - 1;
  }

  private changesBetween({ from, to }: VersionRange): RegistryUpdate {
    const offset = (this.changes[0]?.version.change ?? 0) - 1;
    const changes = this.changes.slice(
      Math.max(0, from.change - offset),
      Math.max(0, to.change - offset),
    );
    const suspects = changes.flatMap(({ suspect }) => (suspect === undefined ? [] : [suspect]));
    const limits = changes.flatMap(({ limit }) => (limit === undefined ? [] : [limit]));
    return { mark: to, since: from, ...this.batchOf({ from, to }, changes), suspects, limits };
  }

  private batchOf(
    { from, to }: VersionRange,
    changes: readonly Change[],
  ): registrySnapshots.RecordBatch {
    const key = `${from.change} ${to.change}`;
    const cached = this.batches.get(key);
    if (cached !== undefined) return cached;
    const records = changes.flatMap(({ record }) => (record === undefined ? [] : [record]));
    const batch = registrySnapshots.packRecords(records);
    if (batch.packedRecords === undefined) return batch;
    this.batches.set(key, batch);
    if (this.batches.size > MAX_CACHED_BATCHES) this.batches.delete([...this.batches.keys()][0]);
    return batch;
  }

  private sharedVersion(): messages.RegistryVersion {
    const now = this.dependencies.now();
    if (this.shared === undefined || now - this.shared.at >= SHARED_VERSION_MS) {
      this.shared = { mark: this.version, at: now };
    }
    return this.shared.mark;
  }

  private append(changes: readonly Omit<Change, 'version'>[]): void {
    changes.forEach((change) => {
      this.version = { ...this.version, change: this.version.change + 1 };
      this.changes.push({ version: this.version, ...change });
    });
    this.changes.splice(0, Math.max(0, this.changes.length - MAX_RETAINED_CHANGES));
  }

  private schedulePush(): PendingPush {
    if (this.pendingPush !== undefined) return this.pendingPush;
    let push = (): void => undefined;
    const done = new Promise<void>((resolve) => {
      push = () => {
        if (this.pendingPush?.done !== done) return;
        this.pendingPush = undefined;
        void this.pushChanges().finally(resolve);
      };
    });
    this.pendingPush = { done, push };
    setTimeout(
      push,
      Math.max(BATCH_WINDOW_MS, BATCH_WINDOW_MS_PER_FOLLOWER * this.dependencies.followers()),
    );
    return this.pendingPush;
  }

  private async pushChanges(): Promise<void> {
    const update = this.changesBetween({ from: this.pushedVersion, to: this.version });
    this.pushedVersion = update.mark;
    await this.dependencies.push({ edition: undefined, ...update });
  }

  private currentSnapshot(): { mark: messages.RegistryVersion; packed: Uint8Array } {
    const { cachedSnapshot } = this;
    const isFresh =
      cachedSnapshot !== undefined &&
      this.covers(cachedSnapshot.mark) &&
      this.version.change - cachedSnapshot.mark.change <=
        STALE_SNAPSHOT_SHARE * cachedSnapshot.size;
    if (isFresh) return cachedSnapshot;
    const snapshot = this.dependencies.snapshot();
    const size = snapshot.records.length;
    this.cachedSnapshot = { mark: this.version, packed: registrySnapshots.pack(snapshot), size };
    return this.cachedSnapshot;
  }
}
