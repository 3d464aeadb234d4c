/**
 * Replicated state machine with the newest catalogue. The highest version wins; a lower or equal
 * version is acknowledged without effect, so a change that is sent twice or arrives late never
 * restores an older state.
 */

/** A packed catalogue as sent; opaque to replication. */
export interface PackedCatalogue {
  version: number;
  /** The document, compressed. */
  packed: Uint8Array;
}

export interface ApplyResult {
  /** The active version afterwards. */
  version: number;
  /** Whether this catalogue was activated. */
  changed: boolean;
}

export class NewestCatalogue {
  private current: PackedCatalogue | undefined;

  get newest(): PackedCatalogue | undefined {
    return this.current;
  }

  get version(): number {
    return this.current?.version ?? 0;
  }

  apply(candidate: PackedCatalogue): ApplyResult {
    const changed = candidate.version > this.version;
    if (changed) this.current = candidate;
    return { version: this.version, changed };
  }

  restore(candidate: PackedCatalogue | undefined): void {
    if (candidate !== undefined) this.apply(candidate);
  }
}
