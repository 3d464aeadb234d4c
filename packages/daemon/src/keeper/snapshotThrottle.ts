/**
 * When a follower gets a whole copy of the registry. All followers of a new leader lack it at once; handed out in the answers to
 * their first questions, the copies fill the leader's link for longer than a follower waits, and each asks another keeper
 * for the same again. A follower is confirmed and serves without its copy, as the leader places prompts.
 */

/** Part of the leader's link that copies may fill; confirmations, settings and places share the rest. */
const LINK_SHARE = 0.25;

/** How long copies may use their share at once after a pause, milliseconds. */
const BURST_MS = 500;

const BITS_PER_BYTE = 8;

export class SnapshotThrottle {
  private readonly bytesPerMs: number;

  private readonly capacityBytes: number;

  private availableBytes: number;

  private refilledAt: number | undefined;

  /** @param linkMbps what the leader's link carries, megabits a second */
  constructor(
    linkMbps: number,
    private readonly now: () => number,
  ) {
    this.bytesPerMs = (LINK_SHARE * linkMbps * 1_000) / BITS_PER_BYTE;
    this.capacityBytes = this.bytesPerMs * BURST_MS;
    this.availableBytes = this.capacityBytes;
  }

  /** Whether a copy of so many bytes may be sent now; it then counts as sent. */
  take(bytes: number): boolean {
    const now = this.now();
    const refilledBytes = this.bytesPerMs * (now - (this.refilledAt ?? now));
    this.availableBytes = Math.min(this.capacityBytes, this.availableBytes + refilledBytes);
    this.refilledAt = now;
    // A copy larger than the whole burst waits until nothing was sent for that long.
    if (this.availableBytes < Math.min(bytes, this.capacityBytes)) return false;
    this.availableBytes -= bytes;
    return true;
  }
}
