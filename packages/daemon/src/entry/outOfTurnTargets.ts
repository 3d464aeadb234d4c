/**
 * Targets that lately sent a response to another message than the one that waited. Copies come on the connection of their
 * first message, so a message on a connection of its own can't meet one. Such a target goes on getting its work, and only
 * messages already in flight on shared connections can still meet a copy.
 */

/** How long connections to such a target aren't shared, milliseconds. */
export const OWN_CONNECTIONS_MS = 30_000;

export class OutOfTurnTargets {
  /** When each answered out of turn last. */
  private readonly answeredAt = new Map<string, number>();

  constructor(private readonly now: () => number) {}

  get size(): number {
    this.answeredAt.forEach((_at, target) => this.includes(target));
    return this.answeredAt.size;
  }

  add(target: string): void {
    this.answeredAt.set(target, this.now());
  }

  includes(target: string): boolean {
    const at = this.answeredAt.get(target) ?? -Infinity;
    if (this.now() - at < OWN_CONNECTIONS_MS) return true;
    this.answeredAt.delete(target);
    return false;
  }

  forget(target: string): void {
    this.answeredAt.delete(target);
  }
}
