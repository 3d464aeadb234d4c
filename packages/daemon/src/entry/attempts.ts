/**
 * Which targets a request was placed on and sent to, and where it may go next. A route bounds the targets that a request
 * is sent to; one that said for certain that it didn't run it may be asked once more. Without that, requests ended
 * with seconds left because a helper of their second target had died.
 */

/** What became of a request at a target. */
export interface AttemptOutcome {
  target: string;
  /** Whether bytes of the request may have reached the target. */
  wasSent: boolean;
  /** Whether the target, in the lifetime that was meant, promised that it didn't run it. */
  wasRefused: boolean;
  /** Whether it refused because of another target, that was to help it. */
  wasHelperAtFault: boolean;
}

/** Targets that couldn't be reached, beyond the route's bound on those that a request is sent to. */
const MAX_UNREACHABLE = 2;

/** How often a request goes once more to a target that refused it. */
const MAX_SAME_TARGET_RETRIES = 2;

export class Attempts {
  /** All placements in their order, for the log. */
  readonly targets: string[] = [];

  private readonly sent = new Set<string>();

  private readonly refused = new Set<string>();

  private readonly refusedForHelper = new Set<string>();

  private sameTargetRetries = 0;

  constructor(private readonly maxTargets: number) {}

  begin(target: string): void {
    if (this.sent.has(target)) this.sameTargetRetries += 1;
    this.targets.push(target);
  }

  ended({ target, wasSent, wasRefused, wasHelperAtFault }: AttemptOutcome): void {
    if (wasSent) this.sent.add(target);
    if (wasRefused) this.refused.add(target);
    else this.refused.delete(target);
    if (wasRefused && wasHelperAtFault) this.refusedForHelper.add(target);
    else this.refusedForHelper.delete(target);
  }

  /** Whether no further target may be sent to, and one that refused must take it. */
  get isAtTargetLimit(): boolean {
    return this.sent.size >= this.maxTargets;
  }

  /** Targets that it shouldn't be placed on. */
  get excluded(): string[] {
    if (this.isAtTargetLimit) return [];
    return this.targets.filter((target) => !this.refusedForHelper.has(target));
  }

  /** The only targets that it may be sent to; undefined for any. */
  get writers(): string[] | undefined {
    return this.isAtTargetLimit ? [...this.refused] : undefined;
  }

  /** Whether it may be sent once more, to whatever target; `underWay` where it is with one now. */
  hasAttemptLeft(activeTarget: string | undefined): boolean {
    const isSent = activeTarget !== undefined && !this.sent.has(activeTarget);
    if (this.sent.size + (isSent ? 1 : 0) < this.maxTargets) {
      return this.targets.length - this.sameTargetRetries < this.maxTargets + MAX_UNREACHABLE;
    }
    // A route that allows one target means one attempt.
    if (this.maxTargets === 1 || activeTarget !== undefined) return false;
    return this.refused.size > 0 && this.sameTargetRetries < MAX_SAME_TARGET_RETRIES;
  }
}
