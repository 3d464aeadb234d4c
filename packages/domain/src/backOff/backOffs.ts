/**
 * Targets that rejected a message of this VM and asked it to back off. Until the time is over they
 * get only the messages that keep their running requests alive. After that they get few requests at
 * first, twice as many with each answer: all requests that waited for that moment would only be
 * rejected again.
 *
 * A back-off ends with the lifetime that asked for it. An answer doesn't tell which of two
 * lifetimes under one id sent it, so one that came shortly before the news of a restart is taken
 * for the later lifetime's.
 */
import type * as crashedLifetimes from '../quarantine/crashedLifetimes';

type Lifetime = crashedLifetimes.Lifetime;

/**
 * Longest back-off that is honoured, milliseconds: one that is permanent or mistaken must not take
 * a target out of use for good.
 */
export const MAX_BACK_OFF_MS = 600_000;

/**
 * How long after a restart its news may arrive, milliseconds: a target that a partition hid
 * announces itself within 1,200, and a follower that missed the push polls after 500.
 */
const NEWS_DELAY_MS = 2_000;

/** Messages about running requests that a target gets during its back-off. */
const MAX_UPKEEP_MESSAGES = 2;

/** After this many answers since its back-off ended, a target gets requests like any other. */
const ANSWERS_TO_RECOVER = 4;

interface BackOff {
  /** Start time of the lifetime that asked for it, and when it last did. */
  bornAt: number;
  askedAt: number;
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
  start({ id: target, bornAt }: Lifetime, forMs: number, now: number): number {
    const backOff = this.backOffs.get(target);
    const until = Math.max(backOff?.until ?? now, now + Math.min(forMs, MAX_BACK_OFF_MS));
    if (until <= now) return 0;
    const upkeep = backOff !== undefined && now < backOff.until ? backOff.upkeep : 0;
    const counts = { upkeep, inFlight: 0, answers: 0 };
    this.backOffs.set(target, { bornAt, askedAt: now, until, ...counts });
    return until - now;
  }

  /**
   * A lifetime is known to run; ends the back-off of another one under its id. `informedSince` is
   * the time since which news of restarts have reached this VM without an interruption.
   */
  observe({ id, bornAt }: Lifetime, informedSince: number, now: number): void {
    const backOff = this.backOffs.get(id);
    if (backOff === undefined || backOff.bornAt === bornAt) return;
    const { askedAt } = backOff;
    const isOfFormer = askedAt >= informedSince && now - askedAt > NEWS_DELAY_MS;
    if (isOfFormer) this.backOffs.delete(id);
    else backOff.bornAt = bornAt;
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
