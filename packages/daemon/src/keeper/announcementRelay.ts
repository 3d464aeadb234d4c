/**
 * Forwards targets' announcements from this keeper to the leader in batches. Each target announces every second or
 * two that it lives; with thousands of targets and a call for each, the leader answered nobody else. Only a few
 * messages are in flight at a time, and the next one carries everything that arrived meanwhile: in a calm fleet
 * announcements don't wait, and under load the batches grow.
 */
import type * as domain from '@celerydrift/domain';

type Announcement = domain.registry.registry.Announcement;

/** Forwards announcements; resolves with true once the leader has them. */
export type Forward = (records: Announcement[]) => Promise<boolean>;

interface PendingAnnouncement {
  record: Announcement;
  resolve: (isAccepted: boolean) => void;
  reject: (error: unknown) => void;
}

/** Maximum number of announcements in one message; some 50 KB. */
const MAX_BATCH_SIZE = 200;

/**
 * Maximum number of messages in flight. One with changes is answered once followers know them, after half a second at
 * most, and a target waits a second for its answer.
 */
const MAX_IN_FLIGHT = 4;

export class AnnouncementRelay {
  private waiting: PendingAnnouncement[] = [];

  private inFlight = 0;

  constructor(private readonly forward: Forward) {}

  /** Resolves with whether the leader has the announcement; rejects if its forwarding failed unexpectedly. */
  relay(record: Announcement): Promise<boolean> {
    return new Promise((resolve, reject) => {
      this.waiting.push({ record, resolve, reject });
      void this.forwardNext();
    });
  }

  private async forwardNext(): Promise<void> {
    if (this.waiting.length === 0 || this.inFlight >= MAX_IN_FLIGHT) return;
    this.inFlight += 1;
    const batch = this.waiting.splice(0, MAX_BATCH_SIZE);
    try {
      const isAccepted = await this.forward(batch.map(({ record }) => record));
      batch.forEach(({ resolve }) => resolve(isAccepted));
    } catch (error) {
      batch.forEach(({ reject }) => reject(error));
    }
    this.inFlight -= 1;
    void this.forwardNext();
  }
}
