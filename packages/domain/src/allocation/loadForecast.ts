/**
 * Forecasts what one more prefill on an engine would mean at a given time: for the request itself,
 * for the requests that decode there and for the prompts already in its queue.
 */
import type * as load from './load';
import type * as prefills from './prefill';

/** A prompt that one more prefill delays. */
export interface Delay {
  prefill: prefills.Prefill;
  /** When its prefill ends without and with the additional one. */
  sooner: number;
  later: number;
}

/**
 * Fraction of a caller's maximum inter-token gap that predictions may use. The rest covers the
 * transmission of an event to the caller, prompts that arrive during the same engine step and the
 * model's error.
 */
const GAP_FRACTION = 0.85;

export class LoadForecast {
  /** Time until the prefill of a whole prompt could begin, milliseconds. */
  readonly pendingMs: number;

  /**
   * How much more prefill the next step can take before a gap of a decoding request becomes too
   * long.
   */
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
    this.engineStepMs = load.engineStepMs();
    this.isDecoding = load.isDecoding;
    this.allowanceMs = GAP_FRACTION * load.tightestGapMs - this.engineStepMs - this.waitingMs;
  }

  /**
   * Time to the first token of a prompt of which this engine prefills `prefillMs`, milliseconds.
   */
  firstTokenMs(prefillMs: number, isPart: boolean): number {
    const partMs = this.load.slowdown * prefillMs;
    if (this.isDecoding) return this.pendingMs + partMs + this.engineStepMs;
    return (isPart ? this.stepRestMs : this.pendingMs) + partMs;
  }

  /** Whether the decoding requests tolerate a prefill of `prefillMs` once the queue is empty. */
  tolerates(prefillMs: number): boolean {
    return (
      this.engineStepMs + this.load.slowdown * prefillMs <= GAP_FRACTION * this.load.tightestGapMs
    );
  }

  /**
   * Total value of the decoding requests whose gaps become too long by a further prefill of
   * `prefillMs`.
   */
  valueAtRisk(prefillMs: number): number {
    const gapMs = this.engineStepMs + this.waitingMs + prefillMs;
    return this.load.valueWithTighterGap(gapMs / GAP_FRACTION);
  }

  /** Prefills on this engine that end later with a further one of `prefillMs`. */
  delays(prefillMs: number, isPart: boolean): Delay[] {
    if (!isPart && !this.isDecoding) return [];
    const partMs = this.load.slowdown * prefillMs;
    this.pendingDelays ??= this.load.prefillQueue
      .pendingParts(this.now)
      .map(({ prefill: each, endsAt }) => {
        return { prefill: each, sooner: each.endsAt(this.now), later: endsAt };
      });
    return this.pendingDelays.map((each) => ({
      ...each,
      later: Math.max(each.sooner, each.later + partMs),
    }));
  }
}

/** Penalty of delays, in tokens of work; a prefill that several engines delay counts once. */
export function delayPenalty(delays: readonly Delay[]): number {
  const latest = new Map<prefills.Prefill, Delay>();
  delays.forEach((each) => {
    const latestDelay = latest.get(each.prefill);
    if (latestDelay === undefined || latestDelay.later < each.later) latest.set(each.prefill, each);
  });
  const penalties = [...latest.values()].map((each) =>
    each.prefill.penaltyOfDelay(each.sooner, each.later),
  );
  return penalties.reduce((sum, each) => sum + each, 0);
}
