/**
 * The changes of the registry under one leader: numbered, kept for followers that missed some, and pushed to those in touch.
 * What a follower lacks follows from the last number that it has; one that is too far behind, or comes from another
 * leader, gets a whole copy.
 */
import * as crypto from 'node:crypto';
import type * as domain from '@celerydrift/domain';
import * as messages from '../fleet/messages';
import * as registryCopies from '../fleet/registryCopies';

type Announcement = domain.registry.registry.Announcement;

/** What a follower lacks, without an edition. */
export type Missed = Pick<messages.News, 'mark' | 'since' | 'records' | 'packedRegistry'>;

export interface Parts {
  records: () => Announcement[];
  /** Resolves when the followers in touch have it, or after a bound. */
  push: (news: messages.News) => Promise<void>;
}

/**
 * Changes of targets that may be used are gathered for so long before they are pushed, milliseconds. After a loss of all 150
 * targets announce themselves within 1.2 s; with a push for each, a new leader of 200 followers sent 30,000 and answered
 * nobody for four seconds. Targets that leave are pushed at once, with all that was gathered.
 */
const GATHER_MS = 150;

/** Changes that are kept for followers that missed a push. */
const KEPT_CHANGES = 512;

/** A push that takes further changes until it begins. */
interface Gathering {
  done: Promise<void>;
  push: () => void;
}

export class RegistryNews {
  private mark: messages.RegistryMark = messages.NO_MARK;

  /** The mark that followers have once all that was pushed has arrived. */
  private pushed: messages.RegistryMark = messages.NO_MARK;

  private changes: { mark: messages.RegistryMark; record: Announcement }[] = [];

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
    records.forEach((record) => {
      this.mark = { ...this.mark, change: this.mark.change + 1 };
      this.changes.push({ mark: this.mark, record });
    });
    this.changes.splice(0, Math.max(0, this.changes.length - KEPT_CHANGES));
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
    await this.parts.push({ edition, mark: pushed, since: pushed, records: [] });
  }

  /** What a follower at `mark` lacks. */
  since(mark: messages.RegistryMark): Missed {
    if (messages.isSameMark(mark, this.mark)) return { mark: this.mark, since: mark, records: [] };
    const first = this.changes[0];
    const reaches =
      first !== undefined &&
      mark.epoch === this.mark.epoch &&
      mark.change >= first.mark.change - 1 &&
      mark.change < this.mark.change;
    if (!reaches) return { mark: this.mark, since: undefined, records: [], ...this.wholeCopy() };
    const missed = this.changes.filter((each) => each.mark.change > mark.change);
    return { mark: this.mark, since: mark, records: missed.map(({ record }) => record) };
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
      this.copy = { mark: this.mark, packed: registryCopies.pack(this.parts.records()) };
    }
    return { packedRegistry: this.copy.packed };
  }
}
