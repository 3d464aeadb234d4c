/** The engine's cache of prompt blocks (prefix cache), with LRU eviction of blocks that no request pins. */

/** Tokens in a block; must match the block size of the daemons' prefix index. */
export const BLOCK_TOKENS = 1_024;

/** When more events than this are kept, all but the latest `KEPT_EVENTS` are dropped. */
const MAX_EVENTS = 4_096;

const KEPT_EVENTS = 2_048;

/** A block was stored or evicted. */
export interface CacheEvent {
  sequence: number;
  kind: 'stored' | 'evicted';
  key: number;
}

export class PrefixCache {
  /** Number of requests that pin each cached block, in LRU order: least recently used first. */
  private readonly pinCounts = new Map<number, number>();

  private events: CacheEvent[] = [];

  sequence = 0;

  get tokens(): number {
    return this.pinCounts.size * BLOCK_TOKENS;
  }

  /** Length of the cached prefix, in blocks. */
  matchedBlocks(keys: readonly number[]): number {
    const firstMiss = keys.findIndex((key) => !this.pinCounts.has(key));
    return firstMiss === -1 ? keys.length : firstMiss;
  }

  /** Pins blocks for a request and marks them as most recently used. */
  pin(keys: readonly number[]): void {
    keys.forEach((key) => {
      const pins = this.pinCounts.get(key) ?? 0;
      this.pinCounts.delete(key);
      this.pinCounts.set(key, pins + 1);
    });
  }

  unpin(keys: readonly number[]): void {
    keys.forEach((key) => {
      const pins = this.pinCounts.get(key);
      if (pins !== undefined) this.pinCounts.set(key, Math.max(0, pins - 1));
    });
  }

  store(keys: readonly number[]): void {
    keys
      .filter((key) => !this.pinCounts.has(key))
      .forEach((key) => {
        this.pinCounts.set(key, 0);
        this.record('stored', key);
      });
  }

  /** Tokens of unpinned blocks, which eviction could free. */
  evictableTokens(): number {
    let blocks = 0;
    this.pinCounts.forEach((pins) => {
      if (pins === 0) blocks += 1;
    });
    return blocks * BLOCK_TOKENS;
  }

  /** Evicts unpinned blocks until at least `tokens` are freed or none is left. */
  evict(tokens: number): void {
    let freedTokens = 0;
    for (const [key, pins] of this.pinCounts) {
      if (freedTokens >= tokens) break;
      if (pins > 0) continue;
      this.pinCounts.delete(key);
      this.record('evicted', key);
      freedTokens += BLOCK_TOKENS;
    }
  }

  keys(): number[] {
    return [...this.pinCounts.keys()];
  }

  /** Events after `sequence` that are still kept. */
  eventsSince(sequence: number): CacheEvent[] {
    return this.events.filter((event) => event.sequence > sequence);
  }

  private record(kind: CacheEvent['kind'], key: number): void {
    this.sequence += 1;
    this.events.push({ sequence: this.sequence, kind, key });
    if (this.events.length > MAX_EVENTS) this.events = this.events.slice(-KEPT_EVENTS);
  }
}
