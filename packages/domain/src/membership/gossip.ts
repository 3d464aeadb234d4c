/**
 * What still has to be told to whom. Every accepted record gets the next local number; for each peer
 * the board knows up to which number it has told it, and from whom a record came, so that nothing is
 * sent back. A record is kept once per key: what a peer missed is at most the current state.
 *
 * Two peers that meet for the first time would tell each other everything, in a large fleet mostly what
 * both know. So exchanges carry a checksum of the lasting records, and equal checksums say it all.
 */
import type * as hashing from '../shared/hashing';

interface QueuedRecord<R> {
  number: number;
  record: R;
  from: string;
  /** Its part in the checksum; 0 for a passing record. */
  sum: number;
}

/** Checksums are whole numbers below this. */
const MODULUS = 2 ** 32;

export interface Batch<R> {
  records: R[];
  /** Number up to which the peer has been told once it acknowledges the batch. */
  upTo: number;
}

export class Board<R> {
  private readonly queued = new Map<string, QueuedRecord<R>>();

  private readonly acknowledgedUpTo = new Map<string, number>();

  private counter = 0;

  private sum = 0;

  constructor(private readonly hash: hashing.Hash) {}

  /** Checksum of the lasting records, whatever the order in which they came. */
  get checksum(): number {
    return this.sum;
  }

  /**
   * Posts the current record of `key`; `from` is the peer that told us, or empty for our own. A passing
   * record is replaced soon and doesn't count for the checksum.
   */
  post(key: string, record: R, from: string, isTransient = false): void {
    this.remove(key);
    this.counter += 1;
    const sum = isTransient ? 0 : this.hash(`${key}=${JSON.stringify(record)}`);
    this.sum = (this.sum + sum) % MODULUS;
    this.queued.set(key, { number: this.counter, record, from, sum });
  }

  remove(key: string): void {
    const known = this.queued.get(key);
    if (known === undefined) return;
    this.queued.delete(key);
    this.sum = (this.sum - known.sum + MODULUS) % MODULUS;
  }

  /** The peer holds the same lasting records; there is nothing to tell it of them. */
  agreed(peer: string): void {
    this.acknowledgedUpTo.set(peer, this.counter);
  }

  /** Up to `limit` records that `peer` has not been told, oldest first. */
  batchFor(peer: string, limit: number): Batch<R> {
    const start = this.acknowledgedUpTo.get(peer) ?? 0;
    const records: R[] = [];
    let upTo = start;
    for (const each of this.queued.values()) {
      if (each.number <= start) continue;
      if (records.length >= limit) break;
      upTo = each.number;
      if (each.from !== peer) records.push(each.record);
    }
    return { records, upTo };
  }

  /** The peer has taken everything up to this number. */
  acknowledged(peer: string, upTo: number): void {
    this.acknowledgedUpTo.set(peer, Math.max(this.acknowledgedUpTo.get(peer) ?? 0, upTo));
  }

  /** The peer restarted and knows nothing of what it was told. */
  forget(peer: string): void {
    this.acknowledgedUpTo.delete(peer);
  }

  get size(): number {
    return this.queued.size;
  }
}
