/**
 * What one more reading on an engine would mean at a moment: for the request itself, for those who write there,
 * and for the prompts that the engine reads already.
 */
import type * as load from './load';
import type * as reading from './reading';

/** A prompt that one more reading holds up. */
export interface Delay {
  reading: reading.Reading;
  /** When it will have been read without the further reading, and with it. */
  sooner: number;
  later: number;
}

/**
 * Part of a caller's longest pause that predictions may use up. The rest covers the way of an event to
 * the caller, prompts that arrive in the same pass, and the model's error.
 */
const PAUSE_SHARE = 0.85;

export class Outlook {
  /** Time until a prompt that is read alone could begin, milliseconds. */
  readonly pendingMs: number;

  /** How much more reading the next pass takes before a pause of someone who writes there is too long. */
  readonly allowanceMs: number;

  private readonly restMs: number;

  private readonly waitingMs: number;

  private readonly passMs: number;

  private readonly isWriting: boolean;

  private known: Delay[] | undefined;

  constructor(
    readonly load: load.Load,
    private readonly now: number,
  ) {
    this.restMs = load.queue.restMs(now);
    this.waitingMs = load.queue.waitingMs(now);
    this.pendingMs = this.restMs + this.waitingMs;
    this.passMs = load.passMs();
    this.isWriting = load.isWriting;
    this.allowanceMs = PAUSE_SHARE * load.tightestPauseMs - this.passMs - this.waitingMs;
  }

  /** Time to the first token of a prompt of which `readMs` are read here, milliseconds. */
  firstTokenMs(readMs: number, isPart: boolean): number {
    const ownMs = this.load.pace * readMs;
    if (this.isWriting) return this.pendingMs + ownMs + this.passMs;
    return (isPart ? this.restMs : this.pendingMs) + ownMs;
  }

  /** Whether those who write here bear a reading of `readMs` once what waits has been read. */
  bears(readMs: number): boolean {
    return this.passMs + this.load.pace * readMs <= PAUSE_SHARE * this.load.tightestPauseMs;
  }

  /** Value of the writers here whose pauses a further reading of `readMs` makes too long. */
  valueAtRisk(readMs: number): number {
    const pauseMs = this.passMs + this.waitingMs + readMs;
    return this.load.valueOfTighter(pauseMs / PAUSE_SHARE);
  }

  /** The readings here that end later with a further one of `readMs`. */
  delays(readMs: number, isPart: boolean): Delay[] {
    if (!isPart && !this.isWriting) return [];
    const ownMs = this.load.pace * readMs;
    this.known ??= this.load.queue.waitingShares(this.now).map(({ reading: each, endsAt }) => {
      return { reading: each, sooner: each.endsAt(this.now), later: endsAt };
    });
    return this.known.map((each) => ({
      ...each,
      later: Math.max(each.sooner, each.later + ownMs),
    }));
  }
}

/** What is lost by delays, in tokens of work; a reading that several engines delay counts once. */
export function lossBy(delays: readonly Delay[]): number {
  const latest = new Map<reading.Reading, Delay>();
  delays.forEach((each) => {
    const known = latest.get(each.reading);
    if (known === undefined || known.later < each.later) latest.set(each.reading, each);
  });
  const losses = [...latest.values()].map((each) => each.reading.lossBy(each.sooner, each.later));
  return losses.reduce((sum, each) => sum + each, 0);
}
