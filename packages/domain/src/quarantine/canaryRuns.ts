/**
 * Canary runs: each suspect request runs once at a time. Several entries receive copies of a
 * request at the same time; without this each copy would crash a target before the first crash is
 * known to count against them all.
 */

import * as partFingerprint from './partFingerprint';

/**
 * A run without a reported end is over after this long, milliseconds; longer than any caller waits.
 */
const MAX_CANARY_RUN_MS = 60_000;

/**
 * How long a canary run of a part keeps others with the part waiting, milliseconds. A long prompt takes longer to begin
 * its answer, and many requests may share its part; another canary run costs one more target at most.
 */
const MAX_PART_CANARY_RUN_MS = 1_000;

export interface CanaryRun {
  id: string;
  entry: string;
  /** The assigned target; undefined where an allocator chooses one. */
  target: string | undefined;
}

export class CanaryRuns {
  private readonly byFingerprint = new Map<string, CanaryRun & { since: number }>();

  /** Begins a canary run; false while another request with the same fingerprint runs. */
  begin(fingerprint: string, run: CanaryRun, now: number): boolean {
    if (!this.mayBegin(fingerprint, run, now)) return false;
    this.byFingerprint.set(fingerprint, { ...run, since: now });
    return true;
  }

  mayBegin(fingerprint: string, { id, entry }: Omit<CanaryRun, 'target'>, now: number): boolean {
    const current = this.byFingerprint.get(fingerprint);
    if (current === undefined || now - current.since > maxRunMs(fingerprint)) return true;
    return current.id === id && current.entry === entry;
  }

  /** Targets with a canary run. */
  get targets(): string[] {
    return [...this.byFingerprint.values()].flatMap(({ target }) =>
      target === undefined ? [] : [target],
    );
  }

  end(fingerprint: string, id: string): void {
    if (this.byFingerprint.get(fingerprint)?.id === id) this.byFingerprint.delete(fingerprint);
  }

  /** Ends the runs of an entry that is gone. */
  forgetEntry(entry: string): void {
    this.byFingerprint.forEach((run, fingerprint) => {
      if (run.entry === entry) this.byFingerprint.delete(fingerprint);
    });
  }

  clear(): void {
    this.byFingerprint.clear();
  }
}

function maxRunMs(fingerprint: string): number {
  return partFingerprint.isPart(fingerprint) ? MAX_PART_CANARY_RUN_MS : MAX_CANARY_RUN_MS;
}
