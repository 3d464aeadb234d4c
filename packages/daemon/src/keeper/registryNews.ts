/**
 * The changes of the registry, of suspects and of limits under one leader: numbered, kept for followers that missed some, and pushed to those in touch.
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
export type Missed = Omit<messages.News, 'edition'>;

/** What a follower lacks whose state doesn't lead to the present one by the changes that are kept. */
export type MissedAll = Missed & { packedRegistry: Uint8Array };

export interface Parts {
  copy: () => registryCopies.Copy;
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
const GATHER_MS = 150;

/**
 * The same for requests under which targets end, milliseconds. Entries that had requests on the same target tell of its end
 * within a few; a copy of the request that comes later must find it known everywhere.
 */
const SUSPECTS_GATHER_MS = 5;

/**
 * Pushing to one follower may take this much of the pause between two pushes, milliseconds, so that pushes take a leader of many
 * followers no more than a third of its time.
 */
const GATHER_MS_PER_FOLLOWER = 1;

/**
 * Changes that are kept for followers that missed a push. When a fleet of 3,000 targets starts, all announce themselves between
 * two questions of a follower; with fewer kept, it would get the whole registry again with each.
 */
const KEPT_CHANGES = 12_000;

/**
 * Most changes that a follower gets to the very last one. More go up to a state that all who ask within `OFFERED_MS` share, so
 * that they are packed once and not for each.
 */
const MOST_UNSHARED = 256;

/** How long such a state is handed out, milliseconds. */
const OFFERED_MS = 150;

/** Packed changes that are kept: as many as there are states that followers may have during some pushes. */
const KEPT_BUNDLES = 16;

/** Part of the registry's size by which it may change before it is packed anew. */
const STALE_SHARE = 0.1;

interface Span {
  from: messages.RegistryMark;
  to: messages.RegistryMark;
}

/** A push that takes further changes until it begins. */
interface Gathering {
  done: Promise<void>;
  push: () => void;
}

/** A change of the registry, of what is known of a suspect, or of a limit. */
interface Change {
  mark: messages.RegistryMark;
  record?: Announcement;
  suspect?: SuspectReport;
  limit?: RateLimit;
}

export class RegistryNews {
  private mark: messages.RegistryMark = messages.NO_MARK;

  /** The mark that followers have once all that was pushed has arrived. */
  private pushed: messages.RegistryMark = messages.NO_MARK;

  private changes: Change[] = [];

  private gathering: Gathering | undefined;

  /** The whole registry at a mark. */
  private copy: { mark: messages.RegistryMark; packed: Uint8Array; size: number } | undefined;

  /** The state that followers who lack much are brought to. */
  private offered: { mark: messages.RegistryMark; at: number } | undefined;

  /** Packed records of some spans, the latest last. */
  private bundles = new Map<string, registryCopies.Bundle>();

  constructor(private readonly parts: Parts) {}

  /** A leadership begins: numbers of another one don't compare. */
  begin(): void {
    this.mark = { epoch: crypto.randomBytes(6).toString('hex'), change: 0 };
    this.pushed = this.mark;
    this.changes = [];
    this.copy = undefined;
    this.offered = undefined;
    this.bundles.clear();
  }

  /**
   * Notes changes that followers get with the answer to their next question, or with the next push. After a loss of all
   * every target confirms within 1.2 s what the disks said; pushed, that kept a new leader of 195 entries busy for a second.
   */
  note(records: readonly Announcement[]): void {
    this.add(records.map((record) => ({ record })));
  }

  /** Notes what became of suspects, and pushes it soon. */
  publishSuspects(suspects: readonly SuspectReport[]): void {
    this.add(suspects.map((suspect) => ({ suspect })));
    setTimeout(this.gather().push, SUSPECTS_GATHER_MS);
  }

  /** Notes limits that changed or ended, and pushes them with what is gathered. */
  publishLimits(limits: readonly RateLimit[]): void {
    this.add(limits.map((limit) => ({ limit })));
    this.gather();
  }

  /** Notes changes and pushes them; resolves when the followers in touch have them. */
  publish(records: readonly Announcement[]): Promise<void> {
    this.note(records);
    const gathering = this.gather();
    if (records.some(({ state }) => state !== 'ready')) gathering.push();
    return gathering.done;
  }

  /** Pushes an edition; it changes nothing of the registry. */
  async publishEdition(edition: domain.catalogue.versions.Edition): Promise<void> {
    const { pushed } = this;
    await this.parts.push({
      edition,
      mark: pushed,
      since: pushed,
      records: [],
      suspects: [],
      limits: [],
    });
  }

  /** Whether a state came from this leadership. */
  isOwn(mark: messages.RegistryMark): boolean {
    return mark.epoch === this.mark.epoch;
  }

  /** For whoever has the present state. */
  nothing(): Missed {
    return { mark: this.mark, since: this.mark, records: [], suspects: [], limits: [] };
  }

  /** What a follower at `mark` lacks, up to a state that it shares with others; undefined where only a whole copy would do. */
  since(mark: messages.RegistryMark): Missed | undefined {
    if (!this.reaches(mark)) return undefined;
    const isFew = this.mark.change - mark.change <= MOST_UNSHARED;
    const to = isFew ? this.mark : this.offeredMark();
    return this.changesIn({ from: mark, to: messages.holds(to, mark) ? to : mark });
  }

  /** All that a follower at `mark` lacks at this moment; undefined where only a whole copy would do. */
  allSince(mark: messages.RegistryMark): Missed | undefined {
    return this.reaches(mark) ? this.changesIn({ from: mark, to: this.mark }) : undefined;
  }

  /** The whole registry, for a follower that knows nothing of it. */
  whole(): MissedAll {
    const { mark, packed } = this.wholeCopy();
    // Many changes since come with the next question: packed for each who asks, they would cost as much as new copies.
    const isFew = this.mark.change - mark.change < registryCopies.PACKED_FROM;
    const changes = this.changesIn({ from: mark, to: isFew ? this.mark : mark });
    return { ...changes, since: undefined, packedRegistry: packed };
  }

  /** Whether a state leads to the present one by the changes that are kept. */
  private reaches(mark: messages.RegistryMark): boolean {
    const first = this.changes[0] ?? { mark: { ...this.mark, change: this.mark.change + 1 } };
    return messages.holds(this.mark, mark) && mark.change >= first.mark.change - 1;
  }

  private changesIn({ from, to }: Span): Missed {
    const before = (this.changes[0]?.mark.change ?? 0) - 1;
    const changes = this.changes.slice(
      Math.max(0, from.change - before),
      Math.max(0, to.change - before),
    );
    const suspects = changes.flatMap(({ suspect }) => (suspect === undefined ? [] : [suspect]));
    const limits = changes.flatMap(({ limit }) => (limit === undefined ? [] : [limit]));
    return { mark: to, since: from, ...this.bundleOf({ from, to }, changes), suspects, limits };
  }

  private bundleOf({ from, to }: Span, changes: readonly Change[]): registryCopies.Bundle {
    const key = `${from.change} ${to.change}`;
    const known = this.bundles.get(key);
    if (known !== undefined) return known;
    const records = changes.flatMap(({ record }) => (record === undefined ? [] : [record]));
    const made = registryCopies.bundle(records);
    if (made.packedRecords === undefined) return made;
    this.bundles.set(key, made);
    if (this.bundles.size > KEPT_BUNDLES) this.bundles.delete([...this.bundles.keys()][0]);
    return made;
  }

  private offeredMark(): messages.RegistryMark {
    const now = this.parts.now();
    if (this.offered === undefined || now - this.offered.at >= OFFERED_MS) {
      this.offered = { mark: this.mark, at: now };
    }
    return this.offered.mark;
  }

  private add(changes: readonly Omit<Change, 'mark'>[]): void {
    changes.forEach((change) => {
      this.mark = { ...this.mark, change: this.mark.change + 1 };
      this.changes.push({ mark: this.mark, ...change });
    });
    this.changes.splice(0, Math.max(0, this.changes.length - KEPT_CHANGES));
  }

  private gather(): Gathering {
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
    setTimeout(push, Math.max(GATHER_MS, GATHER_MS_PER_FOLLOWER * this.parts.followers()));
    return this.gathering;
  }

  private async pushChanges(): Promise<void> {
    const missed = this.changesIn({ from: this.pushed, to: this.mark });
    this.pushed = missed.mark;
    await this.parts.push({ edition: undefined, ...missed });
  }

  private wholeCopy(): { mark: messages.RegistryMark; packed: Uint8Array } {
    const { copy } = this;
    const isFresh =
      copy !== undefined &&
      this.reaches(copy.mark) &&
      this.mark.change - copy.mark.change <= STALE_SHARE * copy.size;
    if (isFresh) return copy;
    const whole = this.parts.copy();
    const size = whole.records.length;
    this.copy = { mark: this.mark, packed: registryCopies.pack(whole), size };
    return this.copy;
  }
}
