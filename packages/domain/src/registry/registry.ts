/**
 * The registry of targets: address, service and state of each. Announcements reach keepers late,
 * twice and out of order, and copies of the registry are merged after partitions, so records of one
 * lifetime are ordered by state first and sequence second: a lifetime that drains or is gone never
 * becomes ready again. A target may restart under its id; `bornAt` tells the lifetimes apart.
 */

import * as liveTargets from './liveTargets';

export type State = 'ready' | 'draining' | 'gone';

/** A target's announcement of itself. */
export interface Announcement {
  id: string;
  /**
   * Start time of this lifetime of the target, Unix milliseconds by the target's clock; 0 where the
   * target doesn't give it. Only start times of the same id are compared.
   */
  bornAt: number;
  service: string;
  /** HOST:PORT. */
  address: string;
  dataCentre: string;
  slots: number;
  state: State;
  /** Rises with each announcement of the lifetime. */
  sequence: number;
  /**
   * How long the target remains cold, milliseconds; 0 for a warm one. Only in announcements on their
   * way to the leader: records leave it out, as a copy would be outdated.
   */
  coldLeftMs?: number;
  /**
   * Whether the record was loaded from the disk of a restarted keeper, and the target hasn't
   * announced itself since. It may have gone meanwhile, so such a target is used with care.
   */
  isRemembered?: boolean;
  /**
   * Whether `gone` was only inferred, as another process answered at the target's address. A later
   * announcement of the target revokes it; a `gone` that the target announced itself is final.
   */
  isPresumed?: boolean;
}

const STATE_RANK: Record<State, number> = { ready: 0, draining: 1, gone: 2 };

/**
 * How long a lifetime that is gone is kept, milliseconds. A partition may deliver an announcement
 * after its target is gone; partitions that heal later than this are not expected.
 */
export const GONE_RETENTION_MS = 120_000;

/**
 * A lifetime that was presumed dead, as another one announced its address, is alive if it announces
 * itself again at least this long after the first such announcement. A single announcement may have
 * been delayed since before its death. Milliseconds; half of the usual interval between
 * announcements.
 */
const REVIVE_AFTER_MS = 600;

/**
 * How long a target loaded from disk may go without an announcement, milliseconds: two of the usual
 * intervals. A live one announces itself within that time, and one that departed was told before
 * that requests may reach it for some seconds more at most.
 */
export const LOADED_TIMEOUT_MS = 2_400;

/** Time of the last announcement of a lifetime that is known from copies alone. */
const NEVER = -Infinity;

interface Entry {
  record: Announcement;
  /** When the last update was received, from the target or a copy. */
  heardAt: number;
  /** When it last announced itself here; a copy of the registry doesn't tell that time. */
  spokeAt: number;
  /** When it first announced itself after it was presumed dead; 0 if it didn't. */
  contradictedAt: number;
}

export class Registry {
  private readonly entries = new Map<string, Entry>();

  private readonly live = new liveTargets.LiveTargets<Entry>();

  /** Applies a target's announcement; returns the records that changed. */
  announce(announcement: Announcement, now: number): Announcement[] {
    const changed = this.applyAnnouncement(announcement, now);
    const entry = this.entries.get(announcement.id);
    if (entry?.record.bornAt === announcement.bornAt) entry.spokeAt = now;
    return changed;
  }

  /**
   * Marks a lifetime as gone that ended or announced its departure. `bornAt` tells which one;
   * without it, the present one, or all of the id if none is registered.
   */
  depart(id: string, now: number, bornAt = Infinity): Announcement[] {
    const entry = this.entries.get(id);
    if (entry === undefined) return [this.store(unknownGone(id, bornAt), now).record];
    if (bornAt < entry.record.bornAt) return [];
    const isLater = bornAt !== Infinity && bornAt > entry.record.bornAt;
    const wasGone = entry.record.state === 'gone' && !isLater;
    const recordOfLifetime = isLater ? { ...entry.record, bornAt } : entry.record;
    this.replaceRecord(entry, { ...recordOfLifetime, isPresumed: undefined });
    return wasGone ? [] : [this.markGone(entry, now)];
  }

  /**
   * A lifetime announced in a response that it drains. Its earlier announcements that arrive later
   * don't undo that.
   */
  reportDraining(id: string, bornAt: number): Announcement[] {
    const entry = this.entries.get(id);
    if (entry?.record.bornAt !== bornAt || entry.record.state !== 'ready') return [];
    this.replaceRecord(entry, { ...entry.record, state: 'draining', isRemembered: undefined });
    return [entry.record];
  }

  /**
   * Another process answered at the address of this lifetime, so it is presumed dead. It is revived
   * when it announces itself.
   */
  reportReplaced(id: string, now: number): Announcement[] {
    const entry = this.entries.get(id);
    if (entry === undefined || entry.record.state === 'gone') return [];
    return [this.presumeEntryDead(entry, now)];
  }

  /**
   * Adds the records that were loaded from disk at the start of this process. A lifetime that was
   * draining or gone stays so; whether the others are alive isn't known yet.
   */
  loadFromDisk(records: readonly Announcement[], now: number): Announcement[] {
    return records
      .filter(({ id }) => !this.entries.has(id))
      .map((record) => {
        const isRemembered = record.state === 'ready' ? true : undefined;
        return this.store({ ...record, isRemembered }, now).record;
      });
  }

  /**
   * Marks targets loaded from disk as gone that haven't announced themselves for too long; the wait
   * begins at `since` at the earliest, when the caller began to receive announcements.
   */
  expireLoaded(now: number, since = -Infinity): Announcement[] {
    return [...this.entries.values()]
      .filter(({ record, heardAt }) => {
        const isTimedOut = now - Math.max(heardAt, since) > LOADED_TIMEOUT_MS;
        return isLoadedFromDisk(record) && record.state !== 'gone' && isTimedOut;
      })
      .map((entry) => this.markGone(entry, now));
  }

  /** Merges the records of another copy of the registry. */
  merge(records: readonly Announcement[], now: number): Announcement[] {
    return this.applyRecords(records, now, false);
  }

  /**
   * Applies an update of the leader. A copy can't tell which of two lifetimes at one address is the
   * later one, but targets announce themselves to the leader, so its errors are corrected there. A
   * copy that kept a lifetime that the leader never knew would stay wrong for good.
   */
  follow(records: readonly Announcement[], now: number): Announcement[] {
    return this.applyRecords(records, now, true);
  }

  get(id: string): Announcement | undefined {
    return this.entries.get(id)?.record;
  }

  /**
   * When a lifetime last announced itself here; `-Infinity` where it didn't, or is known as gone.
   */
  spokeAt({ id, bornAt }: Pick<Announcement, 'id' | 'bornAt'>): number {
    const entry = this.entries.get(id);
    const isSameLifetime = entry?.record.bornAt === bornAt && entry.record.state !== 'gone';
    return isSameLifetime ? entry.spokeAt : NEVER;
  }

  get size(): number {
    return this.entries.size;
  }

  records(): Announcement[] {
    return [...this.entries.values()].map(({ record }) => record);
  }

  /**
   * Records for a restart. Inferred ends are left out: after a restart such a lifetime could never
   * return, as the announcements that revoke the inference may come later.
   */
  durableRecords(): Announcement[] {
    return [...this.entries.values()]
      .filter((entry) => !isPresumedDead(entry))
      .map(({ record }) => record)
      .filter((record) => record.state !== 'gone' || !isLoadedFromDisk(record));
  }

  /** Targets of a service that accept new requests. */
  ready(service: string): Announcement[] {
    return this.live
      .ofService(service)
      .map(({ record }) => record)
      .filter(({ state }) => state === 'ready');
  }

  /** Whether a target of a service listens at an address. */
  isServed(endpoint: Pick<Announcement, 'service' | 'address'>): boolean {
    return this.targetsAt(endpoint).length > 0;
  }

  /** Targets of a service that listen at an address; one, or several while that is contradictory. */
  targetsAt({ service, address }: Pick<Announcement, 'service' | 'address'>): Announcement[] {
    const records = this.live.atAddress(address).map(({ record }) => record);
    return records.filter((record) => record.service === service);
  }

  /** Whether a lifetime is gone and another one listens at its address. */
  isReplaced(id: string): boolean {
    const record = this.get(id);
    return record?.state === 'gone' && this.live.atAddress(record.address).length > 0;
  }

  /** Removes lifetimes that are gone for longer than `GONE_RETENTION_MS`. */
  forgetGone(now: number): void {
    this.entries.forEach(({ record, heardAt }, id) => {
      if (record.state === 'gone' && now - heardAt > GONE_RETENTION_MS) this.entries.delete(id);
    });
  }

  private applyAnnouncement(announcement: Announcement, now: number): Announcement[] {
    const entry = this.entries.get(announcement.id);
    if (entry === undefined) return this.addLifetime(announcement, now);
    if (announcement.bornAt > entry.record.bornAt) return this.restart(entry, announcement, now);
    if (announcement.bornAt < entry.record.bornAt) return [];
    if (isPresumedDead(entry)) return this.contradict(entry, announcement, now);
    return this.update(entry, announcement, now);
  }

  private applyRecords(
    records: readonly Announcement[],
    now: number,
    isFromLeader: boolean,
  ): Announcement[] {
    // Records of gone lifetimes first: one update may hold such a record and its successor at the
    // same address, in any order.
    const goneRecords = records.filter(({ state }) => state === 'gone');
    const others = records.filter(({ state }) => state !== 'gone');
    return [...goneRecords, ...others].flatMap((record) => {
      const entry = this.entries.get(record.id);
      if (entry !== undefined) return this.mergeKnown(entry, record, now, isFromLeader);
      if (record.state === 'gone') return [this.store(record, now).record];
      if (!this.isAddressTaken(record, isFromLeader)) return this.addLifetime(record, now);
      this.store({ ...record, state: 'gone', isPresumed: true }, now);
      return [];
    });
  }

  /**
   * Whether another lifetime has the address of a record from a copy. Unless the leader sent it,
   * the lifetime that is alive has to announce itself again; only one loaded from disk gives up the
   * address at once.
   */
  private isAddressTaken(record: Announcement, isFromLeader: boolean): boolean {
    const isTrusted = isFromLeader && !isLoadedFromDisk(record);
    if (isTrusted) return false;
    return this.live.atAddress(record.address).some(({ record: other }) => {
      return !isLoadedFromDisk(other) || isLoadedFromDisk(record);
    });
  }

  private store(record: Announcement, now: number): Entry {
    const existing = this.entries.get(record.id);
    if (existing !== undefined) {
      if (record.bornAt !== existing.record.bornAt) existing.spokeAt = NEVER;
      this.replaceRecord(existing, record);
      return Object.assign(existing, { heardAt: now, contradictedAt: 0 });
    }
    const entry = { record, heardAt: now, spokeAt: NEVER, contradictedAt: 0 };
    this.entries.set(record.id, entry);
    this.live.reindex(entry, undefined, indexKeysOf(record));
    return entry;
  }

  private replaceRecord(entry: Entry, record: Announcement): void {
    this.live.reindex(entry, indexKeysOf(entry.record), indexKeysOf(record));
    entry.record = record;
  }

  private markGone(entry: Entry, now: number): Announcement {
    this.replaceRecord(entry, { ...entry.record, state: 'gone' });
    entry.heardAt = now;
    return entry.record;
  }

  private presumeEntryDead(entry: Entry, now: number): Announcement {
    this.markGone(entry, now);
    // The end is inferred from another target at its address and not from the disk. With the mark
    // `isRemembered`, copies that received an announcement of this lifetime would ignore it.
    this.replaceRecord(entry, { ...entry.record, isPresumed: true, isRemembered: undefined });
    entry.contradictedAt = 0;
    return entry.record;
  }

  private mergeKnown(
    entry: Entry,
    record: Announcement,
    now: number,
    isFromLeader: boolean,
  ): Announcement[] {
    if (record.bornAt > entry.record.bornAt) return this.restart(entry, record, now);
    if (record.bornAt < entry.record.bornAt) return [];
    // The copy that received its announcement has checked that it wasn't delayed since before its
    // death.
    const isRevived =
      isPresumedDead(entry) &&
      record.state !== 'gone' &&
      !isLoadedFromDisk(record) &&
      record.sequence > entry.record.sequence &&
      // A copy that missed the end of this lifetime must not take the address from the present one.
      (isFromLeader || this.live.atAddress(record.address).length === 0);
    return isRevived ? this.addLifetime(record, now) : this.update(entry, record, now);
  }

  /**
   * The target restarted under its id, so the state of the former lifetime is void, including that
   * it drained. The former lifetime is reported as gone first; otherwise its dispatches would count
   * against the new one.
   */
  private restart(entry: Entry, announcement: Announcement, now: number): Announcement[] {
    const goneRecords = entry.record.state === 'gone' ? [] : [this.markGone(entry, now)];
    return [...goneRecords, ...this.addLifetime(announcement, now)];
  }

  private update(entry: Entry, announcement: Announcement, now: number): Announcement[] {
    if (isLoadedFromDisk(entry.record) && !isLoadedFromDisk(announcement)) {
      return this.confirm(entry, announcement, now);
    }
    if (isLoadedFromDisk(announcement) && !isLoadedFromDisk(entry.record)) return [];
    if (entry.record.state !== 'gone') entry.heardAt = now;
    if (STATE_RANK[announcement.state] < STATE_RANK[entry.record.state]) return [];
    const sameState = announcement.state === entry.record.state;
    if (sameState && announcement.sequence <= entry.record.sequence) return [];
    const moved = announcement.address !== entry.record.address;
    this.replaceRecord(entry, announcement);
    return sameState && !moved ? [] : [announcement];
  }

  /**
   * A target loaded from disk announces itself, perhaps after it was given up for not doing so.
   * Announcements older than the loaded record are ignored.
   */
  private confirm(entry: Entry, announcement: Announcement, now: number): Announcement[] {
    if (announcement.sequence < entry.record.sequence) return [];
    if (entry.record.state === 'gone') return this.addLifetime(announcement, now);
    this.store(announcement, now);
    return [announcement];
  }

  /**
   * Adds a lifetime and presumes any other one at its address dead, as one address serves one
   * target. A late announcement of the dead one finds its lifetime gone.
   */
  private addLifetime(announcement: Announcement, now: number): Announcement[] {
    const goneRecords = this.presumeDead(announcement.address, now);
    this.store(announcement, now);
    return [...goneRecords, announcement];
  }

  private presumeDead(address: string, now: number): Announcement[] {
    return this.live.atAddress(address).map((entry) => this.presumeEntryDead(entry, now));
  }

  private contradict(entry: Entry, announcement: Announcement, now: number): Announcement[] {
    if (announcement.sequence <= entry.record.sequence) return [];
    if (entry.contradictedAt === 0) entry.contradictedAt = now;
    if (now - entry.contradictedAt < REVIVE_AFTER_MS) return [];
    return this.addLifetime(announcement, now);
  }
}

function indexKeysOf({ service, address, state }: Announcement): liveTargets.IndexKeys {
  return { service, address, isGone: state === 'gone' };
}

function isPresumedDead({ record }: Entry): boolean {
  return record.isPresumed === true;
}

function isLoadedFromDisk({ isRemembered }: Announcement): boolean {
  return isRemembered === true;
}

/**
 * Record of a lifetime that was reported gone before its first announcement; covers all lifetimes
 * of the id if `bornAt` isn't known.
 */
function unknownGone(id: string, bornAt: number): Announcement {
  return { ...UNKNOWN_TARGET, id, bornAt: Math.min(bornAt, Number.MAX_SAFE_INTEGER) };
}

/** Placeholder values, with a sequence that no announcement exceeds. */
const UNKNOWN_TARGET: Announcement = {
  id: '',
  bornAt: 0,
  service: '',
  address: '',
  dataCentre: '',
  slots: 0,
  state: 'gone',
  sequence: Number.MAX_SAFE_INTEGER,
};
