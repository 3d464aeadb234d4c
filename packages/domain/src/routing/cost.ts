/**
 * Engine time per prompt token, learned from answers. No step times are published, and attention
 * makes tokens of long prompts more expensive, so each band has its own cost. All targets of a
 * dispatcher share it, which makes it converge about twenty times as fast; a factor per target
 * covers different hardware.
 */
import * as band from './band';

/** Initial estimate, in milliseconds per token. */
const INITIAL_MS: band.PerBand<number> = { short: 0.01, medium: 0.01, long: 0.015 };

/** Weight of a new observation in the shared cost and in a target's factor. */
const WEIGHT = { shared: 0.05, own: 0.05 };

/** Observations outside this factor of the current estimate are clipped to it. */
const CLIP_FACTOR = 3;

/** Fixed time of a request on an idle engine, in milliseconds: one engine step. */
const BASE_MS = 12;

/** Shorter prompts are mostly fixed time and carry no information about the cost per token. */
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

  /** Milliseconds for one prompt on the idle target. */
  serviceMs(inBand: band.Band, tokens: number): number {
    return BASE_MS + tokens * this.perToken(inBand);
  }

  /**
   * Learns from a prompt that took `tookMs` from dispatch to first token, of which `aheadMs` was
   * the expected wait.
   */
  learn(inBand: band.Band, tokens: number, tookMs: number, aheadMs: number): void {
    const own = tookMs - BASE_MS;
    // Waiting distorts the measurement, so only requests that hardly waited count.
    if (own <= 0 || tokens < MIN_TOKENS || aheadMs > own / 3) return;
    const observed = (own - aheadMs / 2) / tokens;
    const ratio = clipped(observed / this.shared.of(inBand), 1);
    this.factor += WEIGHT.own * (ratio - this.factor);
    this.shared.learn(inBand, observed);
  }
}
