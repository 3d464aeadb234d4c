/**
 * What an entry must tell the leader, whichever leads. Each item goes out at once; what no leader took is told again until one has, or
 * until newer items push it out.
 */
import * as clock from '../clock';

/** Pause before items that no leader took are told again, milliseconds. */
export const RETRY_INTERVAL_MS = 100;

export class LeaderOutbox<T> {
  private unreported: T[] = [];

  private isRetrying = false;

  private isClosed = false;

  /** `send` resolves to whether a leader took the items; at most `most` wait for one. */
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
      await clock.pause(RETRY_INTERVAL_MS);
      const pending = this.unreported;
      const isTaken = await this.deliver(pending);
      if (isTaken) this.unreported = this.unreported.filter((each) => !pending.includes(each));
    }
    this.isRetrying = false;
  }

  /** What no leader has taken by now stays untold. */
  close(): void {
    this.isClosed = true;
  }
}
