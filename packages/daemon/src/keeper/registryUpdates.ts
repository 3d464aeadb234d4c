/**
 * The changes of the registry, of suspects and of limits under one leader: numbered, kept for followers that update some, and pushed to those in touch.
 * What a follower lacks follows from the last number that it has; one that is too far behind, or comes from another
 * leader, gets a whole copy.
 */
import * as crypto from 'node:crypto';
import type * as domain from '@celerydrift/domain';
import * as messages from '../fleet/messages';
import * as registryCopies from '../fleet/registryCopies';

type Announcement = domain.registry.registry.Announcement;
type SuspectReport = domain.quarantine.suspect.Report;
type RateLimit = domain.rateLimits.rateLimits.RateLimit;

/** What a follower lacks, without an edition. */
export type RegistryUpdate = Omit<messages.News, 'edition'>;

/** What a follower lacks whose state doesn't lead to the present one by the changes that are kept. */
export type SnapshotUpdate = RegistryUpdate & { packedRegistry: Uint8Array };

export interface Dependencies {
  snapshot: () => registryCopies.Copy;
  now: () => number;
  followers: () => number;
  /** Resolves when the followers in touch have it, or after a bound. */
  push: (news: messages.News) => Promise<void>;
}

/**
 * Changes of targets that may be used are gathered for so long before they are pushed, milliseconds. After a loss of all 150
 * targets announce themselves within 1.2 s; with a push for each, a new leader of 200 followers sent 30,000 and answered
 * nobody for four seconds. Targets that leave are pushed at once, with all that was gathered.
 */
const BATCH_WINDOW_MS = 150;

/**
 * The same for requests under which targets end, milliseconds. Entries that had requests on the same target tell of its end
 * within a few; a copy of the request that comes later must find it known everywhere.
 */
const SUSPECTS_BATCH_WINDOW_MS = 5;

/**
 * Pushing to one follower may take this much of the pause between two pushes, milliseconds, so that pushes take a leader of many
 * followers no more than a third of its time.
 */
const BATCH_WINDOW_MS_PER_FOLLOWER = 1;

/**
 * Changes that are kept for followers that update a push. When a fleet of 3,000 targets starts, all announce themselves between
 * two questions of a follower; with fewer kept, it would get the whole registry again with each.
 */
const MAX_RETAINED_CHANGES = 12_000;

/**
 * Most changes that a follower gets to the very last one. More go up to a state that all who ask within `OFFERED_MS` share, so
 * that they are packed once and not for each.
 */
const MAX_UNSHARED_CHANGES = 256;

/** How long such a state is handed out, milliseconds. */
const SHARED_VERSION_MS = 150;

/** Packed changes that are kept: as many as there are states that followers may have during some pushes. */
const MAX_CACHED_BATCHES = 16;

/** Part of the registry's size by which it may change before it is packed anew. */
const STALE_SNAPSHOT_SHARE = 0.1;

interface VersionRange {
  from: messages.RegistryMark;
  to: messages.RegistryMark;
}

/** A push that takes further changes until it begins. */
interface PendingPush {
  done: Promise<void>;
  push: () => void;
}

/** A change of the registry, of what is known of a suspect, or of a limit. */
interface Change {
  version: messages.RegistryMark;
  record?: Announcement;
  suspect?: SuspectReport;
  limit?: RateLimit;
}

export class RegistryUpdates {
  private version: messages.RegistryMark = messages.NO_MARK;

  /** The mark that followers have once all that was pushed has arrived. */
  private pushedVersion: messages.RegistryMark = messages.NO_MARK;

  private changes: Change[] = [];

  private pendingPush: PendingPush | undefined;

  /** The whole registry at a mark. */
  private cachedSnapshot:
    { mark: messages.RegistryMark; packed: Uint8Array; size: number } | undefined;

  /** The state that followers who lack much are brought to. */
  private shared: { mark: messages.RegistryMark; at: number } | undefined;

  /** Packed records of some spans, the latest last. */
  private batches = new Map<string, registryCopies.Bundle>();

  constructor(private readonly dependencies: Dependencies) {}

  /** A leadership begins: numbers of another one don't compare. */
  beginEpoch(): void {
    this.version = { epoch: crypto.randomBytes(6).toString('hex'), change: 0 };
    this.pushedVersion = this.version;
    this.changes = [];
    this.cachedSnapshot = undefined;
    this.shared = undefined;
    this.batches.clear();
  }

  /**
   * Notes changes that followers get with the answer to their next question, or with the next push. After a loss of all
   * every target confirms within 1.2 s what the disks said; pushed, that kept a new leader of 195 entries busy for a second.
   */
  record(records: readonly Announcement[]): void {
    this.append(records.map((record) => ({ record })));
  }

  /** Notes what became of suspects, and pushes it soon. */
  publishSuspects(suspects: readonly SuspectReport[]): void {
    this.append(suspects.map((suspect) => ({ suspect })));
    setTimeout(this.schedulePush().push, SUSPECTS_BATCH_WINDOW_MS);
  }

  /** Notes limits that changed or ended, and pushes them with what is gathered. */
  publishLimits(limits: readonly RateLimit[]): void {
    this.append(limits.map((limit) => ({ limit })));
    this.schedulePush();
  }

  /** Notes changes and pushes them; resolves when the followers in touch have them. */
  publish(records: readonly Announcement[]): Promise<void> {
    this.record(records);
    const pending = this.schedulePush();
    if (records.some(({ state }) => state !== 'ready')) pending.push();
    return pending.done;
  }

  /** Pushes an edition; it changes nothing of the registry. */
  async publishEdition(edition: domain.catalogue.versions.Edition): Promise<void> {
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

  /** Whether a state came from this leadership. */
  isCurrentEpoch(mark: messages.RegistryMark): boolean {
    return mark.epoch === this.version.epoch;
  }

  /** For whoever has the present state. */
  emptyUpdate(): RegistryUpdate {
    return { mark: this.version, since: this.version, records: [], suspects: [], limits: [] };
  }

  /** What a follower at `mark` lacks, up to a state that it shares with others; undefined where only a whole copy would do. */
  updateSince(mark: messages.RegistryMark): RegistryUpdate | undefined {
    if (!this.covers(mark)) return undefined;
    const isFew = this.version.change - mark.change <= MAX_UNSHARED_CHANGES;
    const to = isFew ? this.version : this.sharedVersion();
    return this.changesBetween({ from: mark, to: messages.holds(to, mark) ? to : mark });
  }

  /** All that a follower at `mark` lacks at this moment; undefined where only a whole copy would do. */
  fullUpdateSince(mark: messages.RegistryMark): RegistryUpdate | undefined {
    return this.covers(mark) ? this.changesBetween({ from: mark, to: this.version }) : undefined;
  }

  /** The whole registry, for a follower that knows nothing of it. */
  snapshotUpdate(): SnapshotUpdate {
    const { mark, packed } = this.currentSnapshot();
    // Many changes since come with the next question: packed for each who asks, they would cost as much as new copies.
    const isFew = this.version.change - mark.change < registryCopies.PACKED_FROM;
    const changes = this.changesBetween({ from: mark, to: isFew ? this.version : mark });
    return { ...changes, since: undefined, packedRegistry: packed };
  }

  /** Whether a state leads to the present one by the changes that are kept. */
  private covers(mark: messages.RegistryMark): boolean {
    const oldest = this.changes[0] ?? {
      version: { ...this.version, change: this.version.change + 1 },
    };
    return messages.holds(this.version, mark) && mark.change >= oldest.version.change - 1;
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

  private batchOf({ from, to }: VersionRange, changes: readonly Change[]): registryCopies.Bundle {
    const key = `${from.change} ${to.change}`;
    const cached = this.batches.get(key);
    if (cached !== undefined) return cached;
    const records = changes.flatMap(({ record }) => (record === undefined ? [] : [record]));
    const batch = registryCopies.bundle(records);
    if (batch.packedRecords === undefined) return batch;
    this.batches.set(key, batch);
    if (this.batches.size > MAX_CACHED_BATCHES) this.batches.delete([...this.batches.keys()][0]);
    return batch;
  }

  private sharedVersion(): messages.RegistryMark {
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
        void this.pushChanges().then(resolve);
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

  private currentSnapshot(): { mark: messages.RegistryMark; packed: Uint8Array } {
    const { cachedSnapshot } = this;
    const isFresh =
      cachedSnapshot !== undefined &&
      this.covers(cachedSnapshot.mark) &&
      this.version.change - cachedSnapshot.mark.change <=
        STALE_SNAPSHOT_SHARE * cachedSnapshot.size;
    if (isFresh) return cachedSnapshot;
    const snapshot = this.dependencies.snapshot();
    const size = snapshot.records.length;
    this.cachedSnapshot = { mark: this.version, packed: registryCopies.pack(snapshot), size };
    return this.cachedSnapshot;
  }
}
