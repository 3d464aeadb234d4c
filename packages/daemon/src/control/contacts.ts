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

interface ContactRecord {
  index: number;
  at: number;
  isForwarded: boolean;
}

export class Contacts {
  private readonly records = new Map<string, ContactRecord>();

  lastContactAt(id: string): number {
    return this.records.get(id)?.at ?? -Infinity;
  }

  viewIndexOf(id: string): number {
    return this.records.get(id)?.index ?? 0;
  }

  update(contacts: readonly Contact[], now: number): void {
    contacts.forEach(({ id, index, ageMs }) => {
      const known = this.records.get(id);
      const at = now - ageMs;
      if (known !== undefined && known.at >= at && known.index >= index) return;
      const newest = Math.max(index, known?.index ?? 0);
      this.records.set(id, { index: newest, at: Math.max(at, known?.at ?? 0), isForwarded: false });
    });
  }

  /** What has not been passed on yet. */
  takeUnsent(now: number): Contact[] {
    const unsent = [...this.records].filter(([, { isForwarded }]) => !isForwarded);
    return unsent.map(([id, entry]) => {
      entry.isForwarded = true;
      return { id, index: entry.index, ageMs: now - entry.at };
    });
  }

  /** The pass failed; pass these on again. */
  markUnsent(contacts: readonly Contact[]): void {
    contacts.forEach(({ id }) => {
      const entry = this.records.get(id);
      if (entry !== undefined) entry.isForwarded = false;
    });
  }

  forget(id: string): void {
    this.records.delete(id);
  }
}
