/**
 * What one more reading on an engine would mean at a moment: for the request itself, for those who write there,
 * and for the prompts that the engine reads already.
 */
import type * as load from './load';
import type * as reading from './reading';

/** A prompt that one more reading holds up. */
export interface Delay {
  prefill: reading.Reading;
  /** When it will have been read without the further reading, and with it. */
  sooner: number;
  later: number;
}

/**
 * Part of a caller's longest pause that predictions may use up. The rest covers the way of an event to
 * the caller, prompts that arrive in the same pass, and the model's error.
 */
const GAP_FRACTION = 0.85;

export class LoadForecast {
  /** Time until a prompt that is read alone could begin, milliseconds. */
  readonly pendingMs: number;

  /** How much more reading the next pass takes before a pause of someone who writes there is too long. */
  readonly allowanceMs: number;

  private readonly stepRestMs: number;

  private readonly waitingMs: number;

  private readonly engineStepMs: number;

  private readonly isDecoding: boolean;

  private pendingDelays: Delay[] | undefined;

  constructor(
    readonly load: load.Load,
    private readonly now: number,
  ) {
    this.stepRestMs = load.prefillQueue.stepRestMs(now);
    this.waitingMs = load.prefillQueue.waitingMs(now);
    this.pendingMs = this.stepRestMs + this.waitingMs;
    this.engineStepMs = load.passMs();
    this.isDecoding = load.isWriting;
    this.allowanceMs = GAP_FRACTION * load.tightestGapMs - this.engineStepMs - this.waitingMs;
  }

  /** Time to the first token of a prompt of which `readMs` are read here, milliseconds. */
  firstTokenMs(prefillMs: number, isPart: boolean): number {
    const partMs = this.load.slowdown * prefillMs;
    if (this.isDecoding) return this.pendingMs + partMs + this.engineStepMs;
    return (isPart ? this.stepRestMs : this.pendingMs) + partMs;
  }

  /** Whether those who write here bear a reading of `readMs` once what waits has been read. */
  tolerates(prefillMs: number): boolean {
    return (
      this.engineStepMs + this.load.slowdown * prefillMs <= GAP_FRACTION * this.load.tightestGapMs
    );
  }

  /** Value of the writers here whose pauses a further reading of `readMs` makes too long. */
  valueAtRisk(prefillMs: number): number {
    const gapMs = this.engineStepMs + this.waitingMs + prefillMs;
    return this.load.valueWithTighterGap(gapMs / GAP_FRACTION);
  }

  /** The readings here that end later with a further one of `readMs`. */
  delays(prefillMs: number, isPart: boolean): Delay[] {
    if (!isPart && !this.isDecoding) return [];
    const partMs = this.load.slowdown * prefillMs;
    this.pendingDelays ??= this.load.prefillQueue
      .waitingShares(this.now)
      .map(({ prefill: each, endsAt }) => {
        return { prefill: each, sooner: each.endsAt(this.now), later: endsAt };
      });
    return this.pendingDelays.map((each) => ({
      ...each,
      later: Math.max(each.sooner, each.later + partMs),
    }));
  }
}

/** What is lost by delays, in tokens of work; a reading that several engines delay counts once. */
export function delayPenalty(delays: readonly Delay[]): number {
  const latest = new Map<reading.Reading, Delay>();
  delays.forEach((each) => {
    const known = latest.get(each.prefill);
    if (known === undefined || known.later < each.later) latest.set(each.prefill, each);
  });
  const penalties = [...latest.values()].map((each) =>
    each.prefill.penaltyOfDelay(each.sooner, each.later),
  );
  return penalties.reduce((sum, each) => sum + each, 0);
}
