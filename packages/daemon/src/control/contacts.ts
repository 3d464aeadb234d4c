/**
 * Records when each downstream daemon was last in contact and which log index its view holds. A relay
 * keeps this for its followers and forwards updates upstream; the leader keeps it for all daemons and uses
 * it to decide whether a change is in force everywhere.
 */

export interface Contact {
  id: string;
  index: number;
  /** Milliseconds since the last contact, at the time of sending. */
  ageMs: number;
}

interface ContactRecord {
  index: number;
  at: number;
  /** Whether the record was sent upstream since it last changed. */
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
      const previous = this.records.get(id);
      const at = now - ageMs;
      if (previous !== undefined && previous.at >= at && previous.index >= index) return;
      const newest = Math.max(index, previous?.index ?? 0);
      this.records.set(id, {
        index: newest,
        at: Math.max(at, previous?.at ?? 0),
        isForwarded: false,
      });
    });
  }

  /** Contacts that have not been sent upstream yet; marks them as sent. */
  takeUnsent(now: number): Contact[] {
    const unsent = [...this.records].filter(([, { isForwarded }]) => !isForwarded);
    return unsent.map(([id, record]) => {
      record.isForwarded = true;
      return { id, index: record.index, ageMs: now - record.at };
    });
  }

  /** Marks contacts for another attempt after sending them failed. */
  markUnsent(contacts: readonly Contact[]): void {
    contacts.forEach(({ id }) => {
      const record = this.records.get(id);
      if (record !== undefined) record.isForwarded = false;
    });
  }

  forget(id: string): void {
    this.records.delete(id);
  }
}
