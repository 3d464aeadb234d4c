/**
 * What a prompt token costs in engine time, learned from answers. The users give no step times, and
 * attention makes long prompts dearer per token, so each band has a cost of its own. All targets of a
 * dispatcher share it, which learns twenty times as fast; a target's own factor covers unlike hardware.
 */
import * as band from './band';

/** First guess, in milliseconds per token, until answers teach better. */
const INITIAL_MS: band.PerBand<number> = { short: 0.01, medium: 0.01, long: 0.015 };

/** Weight of a new observation in the shared cost and in a target's factor. */
const WEIGHT = { shared: 0.05, own: 0.05 };

/** Observations outside this factor of the present belief are clipped to it. */
const CLIP_FACTOR = 3;

/** Fixed time of a request on an idle engine, in milliseconds: one step. */
const BASE_MS = 12;

/** Shorter prompts are mostly fixed time and teach nothing about tokens. */
const MIN_TOKENS = 512;

function clipped(value: number, around: number): number {
  return Math.min(around * CLIP_FACTOR, Math.max(around / CLIP_FACTOR, value));
}

/** The cost shared by all targets of a dispatcher. */
export class SharedCost {
  private readonly ms: band.PerBand<number> = { ...INITIAL_MS };

  of(inBand: band.Band): number {
    return this.ms[inBand];
  }

  learn(inBand: band.Band, observed: number): void {
    const current = this.ms[inBand];
    this.ms[inBand] = current + WEIGHT.shared * (clipped(observed, current) - current);
  }
}

/** The cost on one target. */
export class Cost {
  private factor = 1;

  constructor(private readonly shared: SharedCost) {}

  /** Milliseconds per prompt token of the band. */
  perToken(inBand: band.Band): number {
    return this.shared.of(inBand) * this.factor;
  }

  /** Milliseconds of one prompt on the idle target. */
  serviceMs(inBand: band.Band, tokens: number): number {
    return BASE_MS + tokens * this.perToken(inBand);
  }

  /** A prompt took so long from dispatch to first token, of which `aheadMs` was expected waiting. */
  learn(inBand: band.Band, tokens: number, tookMs: number, aheadMs: number): void {
    const own = tookMs - BASE_MS;
    // Waiting blurs the measurement, so only requests that hardly waited teach.
    if (own <= 0 || tokens < MIN_TOKENS || aheadMs > own / 3) return;
    const observed = (own - aheadMs / 2) / tokens;
    const ratio = clipped(observed / this.shared.of(inBand), 1);
    this.factor += WEIGHT.own * (ratio - this.factor);
    this.shared.learn(inBand, observed);
  }
}
