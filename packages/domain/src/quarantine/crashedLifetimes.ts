/**
 * Lifetimes of targets that are taken for crashed, and the requests that were running when they
 * crashed. A crashed target stays registered as ready for some seconds; a request that meets its
 * broken connections in that time did not cause the crash.
 */

/** One run of a target process, as the target announces it. */
export interface Lifetime {
  id: string;
  bornAt: number;
}

/**
 * Crashed lifetimes that are kept. A crashed target is announced as ready for some seconds at most,
 * so older ones no longer matter.
 */
const MAX_CRASHED_LIFETIMES = 500;

interface Crash {
  /** When the crash was first reported. */
  at: number;
  /** Sequence of the first announcement after the latest report of the crash. */
  firstSequence: number | undefined;
}

/** Identifies a lifetime; the id alone doesn't, as a restarted target keeps it. */
export function lifetimeKey({ id, bornAt }: Lifetime): string {
  return `${id}/${bornAt}`;
}

export class CrashedLifetimes {
  /** By lifetime, in the order of the first reports. */
  private readonly crashes = new Map<string, Crash>();

  private readonly suspects = new Map<string, Set<string>>();

  /** Fingerprints of requests that were cleared of a crash, by lifetime. */
  private readonly cleared = new Map<string, Set<string>>();

  has(lifetime: string): boolean {
    return this.crashes.has(lifetime);
  }

  /** When the crash was first reported; undefined for a lifetime without a report. */
  reportedAt(lifetime: string): number | undefined {
    return this.crashes.get(lifetime)?.at;
  }

  record(lifetime: string, at: number): void {
    // A repeated report may be newer than the last announcement, so confirming that the target
    // lives starts over.
    this.crashes.set(lifetime, { at: this.reportedAt(lifetime) ?? at, firstSequence: undefined });
    if (this.crashes.size <= MAX_CRASHED_LIFETIMES) return;
    const [oldest] = this.crashes.keys();
    this.crashes.delete(oldest);
    this.cleared.delete(oldest);
  }

  /**
   * Takes an announcement; returns whether it proves a reported crash wrong. A single announcement
   * may have been delayed since before the crash. With a second one of a higher sequence the target
   * is alive, and the reporter was merely cut off from it.
   */
  confirmAlive(lifetime: string, sequence: number): boolean {
    const crash = this.crashes.get(lifetime);
    if (crash === undefined) return false;
    crash.firstSequence ??= sequence;
    if (sequence <= crash.firstSequence) return false;
    return this.forget(lifetime);
  }

  /** Forgets the crash of a lifetime that is alive; returns whether there was one. */
  forget(lifetime: string): boolean {
    this.cleared.delete(lifetime);
    return this.crashes.delete(lifetime);
  }

  /** Fingerprints of the requests that the crash counts against. */
  suspectsOf(lifetime: string): string[] {
    return [...(this.suspects.get(lifetime) ?? [])];
  }

  addSuspect(fingerprint: string, lifetime: string): void {
    const suspects = this.suspects.get(lifetime) ?? new Set();
    this.suspects.set(lifetime, suspects.add(fingerprint));
  }

  /** A crash no longer counts against a request, even when it is reported again. */
  recordCleared(fingerprint: string, lifetime: string): void {
    if (!this.crashes.has(lifetime)) return;
    const fingerprints = this.cleared.get(lifetime) ?? new Set();
    this.cleared.set(lifetime, fingerprints.add(fingerprint));
  }

  isCleared(fingerprint: string, lifetime: string): boolean {
    return this.cleared.get(lifetime)?.has(fingerprint) === true;
  }

  removeSuspect(fingerprint: string, lifetime: string): void {
    const suspects = this.suspects.get(lifetime);
    suspects?.delete(fingerprint);
    if (suspects?.size === 0) this.suspects.delete(lifetime);
  }
}
