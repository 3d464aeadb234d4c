/**
 * Moves a request from a target that is overdue to another one. Silence doesn't tell a target that is down from a sound
 * one, nor from a lost path of this VM, and all targets may be silent at once. So the present attempt goes on until another
 * target is in hand: placed, seen to respond, with the memory that the request needs on its prefill helpers.
 */
import type * as livenessProbes from './livenessProbes';
import type * as reservations from './reservations';
import type * as placementChoice from './placementChoice';

type Placed = placementChoice.Choice & { kind: 'placed' };

/** A target that may take over, with the memory that the request needs on its prefill helpers. */
export interface Successor {
  choice: Placed;
  memory: reservations.Reservations;
}

export interface Dependencies {
  /** Places the request on a target that isn't among `excluded` and may take over from the attempt. */
  choose: (excluded: readonly string[], attempt: OverdueAttempt) => Promise<placementChoice.Choice>;
  liveness: Pick<livenessProbes.LivenessProbes, 'check' | 'isRefusing'>;
  /** Memory of the request on prefill helpers; nothing is reserved yet. */
  newMemory: () => Successor['memory'];
  /** Whether the request may move now; if so, spends the retry that this takes. */
  mayMove: () => boolean;
  now: () => number;
}

/** The attempt that may be given up. */
export interface OverdueAttempt {
  target: string;
  /** Whether it still is in progress and overdue. */
  isOverdue: () => boolean;
  /** Whether the request may be sent to another target beside this one. */
  hasAttemptsLeft: () => boolean;
  /** Whether a response may still arrive from its target. */
  isResponsive: () => Promise<boolean>;
  /** Gives it up; called at most once. */
  giveUp: (successor: Successor) => void;
}

/** Maximum number of targets that are tried in one search. */
const MAX_CANDIDATES = 3;

/** Pause between two searches for the same request, milliseconds. */
const SEARCH_INTERVAL_MS = 250;

export class Succession {
  private isSearching = false;

  private nextSearchAt = -Infinity;

  /** Targets that didn't respond; tried again once there is no other. */
  private unresponsive: string[] = [];

  constructor(private readonly dependencies: Dependencies) {}

  /** Looks for a successor, unless a search is under way or ended a moment ago. */
  async seek(attempt: OverdueAttempt): Promise<void> {
    const { now } = this.dependencies;
    if (this.isSearching || now() < this.nextSearchAt) return;
    this.isSearching = true;
    try {
      await this.search(attempt);
    } finally {
      this.isSearching = false;
      this.nextSearchAt = now() + SEARCH_INTERVAL_MS;
    }
  }

  private async search(attempt: OverdueAttempt): Promise<void> {
    for (let tried = 0; tried < MAX_CANDIDATES && attempt.isOverdue(); tried++) {
      const choice = await this.dependencies.choose(this.unresponsive, attempt);
      if (choice.kind === 'noPlace') {
        this.unresponsive = [];
        return;
      }
      const successor = { choice, memory: this.dependencies.newMemory() };
      const end = await this.tryOut(successor, attempt);
      if (end === 'taken') return;
      release(successor);
      if (end === 'notNeeded') return;
      this.unresponsive.push(choice.placement.target);
    }
  }

  /** Gives up the attempt if a successor responds, has its memory, and may take over. */
  private async tryOut(
    successor: Successor,
    attempt: OverdueAttempt,
  ): Promise<'taken' | 'notNeeded' | 'unfit'> {
    const { choice, memory } = successor;
    try {
      const isFit =
        attempt.isOverdue() &&
        (await this.responds(choice)) &&
        (await memory.reserveAll(choice.placement.helpers));
      if (!attempt.isOverdue()) return 'notNeeded';
      if (!isFit) return 'unfit';
      if (!this.dependencies.mayMove()) return 'notNeeded';
    } catch (error) {
      release(successor);
      throw error;
    }
    attempt.giveUp(successor);
    return 'taken';
  }

  /** Whether the target responds to this VM without refusing its probe, or to another one that can relay. */
  private async responds({ placement: { target, address } }: Placed): Promise<boolean> {
    const { liveness } = this.dependencies;
    const verdict = await liveness.check(target, address);
    return verdict === 'pathLost' || (verdict === 'alive' && !liveness.isRefusing(target));
  }
}

/** Releases a successor that isn't used. */
export function release({ choice, memory }: Successor): void {
  memory.release();
  choice.release('cancelled');
}
