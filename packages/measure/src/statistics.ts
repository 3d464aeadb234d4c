/** Percentiles, line fits and confidence intervals of measured values. */
import * as hdr from 'hdr-histogram-js';

export interface Percentiles {
  p50: number;
  p95: number;
  p99: number;
  count: number;
}

/** Values are recorded in hundredths, as the histogram holds integers only. */
const SCALE = 100;

export function percentiles(values: readonly number[]): Percentiles {
  const histogram = hdr.build({ numberOfSignificantValueDigits: 3 });
  values.forEach((value) => histogram.recordValue(Math.max(1, Math.round(value * SCALE))));
  const at = (percentile: number): number => histogram.getValueAtPercentile(percentile) / SCALE;
  return { p50: at(50), p95: at(95), p99: at(99), count: values.length };
}

export interface LineFit {
  slope: number;
  intercept: number;
}

/** Fits a line by least squares. */
export function fitLine(points: readonly { x: number; y: number }[]): LineFit {
  const n = points.length;
  const meanX = points.reduce((sum, { x }) => sum + x, 0) / n;
  const meanY = points.reduce((sum, { y }) => sum + y, 0) / n;
  const covariance = points.reduce((sum, { x, y }) => sum + (x - meanX) * (y - meanY), 0);
  const variance = points.reduce((sum, { x }) => sum + (x - meanX) ** 2, 0);
  const slope = variance === 0 ? 0 : covariance / variance;
  return { slope, intercept: meanY - slope * meanX };
}

/** Mean of paired differences with its 95% confidence interval. */
export interface Difference {
  mean: number;
  /** Half of the width of the interval. */
  within: number;
}

/** 97.5th percentile of the standard normal distribution. */
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
