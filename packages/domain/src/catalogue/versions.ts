/**
 * The replicated state machine that holds the newest catalogue. The highest version wins; a version that
 * is not higher is acknowledged and changes nothing, so a change that was sent twice, or overtaken on
 * its way, can never bring an older state back.
 */

/** A catalogue as it was sent; replication doesn't read it. */
export interface Edition {
  version: number;
  /** The document, compressed. */
  packed: Uint8Array;
}

export interface Acceptance {
  /** The version in force afterwards. */
  version: number;
  /** Whether this edition came into force. */
  changed: boolean;
}

export class Versions {
  private current: Edition | undefined;

  get newest(): Edition | undefined {
    return this.current;
  }

  get version(): number {
    return this.current?.version ?? 0;
  }

  apply(edition: Edition): Acceptance {
    const changed = edition.version > this.version;
    if (changed) this.current = edition;
    return { version: this.version, changed };
  }

  restore(edition: Edition | undefined): void {
    if (edition !== undefined) this.apply(edition);
  }
}
