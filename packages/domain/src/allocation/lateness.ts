/** Penalty for the wait until the first token, as a fraction of the request's value. */

/**
 * Fractions of the objective between which a predicted first token goes from in time to late. The
 * range is wide, as predictions are off by an engine step or two.
 */
const IN_TIME_FRACTION = 0.6;
const LATE_FRACTION = 1;

/**
 * Penalty of an answer that just misses its objective; callers value late answers at about a
 * quarter.
 */
export const LATE_PENALTY = 0.75;

/** Additional penalty per objective of further delay; prefers the sooner of two late answers. */
const LATE_PENALTY_SLOPE = 0.02;

/**
 * Callers wait up to this many objectives for a first token and then leave; a later answer is lost.
 */
const ABANDONED_FRACTION = 4;

/**
 * 0 for a first token well in time, most of the value for a late one, all of it once the caller has
 * left.
 */
export function latenessPenalty(ms: number, objectiveMs: number): number {
  const fraction = ms / objectiveMs;
  if (fraction <= IN_TIME_FRACTION) return 0;
  if (fraction >= ABANDONED_FRACTION) return 1 + (fraction - ABANDONED_FRACTION) / 100;
  if (fraction >= LATE_FRACTION)
    return LATE_PENALTY + LATE_PENALTY_SLOPE * (fraction - LATE_FRACTION);
  return (LATE_PENALTY * (fraction - IN_TIME_FRACTION)) / (LATE_FRACTION - IN_TIME_FRACTION);
}
