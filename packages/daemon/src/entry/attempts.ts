/**
 * Tracks the targets of a request, and decides where it may go next. A route limits the number of targets that a
 * request is sent to, but it may return to a target that guaranteed not to have run it, and a stream that has begun to
 * any of its targets. Without the former, requests failed with seconds left because a prefill helper of their second
 * target had died.
 */
import type * as domain from '@celerydrift/domain';

type Lifetime = domain.quarantine.crashedLifetimes.Lifetime;

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

/** Pause before a request returns to a target that it was sent to, milliseconds: two engine steps. */
const RETURN_PAUSE_MS = 100;

/** The longest such pause; it doubles with each return that fails, which another one may well do too. */
const MAX_RETURN_PAUSE_MS = 1_600;

export class Attempts {
  /** Targets of all attempts in order, also for the log. */
  readonly targets: string[] = [];

  /** The same without those that no longer count. */
  private counted: string[] = [];

  /** Start time of the lifetime that the last attempt was made at; 0 if it isn't known. */
  private lastBornAt = 0;

  /** Start times of the lifetimes that it was sent to. */
  private readonly sent = new Map<string, number>();

  private readonly refused = new Set<string>();

  private readonly refusedForHelper = new Set<string>();

  private sameTargetRetries = 0;

  /** Returns to targets that neither completed the request nor refused it. */
  private failedReturns = 0;

  /** Whether the request may return to any target that it was sent to, not only to those that refused it. */
  private mayReturnToAll = false;

  constructor(private readonly maxTargets: number) {}

  begin(target: string, bornAt = 0): void {
    this.lastBornAt = bornAt;
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

  /**
   * Allows new attempts in place of those at targets that were unreachable, and returns to all targets, for a stream that
   * has begun. Its caller can't be told to come back, and returns add no target to those that have run it. Targets that
   * are gone make room for others: it can't return to them, and whatever they ran has ended.
   */
  startOver(isGone: (lifetime: Lifetime) => boolean): void {
    this.sent.forEach((bornAt, id) => {
      if (!isGone({ id, bornAt })) return;
      this.sent.delete(id);
      this.refused.delete(id);
    });
    this.counted = [...this.sent.keys()];
    this.sameTargetRetries = 0;
    this.mayReturnToAll = true;
  }

  ended({ target, wasSent, wasRefused, wasHelperAtFault }: AttemptOutcome): void {
    if (wasSent && !wasRefused && this.sent.has(target)) this.failedReturns += 1;
    if (wasSent) this.sent.set(target, this.lastBornAt);
    if (wasRefused) this.refused.add(target);
    else this.refused.delete(target);
    if (wasRefused && wasHelperAtFault) this.refusedForHelper.add(target);
    else this.refusedForHelper.delete(target);
  }

  /** Whether the route's limit is reached, so that no further target may get the request. */
  get isAtTargetLimit(): boolean {
    return this.sent.size >= this.maxTargets;
  }

  /** How long to wait before the request returns to a target, milliseconds. */
  get returnPauseMs(): number {
    return Math.min(MAX_RETURN_PAUSE_MS, RETURN_PAUSE_MS * 2 ** this.failedReturns);
  }

  /** Targets that the request shouldn't be placed on. */
  get excluded(): string[] {
    if (this.isAtTargetLimit) return [];
    return this.counted.filter((target) => !this.refusedForHelper.has(target));
  }

  /** The only targets that the request may be sent to; undefined for any. */
  get writers(): string[] | undefined {
    return this.isAtTargetLimit ? [...this.returnable.keys()] : undefined;
  }

  /** Targets that a stream that has begun may return to from another one; none on a route that allows one target. */
  returnsFrom(activeTarget: string): string[] {
    if (this.maxTargets === 1) return [];
    return [...this.sent.keys()].filter((target) => target !== activeTarget);
  }

  private get returnable(): ReadonlySet<string> | ReadonlyMap<string, number> {
    return this.mayReturnToAll ? this.sent : this.refused;
  }

  /** Whether another attempt is allowed, at any target; `activeTarget` is the target of the current attempt, if any. */
  hasAttemptLeft(activeTarget: string | undefined): boolean {
    const isSent = activeTarget !== undefined && !this.sent.has(activeTarget);
    if (this.sent.size + (isSent ? 1 : 0) < this.maxTargets) {
      return this.counted.length - this.sameTargetRetries < this.maxTargets + MAX_UNREACHABLE;
    }
    // A route that allows one target allows one attempt.
    if (this.maxTargets === 1 || activeTarget !== undefined) return false;
    return this.returnable.size > 0 && this.sameTargetRetries < MAX_SAME_TARGET_RETRIES;
  }
}
