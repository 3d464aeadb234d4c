/**
 * Outbox of reports for whichever keeper is the leader. Each item is sent at once; items that no leader accepted are
 * retried until one does, or until newer items displace them.
 */
import * as clock from '../clock';

/** Pause before items that no leader accepted are sent again, milliseconds. */
export const RETRY_INTERVAL_MS = 100;

export class LeaderOutbox<T> {
  private unreported: T[] = [];

  private isRetrying = false;

  private isClosed = false;

  /** `deliver` resolves to whether a leader accepted the items; at most `capacity` items wait for a retry. */
  constructor(
    private readonly deliver: (items: readonly T[]) => Promise<boolean>,
    private readonly capacity: number,
  ) {}

  async send(item: T): Promise<void> {
    if (await this.deliver([item])) return;
    this.unreported = [...this.unreported, item].slice(-this.capacity);
    if (this.isRetrying) return;
    this.isRetrying = true;
    while (this.unreported.length > 0 && !this.isClosed) {
      await clock.sleep(RETRY_INTERVAL_MS);
      const pending = this.unreported;
      const isAccepted = await this.deliver(pending);
      if (isAccepted) this.unreported = this.unreported.filter((each) => !pending.includes(each));
    }
    this.isRetrying = false;
  }

  /** Drops items that no leader has accepted yet. */
  close(): void {
    this.isClosed = true;
  }
}
