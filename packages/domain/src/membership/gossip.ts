/**
 * What still has to be told to whom. Every accepted record gets the next local number; for each peer
 * the board knows up to which number it has told it, and from whom a record came, so that nothing is
 * sent back. A record is kept once per key: what a peer missed is at most the current state.
 */

interface Posted<R> {
  number: number;
  record: R;
  from: string;
}

export interface Batch<R> {
  records: R[];
  /** Number up to which the peer has been told once it acknowledges the batch. */
  upTo: number;
}

export class Board<R> {
  private readonly posted = new Map<string, Posted<R>>();

  private readonly told = new Map<string, number>();

  private counter = 0;

  /** Posts the current record of `key`; `from` is the peer that told us, or empty for our own. */
  post(key: string, record: R, from: string): void {
    this.counter += 1;
    this.posted.delete(key);
    this.posted.set(key, { number: this.counter, record, from });
  }

  remove(key: string): void {
    this.posted.delete(key);
  }

  /** Up to `limit` records that `peer` has not been told, oldest first. */
  batchFor(peer: string, limit: number): Batch<R> {
    const start = this.told.get(peer) ?? 0;
    const records: R[] = [];
    let upTo = start;
    for (const posted of this.posted.values()) {
      if (posted.number <= start) continue;
      if (records.length >= limit) break;
      upTo = posted.number;
      if (posted.from !== peer) records.push(posted.record);
    }
    return { records, upTo };
  }

  /** The peer has taken everything up to this number. */
  acknowledged(peer: string, upTo: number): void {
    this.told.set(peer, Math.max(this.told.get(peer) ?? 0, upTo));
  }

  /** The peer restarted and knows nothing of what it was told. */
  forget(peer: string): void {
    this.told.delete(peer);
  }

  get size(): number {
    return this.posted.size;
  }
}
