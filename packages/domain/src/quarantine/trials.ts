/**
 * Runs of suspects, one at a time for each content. Copies of a request come through several entries at once; without this
 * each would end a target of its own before the first end is known to count against them all.
 */

/** A run that nobody ended for so long is over, milliseconds; longer than any caller waits. */
const LONGEST_TRIAL_MS = 60_000;

interface Trial {
  id: string;
  entry: string;
  since: number;
}

export class Trials {
  private readonly byContent = new Map<string, Trial>();

  /** Begins a run of a content; false while another request with that content runs. */
  begin(content: string, { id, entry }: { id: string; entry: string }, now: number): boolean {
    const other = this.byContent.get(content);
    const isOver = other === undefined || now - other.since > LONGEST_TRIAL_MS;
    if (!isOver && !(other.id === id && other.entry === entry)) return false;
    this.byContent.set(content, { id, entry, since: now });
    return true;
  }

  end(content: string, id: string): void {
    if (this.byContent.get(content)?.id === id) this.byContent.delete(content);
  }

  /** Runs of an entry that is gone have ended with it. */
  forgetEntry(entry: string): void {
    this.byContent.forEach((trial, content) => {
      if (trial.entry === entry) this.byContent.delete(content);
    });
  }

  clear(): void {
    this.byContent.clear();
  }
}
