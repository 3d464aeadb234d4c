/**
 * An approximate index of the prompt prefixes that each target has cached. Cache events arrive late
 * and with gaps; after a gap the index of that target is distrusted until a full listing arrives.
 * Memory is bounded per target; the oldest keys are dropped first.
 */

/** Tokens per cached block. The keys of a prompt form a chain: each covers all blocks before it. */
export const BLOCK_TOKENS = 1_024;

/** Keys kept per target. */
export const KEYS_PER_TARGET = 2_048;

/** Fraction of a predicted hit that counts while the target is distrusted. */
const UNTRUSTED_FACTOR = 0.5;

export interface CacheEvent {
  sequence: number;
  kind: 'stored' | 'evicted';
  key: number;
}

export type EventOrder = 'inOrder' | 'gap' | 'old';

interface Cached {
  keys: Set<number>;
  sequence: number;
  trusted: boolean;
}

export class PrefixIndex {
  private readonly targets = new Map<string, Cached>();

  /** Estimated cached tokens of a prompt on a target. */
  cachedTokens(target: string, keys: readonly number[]): number {
    const cached = this.targets.get(target);
    if (cached === undefined) return 0;
    const firstMiss = keys.findIndex((key) => !cached.keys.has(key));
    const blocks = firstMiss === -1 ? keys.length : firstMiss;
    return blocks * BLOCK_TOKENS * (cached.trusted ? 1 : UNTRUSTED_FACTOR);
  }

  /** Records that a dispatched prompt will be cached there, before any event reports it. */
  expectCached(target: string, keys: readonly number[]): void {
    const cached = this.of(target);
    keys.forEach((key) => this.add(cached, key));
  }

  /** Applies one event of the target; after a gap the caller should request a listing. */
  applyEvent(target: string, event: CacheEvent): EventOrder {
    const cached = this.of(target);
    if (event.sequence <= cached.sequence) return 'old';
    const inOrder = event.sequence === cached.sequence + 1;
    cached.sequence = event.sequence;
    if (!inOrder) cached.trusted = false;
    if (event.kind === 'stored') this.add(cached, event.key);
    else cached.keys.delete(event.key);
    return inOrder ? 'inOrder' : 'gap';
  }

  /** Applies a full listing as of `sequence`. */
  resync(target: string, keys: readonly number[], sequence: number): void {
    const kept = new Set(keys.slice(-KEYS_PER_TARGET));
    this.targets.set(target, { keys: kept, sequence, trusted: true });
  }

  /** The target restarted or is gone: nothing is cached there. */
  forget(target: string): void {
    this.targets.delete(target);
  }

  private of(target: string): Cached {
    const existing = this.targets.get(target);
    if (existing !== undefined) return existing;
    const fresh = { keys: new Set<number>(), sequence: 0, trusted: true };
    this.targets.set(target, fresh);
    return fresh;
  }

  private add(cached: Cached, key: number): void {
    cached.keys.delete(key);
    cached.keys.add(key);
    if (cached.keys.size <= KEYS_PER_TARGET) return;
    const oldest = cached.keys.values().next().value;
    if (oldest !== undefined) cached.keys.delete(oldest);
  }
}
