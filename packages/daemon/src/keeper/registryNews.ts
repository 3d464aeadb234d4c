/**
 * The changes of the registry and of suspects under one leader: numbered, kept for followers that missed some, and pushed to those in touch.
 * What a follower lacks follows from the last number that it has; one that is too far behind, or comes from another
 * leader, gets a whole copy.
 */
import * as crypto from 'node:crypto';
import type * as domain from '@celerydrift/domain';
import * as messages from '../fleet/messages';
import * as registryCopies from '../fleet/registryCopies';

type Announcement = domain.registry.registry.Announcement;
type SuspectReport = domain.quarantine.suspect.Report;

/** What a follower lacks, without an edition. */
export type Missed = Omit<messages.News, 'edition'>;

export interface Parts {
  copy: () => registryCopies.Copy;
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

/** Changes that are kept for followers that missed a push. */
const KEPT_CHANGES = 512;

/** A push that takes further changes until it begins. */
interface Gathering {
  done: Promise<void>;
  push: () => void;
}

/** A change of the registry, or of what is known of a suspect. */
interface Change {
  mark: messages.RegistryMark;
  record?: Announcement;
  suspect?: SuspectReport;
}

export class RegistryNews {
  private mark: messages.RegistryMark = messages.NO_MARK;

  /** The mark that followers have once all that was pushed has arrived. */
  private pushed: messages.RegistryMark = messages.NO_MARK;

  private changes: Change[] = [];

  private gathering: Gathering | undefined;

  /** The whole registry at a mark. */
  private copy: { mark: messages.RegistryMark; packed: Uint8Array } | undefined;

  constructor(private readonly parts: Parts) {}

  /** A leadership begins: numbers of another one don't compare. */
  begin(): void {
    this.mark = { epoch: crypto.randomBytes(6).toString('hex'), change: 0 };
    this.pushed = this.mark;
    this.changes = [];
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
    await this.parts.push({ edition, mark: pushed, since: pushed, records: [], suspects: [] });
  }

  /** What a follower at `mark` lacks. */
  since(mark: messages.RegistryMark): Missed {
    const nothing = { mark: this.mark, records: [], suspects: [] };
    if (messages.isSameMark(mark, this.mark)) return { ...nothing, since: mark };
    const first = this.changes[0];
    const reaches =
      first !== undefined &&
      mark.epoch === this.mark.epoch &&
      mark.change >= first.mark.change - 1 &&
      mark.change < this.mark.change;
    if (!reaches) return { ...nothing, since: undefined, ...this.wholeCopy() };
    const missed = this.changes.filter((each) => each.mark.change > mark.change);
    const records = missed.flatMap(({ record }) => (record === undefined ? [] : [record]));
    const suspects = missed.flatMap(({ suspect }) => (suspect === undefined ? [] : [suspect]));
    return { mark: this.mark, since: mark, records, suspects };
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
    setTimeout(push, GATHER_MS);
    return this.gathering;
  }

  private async pushChanges(): Promise<void> {
    const missed = this.since(this.pushed);
    this.pushed = missed.mark;
    await this.parts.push({ edition: undefined, ...missed });
  }

  private wholeCopy(): { packedRegistry: Uint8Array } {
    if (this.copy === undefined || !messages.isSameMark(this.copy.mark, this.mark)) {
      this.copy = { mark: this.mark, packed: registryCopies.pack(this.parts.copy()) };
    }
    return { packedRegistry: this.copy.packed };
  }
}
