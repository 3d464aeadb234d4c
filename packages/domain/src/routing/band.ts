/**
 * Bands of prompt length, and the elastic reserve of targets that is kept clear of longer work. Short
 * requests must not wait behind long ones; a fixed partition would keep them apart, but leaves targets
 * idle on one side while the other queues. So only a reserve is fenced off, as large as short demand
 * needs and as the rest can spare, and short requests may use idle targets of the rest as well.
 */

export type Band = 'short' | 'medium' | 'long';

export const BANDS: readonly Band[] = ['short', 'medium', 'long'];

/** Longest prompt of a band, in tokens. */
export interface Thresholds {
  short: number;
  medium: number;
}

export const DEFAULT_THRESHOLDS: Thresholds = { short: 8_192, medium: 100_000 };

export function bandOf(tokens: number, thresholds: Thresholds): Band {
  if (tokens <= thresholds.short) return 'short';
  return tokens <= thresholds.medium ? 'medium' : 'long';
}

export type PerBand<T> = Record<Band, T>;

/** Demand of each band in engine-milliseconds per millisecond: how many targets it keeps busy. */
export type Demand = PerBand<number>;

export interface ReservePlan {
  /** Targets in the reserve for each that short demand keeps busy, at least. */
  shortHeadroom: number;
  /** Targets left to longer work for each that it keeps busy; what is beyond joins the reserve. */
  otherHeadroom: number;
  /** How far, in targets, the wish must be from the present size before the size changes. */
  hysteresis: number;
}

export const DEFAULT_PLAN: ReservePlan = {
  shortHeadroom: 2,
  otherHeadroom: 1.25,
  hysteresis: 0.75,
};

/**
 * Size of the reserve among `count` targets, moving from `current` only where the wish is further away
 * than the hysteresis: a target that joins has to finish its longer work first, so flapping costs.
 */
export function reserveSize(
  count: number,
  demand: Demand,
  othersWait: boolean,
  current: number | undefined,
  plan: ReservePlan,
): number {
  const others = demand.medium + demand.long;
  if (others === 0) return count;
  const needed = demand.short * plan.shortHeadroom;
  const surplus = count - others * plan.otherHeadroom;
  // While longer work waits, the reserve keeps only what short demand needs.
  const desired = othersWait ? needed : Math.max(needed, surplus);
  const bounded = Math.min(Math.max(desired, count > 1 ? 1 : 0), count - 1);
  const isWithinHysteresis =
    current !== undefined && Math.abs(bounded - current) <= plan.hysteresis;
  return isWithinHysteresis && current < count ? current : Math.round(bounded);
}
