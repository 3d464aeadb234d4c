/**
 * Tracks the targets of a request, and decides where it may go next. A route limits the number of targets that a
 * request is sent to, but it may return to a target that guaranteed not to have run it. Without that, requests failed
 * with seconds left because a prefill helper of their second target had died.
 */

/** Outcome of an attempt at a target. */
export interface AttemptOutcome {
  target: string;
  /** Whether bytes of the request may have reached the target. */
  wasSent: boolean;
  /** Whether the addressed lifetime guaranteed that it didn't run the request. */
  wasRefused: boolean;
  /** Whether it refused because of one of its prefill helpers. */
  wasHelperAtFault: boolean;
}

/** Maximum number of unreachable targets, on top of the route's limit of targets that a request is sent to. */
const MAX_UNREACHABLE = 2;

/** Maximum number of returns to targets that refused the request. */
const MAX_SAME_TARGET_RETRIES = 2;

export class Attempts {
  /** Targets of all attempts in order, also for the log. */
  readonly targets: string[] = [];

  /** The same without those that no longer count. */
  private counted: string[] = [];

  private readonly sent = new Set<string>();

  private readonly refused = new Set<string>();

  private readonly refusedForHelper = new Set<string>();

  private sameTargetRetries = 0;

  constructor(private readonly maxTargets: number) {}

  begin(target: string): void {
    if (this.sent.has(target)) this.sameTargetRetries += 1;
    this.targets.push(target);
    this.counted.push(target);
  }

  /** Takes the last attempt back: nothing was sent, as the target is unavailable. */
  withdraw(target: string): void {
    if (this.sent.has(target)) this.sameTargetRetries -= 1;
    this.targets.pop();
    this.counted.pop();
  }

  /** Allows new attempts in place of those at targets that were unreachable, and of returns to targets that refused. */
  startOver(): void {
    this.counted = [...this.sent];
    this.sameTargetRetries = 0;
  }

  ended({ target, wasSent, wasRefused, wasHelperAtFault }: AttemptOutcome): void {
    if (wasSent) this.sent.add(target);
    if (wasRefused) this.refused.add(target);
    else this.refused.delete(target);
    if (wasRefused && wasHelperAtFault) this.refusedForHelper.add(target);
    else this.refusedForHelper.delete(target);
  }

  /** Whether the route's limit is reached, so that only targets that refused the request may still get it. */
  get isAtTargetLimit(): boolean {
    return this.sent.size >= this.maxTargets;
  }

  /** Targets that the request shouldn't be placed on. */
  get excluded(): string[] {
    if (this.isAtTargetLimit) return [];
    return this.counted.filter((target) => !this.refusedForHelper.has(target));
  }

  /** The only targets that the request may be sent to; undefined for any. */
  get writers(): string[] | undefined {
    return this.isAtTargetLimit ? [...this.refused] : undefined;
  }

  /** Whether another attempt is allowed, at any target; `activeTarget` is the target of the current attempt, if any. */
  hasAttemptLeft(activeTarget: string | undefined): boolean {
    const isSent = activeTarget !== undefined && !this.sent.has(activeTarget);
    if (this.sent.size + (isSent ? 1 : 0) < this.maxTargets) {
      return this.counted.length - this.sameTargetRetries < this.maxTargets + MAX_UNREACHABLE;
    }
    // A route that allows one target allows one attempt.
    if (this.maxTargets === 1 || activeTarget !== undefined) return false;
    return this.refused.size > 0 && this.sameTargetRetries < MAX_SAME_TARGET_RETRIES;
  }
}
