/**
 * The registry of targets: who announced itself, where, and whether it is leaving. Announcements reach
 * keepers late, twice and out of order, and copies of the registry meet after partitions, so records of one
 * lifetime are ordered by state first and sequence second: a lifetime that left never returns. A target may start
 * again under its id; its start then tells the new lifetime from the old one.
 */

import * as liveTargets from './liveTargets';

export type State = 'ready' | 'draining' | 'gone';

/** What a target says of itself. */
export interface Announcement {
  id: string;
  /**
   * When this lifetime of the target began, Unix milliseconds by the target's clock; 0 where it doesn't say. Only
   * the two of one id are ever compared.
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
   * Whether this comes from the disk of a keeper that was started again, and the target hasn't spoken since. Such a
   * target may have ended meanwhile, so it is used with care.
   */
  isRemembered?: boolean;
  /**
   * Whether this end was only concluded from somebody else at the target's address. A later word of its own proves
   * that wrong; an end that it announced itself stands.
   */
  isPresumed?: boolean;
}

const STATE_RANK: Record<State, number> = { ready: 0, draining: 1, gone: 2 };

/**
 * How long a lifetime that is gone is remembered, milliseconds. An announcement that a partition held up may
 * come after the lifetime ended; partitions that heal later than this are not expected.
 */
export const GONE_RETENTION_MS = 120_000;

/**
 * A lifetime that was taken for dead, because another one turned up at its address, is alive after all if it
 * announces itself again this long after the first time. A single announcement may have been held up since
 * before its death. Milliseconds; half of the usual pause between announcements.
 */
const REVIVE_AFTER_MS = 600;

/**
 * How long a remembered target may stay silent, milliseconds: two of the usual pauses between announcements. One that
 * lives speaks within that, and one that left was told before that it may be used no longer than some seconds more.
 */
export const LOADED_TIMEOUT_MS = 2_400;

/** Before all time: when a lifetime announced itself that is only known from copies. */
const NEVER = -Infinity;

interface Entry {
  record: Announcement;
  /** When something was heard of it last, from whomever. */
  heardAt: number;
  /** When it announced itself here last; a copy of the registry doesn't say when the target spoke. */
  spokeAt: number;
  /** First announcement after it was presumed dead; 0 if none came. */
  contradictedAt: number;
}

export class Registry {
  private readonly entries = new Map<string, Entry>();

  private readonly live = new liveTargets.LiveTargets<Entry>();

  /** Takes what a target says of itself; the records that changed with it come back. */
  announce(announcement: Announcement, now: number): Announcement[] {
    const changed = this.applyAnnouncement(announcement, now);
    const entry = this.entries.get(announcement.id);
    if (entry?.record.bornAt === announcement.bornAt) entry.spokeAt = now;
    return changed;
  }

  /** The lifetime ended or announced that it does; `bornAt` where it said which one. */
  depart(id: string, now: number, bornAt = Infinity): Announcement[] {
    const known = this.entries.get(id);
    if (known === undefined) return [this.store(unknownGone(id, bornAt), now).record];
    if (bornAt < known.record.bornAt) return [];
    const isLater = bornAt !== Infinity && bornAt > known.record.bornAt;
    const hasEnded = known.record.state === 'gone' && !isLater;
    const ofLifetime = isLater ? { ...known.record, bornAt } : known.record;
    this.replaceRecord(known, { ...ofLifetime, isPresumed: undefined });
    return hasEnded ? [] : [this.markGone(known, now)];
  }

  /** A lifetime said in an answer that it leaves. What it announced before that and comes later doesn't undo it. */
  leave(id: string, bornAt: number): Announcement[] {
    const known = this.entries.get(id);
    if (known?.record.bornAt !== bornAt || known.record.state !== 'ready') return [];
    this.replaceRecord(known, { ...known.record, state: 'draining', isRemembered: undefined });
    return [known.record];
  }

  /** Somebody else answered at the address of this lifetime. It may revive by announcing itself. */
  presumeEnded(id: string, now: number): Announcement[] {
    const known = this.entries.get(id);
    if (known === undefined || known.record.state === 'gone') return [];
    return [this.presumeEntryDead(known, now)];
  }

  /**
   * Takes what a disk held when this process started. A lifetime that was leaving or gone stays so; of the others nobody
   * knows yet whether they live.
   */
  remember(records: readonly Announcement[], now: number): Announcement[] {
    return records
      .filter(({ id }) => !this.entries.has(id))
      .map((record) => {
        const isRemembered = record.state === 'ready' ? true : undefined;
        return this.store({ ...record, isRemembered }, now).record;
      });
  }

  /** Ends remembered targets that were silent for too long since `since`, when whoever calls began to listen. */
  endRemembered(now: number, since = -Infinity): Announcement[] {
    return [...this.entries.values()]
      .filter(({ record, heardAt }) => {
        const isSilent = now - Math.max(heardAt, since) > LOADED_TIMEOUT_MS;
        return isLoadedFromDisk(record) && record.state !== 'gone' && isSilent;
      })
      .map((entry) => this.markGone(entry, now));
  }

  /** Takes over what other copies of the registry know. */
  merge(records: readonly Announcement[], now: number): Announcement[] {
    return this.applyRecords(records, now, false);
  }

  /**
   * Takes over what the leader knows that this copy follows. Which of two lifetimes at one address came later, a copy can't say, but
   * targets announce themselves to the leader: whatever it has wrong is put right there, and a copy that held on to a lifetime
   * that the leader never knew would be wrong for good.
   */
  follow(records: readonly Announcement[], now: number): Announcement[] {
    return this.applyRecords(records, now, true);
  }

  get(id: string): Announcement | undefined {
    return this.entries.get(id)?.record;
  }

  /** When a lifetime announced itself here last; before all time where it didn't, or is known as gone. */
  spokeAt({ id, bornAt }: Pick<Announcement, 'id' | 'bornAt'>): number {
    const known = this.entries.get(id);
    const isIt = known?.record.bornAt === bornAt && known.record.state !== 'gone';
    return isIt ? known.spokeAt : NEVER;
  }

  get size(): number {
    return this.entries.size;
  }

  records(): Announcement[] {
    return [...this.entries.values()].map(({ record }) => record);
  }

  /**
   * What a restart should know. Ends that were only concluded are left out: there such a lifetime could never return, as
   * the words that prove them wrong may come after the restart.
   */
  durable(): Announcement[] {
    return [...this.entries.values()]
      .filter((entry) => !isPresumedDead(entry))
      .map(({ record }) => record)
      .filter((record) => record.state !== 'gone' || !isLoadedFromDisk(record));
  }

  /** Targets of a service that take new work. */
  ready(service: string): Announcement[] {
    return this.live
      .ofService(service)
      .map(({ record }) => record)
      .filter(({ state }) => state === 'ready');
  }

  /** Whether a target of a service listens at an address. */
  isServed({ service, address }: Pick<Announcement, 'service' | 'address'>): boolean {
    return this.live.atAddress(address).some(({ record }) => record.service === service);
  }

  /** Drops lifetimes that ended long ago. */
  forget(now: number): void {
    this.entries.forEach(({ record, heardAt }, id) => {
      if (record.state === 'gone' && now - heardAt > GONE_RETENTION_MS) this.entries.delete(id);
    });
  }

  private applyAnnouncement(announcement: Announcement, now: number): Announcement[] {
    const known = this.entries.get(announcement.id);
    if (known === undefined) return this.addLifetime(announcement, now);
    if (announcement.bornAt > known.record.bornAt) return this.restart(known, announcement, now);
    if (announcement.bornAt < known.record.bornAt) return [];
    if (isPresumedDead(known)) return this.contradict(known, announcement, now);
    return this.update(known, announcement, now);
  }

  private applyRecords(
    records: readonly Announcement[],
    now: number,
    isFromLeader: boolean,
  ): Announcement[] {
    // Ends first: one lifetime's end and its successor at the same address come in one copy, in any order.
    const goneRecords = records.filter(({ state }) => state === 'gone');
    const others = records.filter(({ state }) => state !== 'gone');
    return [...goneRecords, ...others].flatMap((record) => {
      const known = this.entries.get(record.id);
      if (known !== undefined) return this.mergeKnown(known, record, now, isFromLeader);
      if (record.state === 'gone') return [this.store(record, now).record];
      if (!this.isAddressTaken(record, isFromLeader)) return this.addLifetime(record, now);
      this.store({ ...record, state: 'gone', isPresumed: true }, now);
      return [];
    });
  }

  /**
   * Whether another lifetime has the address that a copy gives this one. Without the leader's word the one that lives has to
   * announce itself again. Only a remembered one yields at once.
   */
  private isAddressTaken(record: Announcement, isFromLeader: boolean): boolean {
    const isTrusted = isFromLeader && !isLoadedFromDisk(record);
    if (isTrusted) return false;
    return this.live.atAddress(record.address).some(({ record: other }) => {
      return !isLoadedFromDisk(other) || isLoadedFromDisk(record);
    });
  }

  private store(record: Announcement, now: number): Entry {
    const known = this.entries.get(record.id);
    if (known !== undefined) {
      if (record.bornAt !== known.record.bornAt) known.spokeAt = NEVER;
      this.replaceRecord(known, record);
      return Object.assign(known, { heardAt: now, contradictedAt: 0 });
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
    // Somebody else's own word ends it, so the end counts also for those who heard it speak since the memory.
    this.replaceRecord(entry, { ...entry.record, isPresumed: true, isRemembered: undefined });
    entry.contradictedAt = 0;
    return entry.record;
  }

  private mergeKnown(
    known: Entry,
    record: Announcement,
    now: number,
    isFromLeader: boolean,
  ): Announcement[] {
    if (record.bornAt > known.record.bornAt) return this.restart(known, record, now);
    if (record.bornAt < known.record.bornAt) return [];
    // Whoever heard it speak has judged whether that was a word held up since before its death.
    const isRevived =
      isPresumedDead(known) &&
      record.state !== 'gone' &&
      !isLoadedFromDisk(record) &&
      record.sequence > known.record.sequence &&
      // A copy that missed the end must not take the address from the one that lives there.
      (isFromLeader || this.live.atAddress(record.address).length === 0);
    return isRevived ? this.addLifetime(record, now) : this.update(known, record, now);
  }

  /**
   * The target started again under its id: whatever was known of the former lifetime ends with it, also that it left.
   * Without the end of the old one in between, its dispatches would count against the new one.
   */
  private restart(known: Entry, announcement: Announcement, now: number): Announcement[] {
    const ended = known.record.state === 'gone' ? [] : [this.markGone(known, now)];
    return [...ended, ...this.addLifetime(announcement, now)];
  }

  private update(known: Entry, announcement: Announcement, now: number): Announcement[] {
    if (isLoadedFromDisk(known.record) && !isLoadedFromDisk(announcement)) {
      return this.confirm(known, announcement, now);
    }
    if (isLoadedFromDisk(announcement) && !isLoadedFromDisk(known.record)) return [];
    if (known.record.state !== 'gone') known.heardAt = now;
    if (STATE_RANK[announcement.state] < STATE_RANK[known.record.state]) return [];
    const sameState = announcement.state === known.record.state;
    if (sameState && announcement.sequence <= known.record.sequence) return [];
    const moved = announcement.address !== known.record.address;
    this.replaceRecord(known, announcement);
    return sameState && !moved ? [] : [announcement];
  }

  /** A remembered target speaks, also one that was given up for its silence; what is older than the memory says nothing. */
  private confirm(known: Entry, announcement: Announcement, now: number): Announcement[] {
    if (announcement.sequence < known.record.sequence) return [];
    if (known.record.state === 'gone') return this.addLifetime(announcement, now);
    this.store(announcement, now);
    return [announcement];
  }

  /**
   * A new lifetime at an address ends the one that was there: one address serves one target. The dead
   * one's last announcement may still come; it then finds its lifetime gone.
   */
  private addLifetime(announcement: Announcement, now: number): Announcement[] {
    const ended = this.presumeDead(announcement.address, now);
    this.store(announcement, now);
    return [...ended, announcement];
  }

  private presumeDead(address: string, now: number): Announcement[] {
    return this.live.atAddress(address).map((entry) => this.presumeEntryDead(entry, now));
  }

  private contradict(known: Entry, announcement: Announcement, now: number): Announcement[] {
    if (announcement.sequence <= known.record.sequence) return [];
    if (known.contradictedAt === 0) known.contradictedAt = now;
    if (now - known.contradictedAt < REVIVE_AFTER_MS) return [];
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

/** The end of a lifetime that came before its first announcement; where it didn't say which one, of all under its id. */
function unknownGone(id: string, bornAt: number): Announcement {
  return { ...UNKNOWN_TARGET, id, bornAt: Math.min(bornAt, Number.MAX_SAFE_INTEGER) };
}

/** What isn't known of such a lifetime, and a sequence that no announcement of it exceeds. */
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
