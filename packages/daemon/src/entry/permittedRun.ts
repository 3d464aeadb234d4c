/**
 * A run of a request that the quarantine permits, and what its course proves: a complete answer clears the request, and
 * an answer that has begun clears the parts of its prompt. Both hold also for a run that wasn't suspect when it started.
 */
import * as domain from '@celerydrift/domain';
import type * as messages from '../fleet/messages';

const { isPart } = domain.quarantine.partFingerprint;

/** What a run has proved; `sentAt` by this entry's clock, undefined where it doesn't matter. */
export type Conclusion = Omit<messages.CanaryEnded, 'sentAgoMs'> & { sentAt: number | undefined };

export interface Dependencies {
  /** This entry's copy of the fleet's suspects. */
  quarantine: domain.quarantine.quarantine.Quarantine;
  /** Canary runs of this entry. */
  canaryRuns: domain.quarantine.canaryRuns.CanaryRuns;
  /** Reports to the leader what the run has proved, or that a canary run has ended. */
  report: (conclusion: Conclusion) => void;
  now: () => number;
}

export interface Options {
  id: string;
  /** Fingerprints of which it is a canary run. */
  canaryOf: readonly string[];
  /** Crashes that count against it. */
  endings: number;
  /** The target that must run it; undefined for any. */
  target: string | undefined;
  /** Fingerprints of the request and of its parts that are suspect now. */
  suspects: () => readonly string[];
}

export class PermittedRun {
  readonly kind = 'granted';

  /** Fingerprints of which it still is a canary run. */
  private readonly pending: Set<string>;

  /** When its current attempt was sent, and whether that has begun to answer. */
  private sentAt = Infinity;

  constructor(
    private readonly options: Options,
    private readonly dependencies: Dependencies,
  ) {
    this.pending = new Set(options.canaryOf);
  }

  /** Crashes that count against it; if there are any, it is a canary run. */
  get endings(): number {
    return this.options.endings;
  }

  get target(): string | undefined {
    return this.options.target;
  }

  isCanaryOf(fingerprint: string): boolean {
    return this.options.canaryOf.includes(fingerprint);
  }

  /** Called when the request is sent to a target. */
  sent(): void {
    this.sentAt = this.dependencies.now();
  }

  /** Called when the first event of the answer has arrived. */
  began(): void {
    const { hasSuspectParts } = this.dependencies.quarantine;
    const suspects = hasSuspectParts ? this.options.suspects() : [];
    const parts = [...this.pending, ...suspects].filter(isPart);
    new Set(parts).forEach((part) => this.clearPart(part));
  }

  /** Called when the run is over, with whether it completed. */
  end(ranWhole: boolean): void {
    if (ranWhole) this.began();
    const completed = ranWhole ? this.options.suspects().filter((each) => !isPart(each)) : [];
    new Set([...this.pending, ...completed]).forEach((each) => this.conclude(each, ranWhole));
  }

  private clearPart(part: string): void {
    // Applied here at once, so that others with the part needn't wait for the leader's update.
    const isCleared = this.dependencies.quarantine.began(part, this.sentAt) !== undefined;
    if (isCleared || this.pending.has(part)) this.conclude(part, true, this.sentAt);
  }

  private conclude(fingerprint: string, ranWhole: boolean, sentAt?: number): void {
    const { canaryRuns, report } = this.dependencies;
    const { id } = this.options;
    this.pending.delete(fingerprint);
    canaryRuns.end(fingerprint, id);
    report({ content: fingerprint, id, ranWhole, sentAt });
  }
}
