/**
 * Targets that rejected a message of this VM and asked it to back off. Until the time is over they
 * get only the messages that keep their running requests alive. After that they get few requests at
 * first, twice as many with each answer: all requests that waited for that moment would only be
 * rejected again.
 *
 * A target that starts under another id at the same address begins without a back-off. One that
 * restarts under its id keeps it: the sender may learn of the restart after the answer and couldn't
 * tell which lifetime sent it.
 */

/**
 * Longest back-off that is honoured, milliseconds: one that is permanent or mistaken must not take
 * a target out of use for good.
 */
export const MAX_BACK_OFF_MS = 600_000;

/** Messages about running requests that a target gets during its back-off. */
const MAX_UPKEEP_MESSAGES = 2;

/** After this many answers since its back-off ended, a target gets requests like any other. */
const ANSWERS_TO_RECOVER = 4;

interface BackOff {
  until: number;
  /** Messages about running requests that were sent during it. */
  upkeep: number;
  /** Requests sent after it ended that are in flight, and answers since. */
  inFlight: number;
  answers: number;
}

/** A message in flight to a target; knows which back-off it counts for. */
export interface InFlightMessage {
  /** An answer arrived that requests no back-off. */
  answered: () => void;
  /** The message has ended, with or without an answer. */
  ended: () => void;
}

const UNCOUNTED: InFlightMessage = { answered: () => undefined, ended: () => undefined };

export class BackOffs {
  private readonly backOffs = new Map<string, BackOff>();

  get size(): number {
    return this.backOffs.size;
  }

  /**
   * Ids of targets with a back-off, including those whose time is over but that haven't answered
   * often enough since.
   */
  get targets(): string[] {
    return [...this.backOffs.keys()];
  }

  /**
   * A target requests a back-off; returns for how long it is honoured from now on, milliseconds.
   */
  start(target: string, forMs: number, now: number): number {
    const backOff = this.backOffs.get(target);
    const until = Math.max(backOff?.until ?? now, now + Math.min(forMs, MAX_BACK_OFF_MS));
    if (until <= now) return 0;
    const upkeep = backOff !== undefined && now < backOff.until ? backOff.upkeep : 0;
    this.backOffs.set(target, { until, upkeep, inFlight: 0, answers: 0 });
    return until - now;
  }

  /** Whether a target may get a request from this VM now. */
  mayReceiveRequest(target: string, now: number): boolean {
    const backOff = this.backOffs.get(target);
    if (backOff === undefined) return true;
    return now >= backOff.until && backOff.inFlight < 2 ** backOff.answers;
  }

  /** Whether it may get a message about one of its running requests. */
  mayReceiveUpkeep(target: string, now: number): boolean {
    const backOff = this.backOffs.get(target);
    return backOff === undefined || now >= backOff.until || backOff.upkeep < MAX_UPKEEP_MESSAGES;
  }

  /**
   * Remaining time of a target's back-off, milliseconds; 0 where it may get a request, even if
   * others are preferred.
   */
  waitMs(target: string, now: number): number {
    return Math.max(0, (this.backOffs.get(target)?.until ?? now) - now);
  }

  /** Counts a message that is sent to a target. */
  sent(target: string, now: number): InFlightMessage {
    const backOff = this.backOffs.get(target);
    if (backOff === undefined) return UNCOUNTED;
    if (now < backOff.until) {
      backOff.upkeep += 1;
      return UNCOUNTED;
    }
    backOff.inFlight += 1;
    return {
      answered: () => this.answered(target, backOff),
      ended: () => {
        backOff.inFlight -= 1;
      },
    };
  }

  /**
   * A target is gone; the back-off remains until its time is over, as a target that is only
   * presumed gone may return.
   */
  forget(target: string, now: number): void {
    if (this.waitMs(target, now) === 0) this.backOffs.delete(target);
  }

  private answered(target: string, backOff: BackOff): void {
    backOff.answers += 1;
    const hasRecovered = backOff.answers >= ANSWERS_TO_RECOVER;
    if (hasRecovered && this.backOffs.get(target) === backOff) this.backOffs.delete(target);
  }
}
