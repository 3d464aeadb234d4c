/**
 * Bands of prompt length, and the elastic reserve of targets that is kept free of longer work.
 * Short requests must not wait behind long ones. A fixed partition would separate them but leave
 * targets idle on one side while the other queues. So only a reserve is set aside, sized by short
 * demand and by what the rest can spare, and short requests may use idle targets of the rest as
 * well.
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

/**
 * Demand of each band in engine-milliseconds per millisecond: the number of targets it keeps busy.
 */
export type Demand = PerBand<number>;

export interface ReservePlan {
  /** Least number of targets in the reserve per target that short demand keeps busy. */
  shortHeadroom: number;
  /** Targets left to longer work per target that it keeps busy; the others join the reserve. */
  otherHeadroom: number;
  /** How far, in targets, the desired size must be from the current size before it changes. */
  hysteresis: number;
}

export const DEFAULT_PLAN: ReservePlan = {
  shortHeadroom: 2,
  otherHeadroom: 1.25,
  hysteresis: 0.75,
};

/**
 * Size of the reserve among `count` targets. It changes from `current` only where the desired size
 * differs by more than the hysteresis: a target that joins has to finish its longer work first, so
 * flapping is costly.
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
