/**
 * Lifetimes of targets that are taken for ended, and the contents that are blamed for it. A target that crashed is still announced
 * as ready for some seconds, and a request that meets its broken connections then hasn't ended it.
 */

/** One life of a target, as it announces itself. */
export interface Lifetime {
  id: string;
  bornAt: number;
}

/** Most lifetimes whose end is remembered; a crashed one is announced as ready for some seconds at most. */
const MAX_CRASHED_LIFETIMES = 500;

interface Crash {
  /** When it was first told. */
  at: number;
  /** The first sequence that it announced after that was told last. */
  firstSequence: number | undefined;
}

/** The name of a lifetime, as ids may return with another birth. */
export function lifetimeOf({ id, bornAt }: Lifetime): string {
  return `${id}/${bornAt}`;
}

export class CrashedLifetimes {
  /** By lifetime, the latest last. */
  private readonly crashes = new Map<string, Crash>();

  private readonly suspects = new Map<string, Set<string>>();

  /** Contents that were acquitted of an end, by lifetime. */
  private readonly cleared = new Map<string, Set<string>>();

  has(lifetime: string): boolean {
    return this.crashes.has(lifetime);
  }

  /** When it was first told that it had ended; undefined where it wasn't. */
  reportedAt(lifetime: string): number | undefined {
    return this.crashes.get(lifetime)?.at;
  }

  record(lifetime: string, at: number): void {
    // Whoever tells it again may have looked after the last announcement.
    this.crashes.set(lifetime, { at: this.reportedAt(lifetime) ?? at, firstSequence: undefined });
    if (this.crashes.size <= MAX_CRASHED_LIFETIMES) return;
    const [oldest] = this.crashes.keys();
    this.crashes.delete(oldest);
    this.cleared.delete(oldest);
  }

  /**
   * It announced itself; whether it lives. One announcement may have been held up since before its death; with a second one, of
   * a higher sequence, whoever couldn't reach it was cut off.
   */
  confirmAlive(lifetime: string, sequence: number): boolean {
    const crash = this.crashes.get(lifetime);
    if (crash === undefined) return false;
    crash.firstSequence ??= sequence;
    if (sequence <= crash.firstSequence) return false;
    this.cleared.delete(lifetime);
    return this.crashes.delete(lifetime);
  }

  /** Contents that its end counts against. */
  suspectsOf(lifetime: string): string[] {
    return [...(this.suspects.get(lifetime) ?? [])];
  }

  addSuspect(fingerprint: string, lifetime: string): void {
    const suspects = this.suspects.get(lifetime) ?? new Set();
    this.suspects.set(lifetime, suspects.add(fingerprint));
  }

  /** An end counts no longer against a content, whoever tells of it again. */
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
