/**
 * Runs of suspects, one at a time for each content. Copies of a request come through several entries at once; without this
 * each would end a target of its own before the first end is known to count against them all.
 */

/** A run that nobody ended for so long is over, milliseconds; longer than any caller waits. */
const LONGEST_TRIAL_MS = 60_000;

export interface Trial {
  id: string;
  entry: string;
  /** The target that it was given; undefined where an allocator chooses one. */
  target: string | undefined;
}

export class Trials {
  private readonly byContent = new Map<string, Trial & { since: number }>();

  /** Begins a run of a content; false while another request with that content runs. */
  begin(content: string, trial: Trial, now: number): boolean {
    if (!this.mayBegin(content, trial, now)) return false;
    this.byContent.set(content, { ...trial, since: now });
    return true;
  }

  mayBegin(content: string, { id, entry }: Omit<Trial, 'target'>, now: number): boolean {
    const other = this.byContent.get(content);
    if (other === undefined || now - other.since > LONGEST_TRIAL_MS) return true;
    return other.id === id && other.entry === entry;
  }

  /** Targets that run suspects. */
  get targets(): string[] {
    return [...this.byContent.values()].flatMap(({ target }) =>
      target === undefined ? [] : [target],
    );
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
