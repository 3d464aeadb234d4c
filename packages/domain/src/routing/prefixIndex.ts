/**
 * An approximate index of which prompt prefixes each target has cached. Cache events come late and
 * with gaps; after a gap the index of that target is distrusted until a full listing arrives. Memory
 * is bounded per target, oldest keys first.
 */

/** Tokens in one cached block. A prompt's keys form a chain: each covers all blocks before it. */
export const BLOCK_TOKENS = 1_024;

/** Keys kept per target. */
export const KEYS_PER_TARGET = 2_048;

/** Share of a claimed hit that is believed while the target is distrusted. */
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

  /** Believed cached tokens of a prompt on a target. */
  cachedTokens(target: string, keys: readonly number[]): number {
    const cached = this.targets.get(target);
    if (cached === undefined) return 0;
    const firstMiss = keys.findIndex((key) => !cached.keys.has(key));
    const blocks = firstMiss === -1 ? keys.length : firstMiss;
    return blocks * BLOCK_TOKENS * (cached.trusted ? 1 : UNTRUSTED_FACTOR);
  }

  /** Own dispatch: its prompt will be cached there, before any event says so. */
  expectCached(target: string, keys: readonly number[]): void {
    const cached = this.of(target);
    keys.forEach((key) => this.add(cached, key));
  }

  /** One event of the target; a gap asks for a listing. */
  event(target: string, event: CacheEvent): EventOrder {
    const cached = this.of(target);
    if (event.sequence <= cached.sequence) return 'old';
    const inOrder = event.sequence === cached.sequence + 1;
    cached.sequence = event.sequence;
    if (!inOrder) cached.trusted = false;
    if (event.kind === 'stored') this.add(cached, event.key);
    else cached.keys.delete(event.key);
    return inOrder ? 'inOrder' : 'gap';
  }

  /** A full listing as of `sequence`. */
  resync(target: string, keys: readonly number[], sequence: number): void {
    const kept = new Set(keys.slice(-KEYS_PER_TARGET));
    this.targets.set(target, { keys: kept, sequence, trusted: true });
  }

  /** The target restarted or went: nothing is cached there. */
  forget(target: string): void {
    this.targets.delete(target);
  }

  private of(target: string): Cached {
    const known = this.targets.get(target);
    if (known !== undefined) return known;
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
