/** The log entries of one replica after its snapshot. All index arithmetic is in this module. */
import * as messages from './messages';

export class Log {
  private entries: messages.Entry[];

  snapshot: messages.Snapshot;

  constructor(snapshot: messages.Snapshot, entries: readonly messages.Entry[]) {
    this.snapshot = snapshot;
    this.entries = entries.filter(({ index }) => index > snapshot.index);
  }

  get lastIndex(): number {
    return this.snapshot.index + this.entries.length;
  }

  get lastTerm(): number {
    return this.entries.at(-1)?.term ?? this.snapshot.term;
  }

  /** Entries kept after the snapshot. */
  get length(): number {
    return this.entries.length;
  }

  /** The term at `index`; undefined beyond the end of the log and before its snapshot. */
  termAt(index: number): number | undefined {
    if (index === this.snapshot.index) return this.snapshot.term;
    return this.at(index)?.term;
  }

  at(index: number): messages.Entry | undefined {
    return this.entries[index - this.snapshot.index - 1];
  }

  /** Up to `limit` entries, starting at `index`. */
  from(index: number, limit: number): messages.Entry[] {
    const start = index - this.snapshot.index - 1;
    return this.entries.slice(start, start + limit);
  }

  append(entries: readonly messages.Entry[]): void {
    this.entries.push(...entries);
  }

  truncate(from: number): void {
    this.entries.length = Math.max(0, from - this.snapshot.index - 1);
  }

  /** Replaces the entries that the snapshot covers; later ones stay if they agree with it. */
  compact(snapshot: messages.Snapshot): void {
    const agrees = this.termAt(snapshot.index) === snapshot.term;
    this.entries = agrees ? this.from(snapshot.index + 1, Infinity) : [];
    this.snapshot = snapshot;
  }

  /** The latest replica set at or before `index`, committed or not. */
  membersAt(index: number): messages.Member[] {
    for (let i = index; i > this.snapshot.index; i--) {
      const entry = this.at(i);
      if (entry?.kind === 'members') return entry.members;
    }
    return this.snapshot.members;
  }

  /** Index of the latest change of the replica set, or the snapshot's. */
  get membersIndex(): number {
    for (let i = this.lastIndex; i > this.snapshot.index; i--) {
      if (this.at(i)?.kind === 'members') return i;
    }
    return this.snapshot.index;
  }
}
