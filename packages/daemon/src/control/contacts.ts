/**
 * Which daemons have been heard below this one, when, and which log index they hold. A relay keeps it
 * for its followers and passes on what is new; the leader keeps it for all and answers from it whether
 * a change is in force everywhere.
 */

export interface Contact {
  id: string;
  index: number;
  /** Milliseconds since it was heard, at the time of sending. */
  ageMs: number;
}

interface Heard {
  index: number;
  at: number;
  passedOn: boolean;
}

export class Contacts {
  private readonly heard = new Map<string, Heard>();

  at(id: string): number {
    return this.heard.get(id)?.at ?? -Infinity;
  }

  indexOf(id: string): number {
    return this.heard.get(id)?.index ?? 0;
  }

  take(contacts: readonly Contact[], now: number): void {
    contacts.forEach(({ id, index, ageMs }) => {
      const known = this.heard.get(id);
      const at = now - ageMs;
      if (known !== undefined && known.at >= at && known.index >= index) return;
      const newest = Math.max(index, known?.index ?? 0);
      this.heard.set(id, { index: newest, at: Math.max(at, known?.at ?? 0), passedOn: false });
    });
  }

  /** What has not been passed on yet. */
  news(now: number): Contact[] {
    const fresh = [...this.heard].filter(([, { passedOn }]) => !passedOn);
    return fresh.map(([id, entry]) => {
      entry.passedOn = true;
      return { id, index: entry.index, ageMs: now - entry.at };
    });
  }

  /** The pass failed; pass these on again. */
  restore(contacts: readonly Contact[]): void {
    contacts.forEach(({ id }) => {
      const entry = this.heard.get(id);
      if (entry !== undefined) entry.passedOn = false;
    });
  }

  forget(id: string): void {
    this.heard.delete(id);
  }
}
