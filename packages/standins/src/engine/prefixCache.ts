/**
 * The engine's cache of prompt blocks: least recently used goes first, blocks in use never.
 */

/** Tokens in a block; the same as the daemons' index uses. */
export const BLOCK_TOKENS = 1_024;

export interface CacheEvent {
  sequence: number;
  kind: 'stored' | 'evicted';
  key: number;
}

export class PrefixCache {
  private readonly pinCounts = new Map<number, number>();

  private events: CacheEvent[] = [];

  sequence = 0;

  get tokens(): number {
    return this.pinCounts.size * BLOCK_TOKENS;
  }

  /** Number of leading blocks that are cached. */
  matchedBlocks(keys: readonly number[]): number {
    const firstMiss = keys.findIndex((key) => !this.pinCounts.has(key));
    return firstMiss === -1 ? keys.length : firstMiss;
  }

  /** Marks blocks as used by a request and as the most recent. */
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

  /** Tokens that eviction could free. */
  evictableTokens(): number {
    let blocks = 0;
    this.pinCounts.forEach((pins) => {
      if (pins === 0) blocks += 1;
    });
    return blocks * BLOCK_TOKENS;
  }

  /** Evicts until at least `tokens` are freed, as far as possible. */
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

  /** Changes after `sequence` that are still known. */
  eventsSince(sequence: number): CacheEvent[] {
    return this.events.filter((event) => event.sequence > sequence);
  }

  private record(kind: CacheEvent['kind'], key: number): void {
    this.sequence += 1;
    this.events.push({ sequence: this.sequence, kind, key });
    if (this.events.length > 4_096) this.events = this.events.slice(-2_048);
  }
}
