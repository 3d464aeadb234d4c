/**
 * Records that still have to be sent to each peer. Every accepted record gets the next local
 * number. For each peer the buffer keeps the number up to which it acknowledged, and for each
 * record the peer that sent it, so that nothing is sent back. There is one record per key, so a
 * peer that missed updates is sent the current state at most.
 *
 * Two peers that meet for the first time would send each other everything, most of it known to both
 * in a large fleet. So exchanges carry a checksum of the lasting records, and equal checksums
 * replace the transfer.
 */
import type * as hashing from '../shared/hashing';

interface QueuedRecord<R> {
  number: number;
  record: R;
  from: string;
  /** Its contribution to the checksum; 0 for a transient record. */
  sum: number;
}

/** Checksums are whole numbers below this. */
const MODULUS = 2 ** 32;

export interface Batch<R> {
  records: R[];
  /** Number up to which the peer is up to date once it acknowledges the batch. */
  upTo: number;
}

export class GossipBuffer<R> {
  private readonly queued = new Map<string, QueuedRecord<R>>();

  private readonly acknowledgedUpTo = new Map<string, number>();

  private counter = 0;

  private sum = 0;

  constructor(private readonly hash: hashing.Hash) {}

  /** Checksum of the lasting records, independent of the order of their arrival. */
  get checksum(): number {
    return this.sum;
  }

  /**
   * Sets the current record of `key`. `from` is the peer that sent it, empty for own records. A
   * transient record is replaced soon and doesn't count for the checksum.
   */
  put(key: string, record: R, from: string, isTransient = false): void {
    this.remove(key);
    this.counter += 1;
    const sum = isTransient ? 0 : this.hash(`${key}=${JSON.stringify(record)}`);
    this.sum = (this.sum + sum) % MODULUS;
    this.queued.set(key, { number: this.counter, record, from, sum });
  }

  remove(key: string): void {
    const replaced = this.queued.get(key);
    if (replaced === undefined) return;
    this.queued.delete(key);
    this.sum = (this.sum - replaced.sum + MODULUS) % MODULUS;
  }

  /** The peer has the same lasting records, so there is nothing to send. */
  markInSync(peer: string): void {
    this.acknowledgedUpTo.set(peer, this.counter);
  }

  /** Up to `limit` records that `peer` hasn't acknowledged, oldest first. */
  batchFor(peer: string, limit: number): Batch<R> {
    const start = this.acknowledgedUpTo.get(peer) ?? 0;
    const records: R[] = [];
    let upTo = start;
    for (const queued of this.queued.values()) {
      if (queued.number <= start) continue;
      if (records.length >= limit) break;
      upTo = queued.number;
      if (queued.from !== peer) records.push(queued.record);
    }
    return { records, upTo };
  }

  /** The peer acknowledged everything up to this number. */
  acknowledge(peer: string, upTo: number): void {
    this.acknowledgedUpTo.set(peer, Math.max(this.acknowledgedUpTo.get(peer) ?? 0, upTo));
  }

  /** The peer restarted and has lost its records. */
  resetPeer(peer: string): void {
    this.acknowledgedUpTo.delete(peer);
  }

  get size(): number {
    return this.queued.size;
  }
}
