/**
 * Bands of prompt length. Short requests must not wait behind long ones, so each target serves one
 * band at a time, and how many targets a band has follows its demand.
 */

export type Band = 'short' | 'medium' | 'long';

export const BANDS: readonly Band[] = ['short', 'medium', 'long'];

/** Longest prompt of a band, in tokens. */
export interface Thresholds {
  short: number;
  medium: number;
}

export const DEFAULT_THRESHOLDS: Thresholds = { short: 8_192, medium: 65_536 };

export function bandOf(tokens: number, thresholds: Thresholds): Band {
  if (tokens <= thresholds.short) return 'short';
  return tokens <= thresholds.medium ? 'medium' : 'long';
}

export type PerBand<T> = Record<Band, T>;

/** Demand of each band in engine-milliseconds per millisecond: how many targets it keeps busy. */
export type Demand = PerBand<number>;

export interface Plan {
  /** Extra targets a band gets beyond its demand, as a factor on the demand. */
  headroom: PerBand<number>;
  /** How far, in targets, the wish must be from the present size before the size changes. */
  hysteresis: number;
}

export const DEFAULT_PLAN: Plan = {
  headroom: { short: 1.6, medium: 1.15, long: 1 },
  hysteresis: 0.75,
};

/** Spreads `count` targets over the bands in proportion to `weights`, one at least for each in use. */
export function ideal(count: number, weights: Demand): Demand {
  const total = BANDS.reduce((sum, band) => sum + weights[band], 0);
  if (total === 0) return { short: count, medium: 0, long: 0 };
  const share = (band: Band): number => (weights[band] / total) * count;
  return { short: share('short'), medium: share('medium'), long: share('long') };
}

/**
 * Sizes of the bands for `count` targets, moving from `current` only where the wish is further away
 * than the hysteresis: a target that changes band drains for a while, so flapping costs capacity.
 */
export function sizes(
  count: number,
  demand: Demand,
  current: PerBand<number> | undefined,
  plan: Plan,
): PerBand<number> {
  if (count < BANDS.length) return { short: count, medium: 0, long: 0 };
  const weights = {
    short: demand.short * plan.headroom.short,
    medium: demand.medium * plan.headroom.medium,
    long: demand.long * plan.headroom.long,
  };
  const wish = ideal(count, weights);
  const total = current === undefined ? 0 : current.short + current.medium + current.long;
  const settled = (band: Band): boolean =>
    current !== undefined && Math.abs(wish[band] - current[band]) <= plan.hysteresis;
  if (current !== undefined && total === count && BANDS.every(settled)) return current;
  const used = (band: Band): number => (demand[band] > 0 ? 1 : 0);
  const long = Math.max(used('long'), Math.round(wish.long));
  const medium = Math.max(used('medium'), Math.round(wish.medium));
  const short = Math.max(1, count - long - medium);
  const excess = short + medium + long - count;
  return { short, medium: Math.max(0, medium - Math.max(0, excess)), long };
}

/**
 * The band of each target: all daemons rank the same names alike, so they agree without asking but
 * for the targets next to a border while their views of demand differ.
 */
export function assign(ranked: readonly string[], size: PerBand<number>): Map<string, Band> {
  const assigned = new Map<string, Band>();
  ranked.forEach((name, position) => {
    if (position < size.short) assigned.set(name, 'short');
    else assigned.set(name, position < size.short + size.medium ? 'medium' : 'long');
  });
  return assigned;
}
