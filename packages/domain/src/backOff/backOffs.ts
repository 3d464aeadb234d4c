/**
 * Targets that turned a message of this VM away and asked it to back off. Until the time is over they get nothing but what keeps alive
 * the requests that they have. After it they get few requests at first, twice as many with each answer: all that waited for the
 * moment would only be turned away again.
 *
 * What starts at a target's address under another id begins without. One that starts again under its id doesn't: its sender may hear of
 * the start after the answer, and couldn't tell which lifetime gave it.
 */

/** Longest time that is kept to, milliseconds: one that is meant for good, or mistaken, must not take a target out of use for good. */
export const MAX_BACK_OFF_MS = 600_000;

/** Messages about requests that run already which a target gets while it wants nothing. */
const MAX_UPKEEP_MESSAGES = 2;

/** So many answers after the time show that a target takes requests like any other. */
const ANSWERS_TO_RECOVER = 4;

interface BackOff {
  until: number;
  /** Messages about running requests that were sent since it began. */
  upkeep: number;
  /** Requests sent after it ended whose answers are still to come, and the answers so far. */
  inFlight: number;
  answers: number;
}

/** A message under way to a target; knows what it counts against. */
export interface Passage {
  /** An answer came that asks for nothing. */
  answered: () => void;
  /** It is over, with or without an answer. */
  ended: () => void;
}

const UNCOUNTED: Passage = { answered: () => undefined, ended: () => undefined };

export class BackOffs {
  private readonly backOffs = new Map<string, BackOff>();

  get size(): number {
    return this.backOffs.size;
  }

  /** Ids of targets that have asked, also those whose time is over and that haven't answered often enough since. */
  get targets(): string[] {
    return [...this.backOffs.keys()];
  }

  /** A target asks; how long it is left alone from now on comes back, milliseconds. */
  ask(target: string, forMs: number, now: number): number {
    const known = this.backOffs.get(target);
    const until = Math.max(known?.until ?? now, now + Math.min(forMs, MAX_BACK_OFF_MS));
    if (until <= now) return 0;
    const upkeep = known !== undefined && now < known.until ? known.upkeep : 0;
    this.backOffs.set(target, { until, upkeep, inFlight: 0, answers: 0 });
    return until - now;
  }

  /** Whether a target takes a request from this VM now. */
  takesRequest(target: string, now: number): boolean {
    const known = this.backOffs.get(target);
    if (known === undefined) return true;
    return now >= known.until && known.inFlight < 2 ** known.answers;
  }

  /** Whether it takes a message about a request that it has. */
  takesUpkeep(target: string, now: number): boolean {
    const known = this.backOffs.get(target);
    return known === undefined || now >= known.until || known.upkeep < MAX_UPKEEP_MESSAGES;
  }

  /** How long a target still wants nothing, milliseconds; 0 where it may get a request, also if others are tried first. */
  waitMs(target: string, now: number): number {
    return Math.max(0, (this.backOffs.get(target)?.until ?? now) - now);
  }

  /** A message is sent to a target. */
  sent(target: string, now: number): Passage {
    const known = this.backOffs.get(target);
    if (known === undefined) return UNCOUNTED;
    if (now < known.until) {
      known.upkeep += 1;
      return UNCOUNTED;
    }
    known.inFlight += 1;
    return {
      answered: () => this.answered(target, known),
      ended: () => {
        known.inFlight -= 1;
      },
    };
  }

  /** A target is gone; one that is only presumed to be may come back before its time is over. */
  forget(target: string, now: number): void {
    if (this.waitMs(target, now) === 0) this.backOffs.delete(target);
  }

  private answered(target: string, known: BackOff): void {
    known.answers += 1;
    const hasRecovered = known.answers >= ANSWERS_TO_RECOVER;
    if (hasRecovered && this.backOffs.get(target) === known) this.backOffs.delete(target);
  }
}
