/** Percentiles and straight lines through measured points. */
import * as hdr from 'hdr-histogram-js';

export interface Percentiles {
  p50: number;
  p95: number;
  p99: number;
  count: number;
}

/** Recorded in hundredths, as the histogram holds whole numbers. */
const SCALE = 100;

export function percentiles(values: readonly number[]): Percentiles {
  const histogram = hdr.build({ numberOfSignificantValueDigits: 3 });
  values.forEach((value) => histogram.recordValue(Math.max(1, Math.round(value * SCALE))));
  const at = (share: number): number => histogram.getValueAtPercentile(share) / SCALE;
  return { p50: at(50), p95: at(95), p99: at(99), count: values.length };
}

export interface LineFit {
  slope: number;
  intercept: number;
}

/** Least squares through points (x, y). */
export function fitLine(points: readonly { x: number; y: number }[]): LineFit {
  const n = points.length;
  const meanX = points.reduce((sum, { x }) => sum + x, 0) / n;
  const meanY = points.reduce((sum, { y }) => sum + y, 0) / n;
  const covariance = points.reduce((sum, { x, y }) => sum + (x - meanX) * (y - meanY), 0);
  const variance = points.reduce((sum, { x }) => sum + (x - meanX) ** 2, 0);
  const slope = variance === 0 ? 0 : covariance / variance;
  return { slope, intercept: meanY - slope * meanX };
}

/** A mean of paired differences, and half of its 95% interval. */
export interface Difference {
  mean: number;
  within: number;
}

/** 97.5th percentile of the normal distribution. */
const NORMAL_975 = 1.96;

export function meanDifference(values: readonly number[]): Difference {
  const n = values.length;
  const mean = values.reduce((sum, value) => sum + value, 0) / n;
  const squares = values.reduce((sum, value) => sum + (value - mean) ** 2, 0);
  const deviation = n > 1 ? Math.sqrt(squares / (n - 1)) : 0;
  return { mean, within: (NORMAL_975 * deviation) / Math.sqrt(n) };
}

export function formatDifference({ mean, within }: Difference): string {
  return `${mean >= 0 ? '+' : ''}${mean.toFixed(4)} ± ${within.toFixed(4)}`;
}
