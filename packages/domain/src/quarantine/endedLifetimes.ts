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
const MOST_ENDED = 500;

interface Ended {
  /** When it was first told. */
  at: number;
  /** The first sequence that it announced after that was told last. */
  heard: number | undefined;
}

/** The name of a lifetime, as ids may return with another birth. */
export function lifetimeOf({ id, bornAt }: Lifetime): string {
  return `${id}/${bornAt}`;
}

export class EndedLifetimes {
  /** By lifetime, the latest last. */
  private readonly ended = new Map<string, Ended>();

  private readonly contents = new Map<string, Set<string>>();

  /** Contents that were acquitted of an end, by lifetime. */
  private readonly acquitted = new Map<string, Set<string>>();

  has(lifetime: string): boolean {
    return this.ended.has(lifetime);
  }

  /** When it was first told that it had ended; undefined where it wasn't. */
  at(lifetime: string): number | undefined {
    return this.ended.get(lifetime)?.at;
  }

  note(lifetime: string, at: number): void {
    // Whoever tells it again may have looked after the last announcement.
    this.ended.set(lifetime, { at: this.at(lifetime) ?? at, heard: undefined });
    if (this.ended.size <= MOST_ENDED) return;
    const [oldest] = this.ended.keys();
    this.ended.delete(oldest);
    this.acquitted.delete(oldest);
  }

  /**
   * It announced itself; whether it lives. One announcement may have been held up since before its death; with a second one, of
   * a higher sequence, whoever couldn't reach it was cut off.
   */
  livesBy(lifetime: string, sequence: number): boolean {
    const ended = this.ended.get(lifetime);
    if (ended === undefined) return false;
    ended.heard ??= sequence;
    if (sequence <= ended.heard) return false;
    this.acquitted.delete(lifetime);
    return this.ended.delete(lifetime);
  }

  /** Contents that its end counts against. */
  blamed(lifetime: string): string[] {
    return [...(this.contents.get(lifetime) ?? [])];
  }

  blame(content: string, lifetime: string): void {
    const contents = this.contents.get(lifetime) ?? new Set();
    this.contents.set(lifetime, contents.add(content));
  }

  /** An end counts no longer against a content, whoever tells of it again. */
  noteAcquittal(content: string, lifetime: string): void {
    if (!this.ended.has(lifetime)) return;
    const contents = this.acquitted.get(lifetime) ?? new Set();
    this.acquitted.set(lifetime, contents.add(content));
  }

  isAcquitted(content: string, lifetime: string): boolean {
    return this.acquitted.get(lifetime)?.has(content) === true;
  }

  acquit(content: string, lifetime: string): void {
    const contents = this.contents.get(lifetime);
    contents?.delete(content);
    if (contents?.size === 0) this.contents.delete(lifetime);
  }
}
