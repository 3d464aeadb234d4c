/**
 * Passes on to the leader what targets say to this keeper, many words in one message. Each target says twice in some seconds that
 * it lives; with thousands of them and a call for each, the leader answered nobody else. A few messages are under way at a time,
 * and the next one takes along what came meanwhile: a calm fleet's words wait for nothing, and messages grow with the load.
 */
import type * as domain from '@celerydrift/domain';

type Announcement = domain.registry.registry.Announcement;

/** Passes words on; true once the leader has them. */
export type Forward = (records: Announcement[]) => Promise<boolean>;

interface PendingAnnouncement {
  record: Announcement;
  settle: (isTaken: boolean) => void;
}

/** Most words of one message; some 50 KB. */
const MAX_BATCH_SIZE = 200;

/**
 * Messages under way at once. One that says something new is answered when followers know it, after half a second at most, and a
 * target waits a second for its answer.
 */
const MAX_IN_FLIGHT = 4;

export class AnnouncementRelay {
  private waiting: PendingAnnouncement[] = [];

  private inFlight = 0;

  constructor(private readonly forward: Forward) {}

  /** Resolves with whether the leader has it. */
  relay(record: Announcement): Promise<boolean> {
    return new Promise((settle) => {
      this.waiting.push({ record, settle });
      void this.forwardNext();
    });
  }

  private async forwardNext(): Promise<void> {
    if (this.waiting.length === 0 || this.inFlight >= MAX_IN_FLIGHT) return;
    this.inFlight += 1;
    const batch = this.waiting.splice(0, MAX_BATCH_SIZE);
    const isTaken = await this.forward(batch.map(({ record }) => record));
    batch.forEach(({ settle }) => settle(isTaken));
    this.inFlight -= 1;
    void this.forwardNext();
  }
}
