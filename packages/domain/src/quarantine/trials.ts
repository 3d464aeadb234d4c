/**
 * Runs of suspects, one at a time for each content. Copies of a request come through several entries at once; without this
 * each would end a target of its own before the first end is known to count against them all.
 */

/** A run that nobody ended for so long is over, milliseconds; longer than any caller waits. */
const MAX_CANARY_RUN_MS = 60_000;

export interface CanaryRun {
  id: string;
  entry: string;
  /** The target that it was given; undefined where an allocator chooses one. */
  target: string | undefined;
}

export class Trials {
  private readonly byFingerprint = new Map<string, CanaryRun & { since: number }>();

  /** Begins a run of a content; false while another request with that content runs. */
  begin(fingerprint: string, run: CanaryRun, now: number): boolean {
    if (!this.mayBegin(fingerprint, run, now)) return false;
    this.byFingerprint.set(fingerprint, { ...run, since: now });
    return true;
  }

  mayBegin(fingerprint: string, { id, entry }: Omit<CanaryRun, 'target'>, now: number): boolean {
    const current = this.byFingerprint.get(fingerprint);
    if (current === undefined || now - current.since > MAX_CANARY_RUN_MS) return true;
    return current.id === id && current.entry === entry;
  }

  /** Targets that run suspects. */
  get targets(): string[] {
    return [...this.byFingerprint.values()].flatMap(({ target }) =>
      target === undefined ? [] : [target],
    );
  }

  end(fingerprint: string, id: string): void {
    if (this.byFingerprint.get(fingerprint)?.id === id) this.byFingerprint.delete(fingerprint);
  }

  /** Runs of an entry that is gone have ended with it. */
  forgetEntry(entry: string): void {
    this.byFingerprint.forEach((trial, content) => {
      if (trial.entry === entry) this.byFingerprint.delete(content);
    });
  }

  clear(): void {
    this.byFingerprint.clear();
  }
}
