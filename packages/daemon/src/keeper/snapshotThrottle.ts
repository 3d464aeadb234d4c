/**
 * Limits how fast registry snapshots are sent to followers. All followers of a new leader lack one at once; sent with
 * the answers to their first polls, the snapshots would fill the leader's link for longer than a follower waits, and
 * each follower would ask another keeper for the same again. A follower is confirmed and serves without its snapshot,
 * as the leader places prompts.
 */

/** Share of the leader's link that snapshots may use; confirmations, settings and placements share the rest. */
const LINK_SHARE = 0.25;

/** How much of their share snapshots may use at once after a pause, in milliseconds of it. */
const BURST_MS = 500;

const BITS_PER_BYTE = 8;

export class SnapshotThrottle {
  private readonly bytesPerMs: number;

  private readonly capacityBytes: number;

  private availableBytes: number;

  private refilledAt: number | undefined;

  /** @param linkMbps bandwidth of the leader's link, in megabits per second */
  constructor(
    linkMbps: number,
    private readonly now: () => number,
  ) {
    this.bytesPerMs = (LINK_SHARE * linkMbps * 1_000) / BITS_PER_BYTE;
    this.capacityBytes = this.bytesPerMs * BURST_MS;
    this.availableBytes = this.capacityBytes;
  }

  /** Whether a snapshot of this size may be sent now; if so, it counts as sent. */
  take(bytes: number): boolean {
    const now = this.now();
    const refilledBytes = this.bytesPerMs * (now - (this.refilledAt ?? now));
    this.availableBytes = Math.min(this.capacityBytes, this.availableBytes + refilledBytes);
    this.refilledAt = now;
    // A snapshot larger than the capacity is sent once the full capacity is available.
    if (this.availableBytes < Math.min(bytes, this.capacityBytes)) return false;
    this.availableBytes -= bytes;
    return true;
  }
}
