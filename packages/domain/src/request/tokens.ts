/**
 * Estimates prompt tokens from bytes. The ratio is learned per model from what engines report.
 */

/** Bytes per token before anything is learned; typical of English text. */
export const INITIAL_RATIO = 4;

const LEARNING_WEIGHT = 0.1;

/** Ratios outside this range are errors of the report. */
const RATIO_RANGE = { low: 0.5, high: 16 };

export class Estimator {
  private readonly ratios = new Map<string, number>();

  estimate(model: string, bytes: number): number {
    return Math.max(1, Math.round(bytes / this.ratio(model)));
  }

  learn(model: string, bytes: number, tokens: number): void {
    const seen = bytes / tokens;
    if (!(seen >= RATIO_RANGE.low && seen <= RATIO_RANGE.high)) return;
    const believed = this.ratio(model);
    this.ratios.set(model, believed + LEARNING_WEIGHT * (seen - believed));
  }

  ratio(model: string): number {
    return this.ratios.get(model) ?? INITIAL_RATIO;
  }
}
