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

/** Whether a version is newer than the one in force, if there is any. */
export function isNewerVersion(version: number, inForce: number | undefined): boolean {
  return inForce === undefined || version > inForce;
}

export class NewestCatalogue {
  private current: PackedCatalogue | undefined;

  get newest(): PackedCatalogue | undefined {
    return this.current;
  }

  /** Undefined before the first catalogue, which may have any version, also 0. */
  get version(): number | undefined {
    return this.current?.version;
  }

  apply(candidate: PackedCatalogue): ApplyResult {
    const { current } = this;
    if (current !== undefined && !isNewerVersion(candidate.version, current.version)) {
      return { version: current.version, changed: false };
    }
    this.current = candidate;
    return { version: candidate.version, changed: true };
  }

  restore(candidate: PackedCatalogue | undefined): void {
    if (candidate !== undefined) this.apply(candidate);
  }
}
