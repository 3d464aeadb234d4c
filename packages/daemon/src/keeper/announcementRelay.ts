/**
 * Passes on to the leader what targets say to this keeper, many words in one message. Each target says twice in some seconds that
 * it lives; with thousands of them and a call for each, the leader answered nobody else. A few messages are under way at a time,
 * and the next one takes along what came meanwhile: a calm fleet's words wait for nothing, and messages grow with the load.
 */
import type * as domain from '@celerydrift/domain';

type Announcement = domain.registry.registry.Announcement;

/** Passes words on; true once the leader has them. */
export type Pass = (records: Announcement[]) => Promise<boolean>;

interface Word {
  record: Announcement;
  settle: (isTaken: boolean) => void;
}

/** Most words of one message; some 50 KB. */
const MOST_TOGETHER = 200;

/**
 * Messages under way at once. One that says something new is answered when followers know it, after half a second at most, and a
 * target waits a second for its answer.
 */
const MOST_UNDER_WAY = 4;

export class AnnouncementRelay {
  private waiting: Word[] = [];

  private underWay = 0;

  constructor(private readonly pass: Pass) {}

  /** Resolves with whether the leader has it. */
  tell(record: Announcement): Promise<boolean> {
    return new Promise((settle) => {
      this.waiting.push({ record, settle });
      void this.passNext();
    });
  }

  private async passNext(): Promise<void> {
    if (this.waiting.length === 0 || this.underWay >= MOST_UNDER_WAY) return;
    this.underWay += 1;
    const words = this.waiting.splice(0, MOST_TOGETHER);
    const isTaken = await this.pass(words.map(({ record }) => record));
    words.forEach(({ settle }) => settle(isTaken));
    this.underWay -= 1;
    void this.passNext();
  }
}
