/**
 * The engine's cache of prompt blocks: least recently used goes first, blocks in use never.
 */

/** Tokens in a block; the same as the daemons' index uses. */
export const BLOCK_TOKENS = 1_024;

export interface Change {
  sequence: number;
  kind: 'stored' | 'evicted';
  key: number;
}

export class PrefixCache {
  private readonly users = new Map<number, number>();

  private changes: Change[] = [];

  sequence = 0;

  get tokens(): number {
    return this.users.size * BLOCK_TOKENS;
  }

  /** Number of leading blocks that are cached. */
  match(keys: readonly number[]): number {
    const miss = keys.findIndex((key) => !this.users.has(key));
    return miss === -1 ? keys.length : miss;
  }

  /** Marks blocks as used by a request and as the most recent. */
  pin(keys: readonly number[]): void {
    keys.forEach((key) => {
      const users = this.users.get(key) ?? 0;
      this.users.delete(key);
      this.users.set(key, users + 1);
    });
  }

  unpin(keys: readonly number[]): void {
    keys.forEach((key) => {
      const users = this.users.get(key);
      if (users !== undefined) this.users.set(key, Math.max(0, users - 1));
    });
  }

  store(keys: readonly number[]): void {
    keys
      .filter((key) => !this.users.has(key))
      .forEach((key) => {
        this.users.set(key, 0);
        this.note('stored', key);
      });
  }

  /** Tokens that eviction could free. */
  evictable(): number {
    let blocks = 0;
    this.users.forEach((users) => {
      if (users === 0) blocks += 1;
    });
    return blocks * BLOCK_TOKENS;
  }

  /** Evicts until at least `tokens` are freed, as far as possible. */
  evict(tokens: number): void {
    let freed = 0;
    for (const [key, users] of this.users) {
      if (freed >= tokens) break;
      if (users > 0) continue;
      this.users.delete(key);
      this.note('evicted', key);
      freed += BLOCK_TOKENS;
    }
  }

  keys(): number[] {
    return [...this.users.keys()];
  }

  /** Changes after `sequence` that are still known. */
  since(sequence: number): Change[] {
    return this.changes.filter((change) => change.sequence > sequence);
  }

  private note(kind: Change['kind'], key: number): void {
    this.sequence += 1;
    this.changes.push({ sequence: this.sequence, kind, key });
    if (this.changes.length > 4_096) this.changes = this.changes.slice(-2_048);
  }
}
