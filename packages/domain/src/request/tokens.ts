/**
 * Estimates prompt tokens from bytes, with a ratio per model that is learned from engines' reports.
 */

/** Initial bytes per token; typical of English text. */
export const INITIAL_BYTES_PER_TOKEN = 4;

const LEARNING_WEIGHT = 0.1;

/** Ratios outside this range are reporting errors. */
const BYTES_PER_TOKEN_RANGE = { low: 0.5, high: 16 };

export class Estimator {
  private readonly bytesPerToken = new Map<string, number>();

  estimate(model: string, bytes: number): number {
    return Math.max(1, Math.round(bytes / this.bytesPerTokenOf(model)));
  }

  learn(model: string, bytes: number, tokens: number): void {
    const observed = bytes / tokens;
    if (!(observed >= BYTES_PER_TOKEN_RANGE.low && observed <= BYTES_PER_TOKEN_RANGE.high)) return;
    const current = this.bytesPerTokenOf(model);
    this.bytesPerToken.set(model, current + LEARNING_WEIGHT * (observed - current));
  }

  bytesPerTokenOf(model: string): number {
    return this.bytesPerToken.get(model) ?? INITIAL_BYTES_PER_TOKEN;
  }
}
