/** What a caller loses by waiting for its first token, as a part of what its request is worth. */

/**
 * Shares of the objective between which a predicted first token turns from surely in time to surely late.
 * Wide, as the prediction misses by a pass or two.
 */
const IN_TIME_FRACTION = 0.6;
const LATE_FRACTION = 1;

/** What a late answer is worth less than one in time; callers' own figures lie around a quarter. */
export const LATE_PENALTY = 0.75;

/** Further loss for each objective that an answer is later; prefers the sooner of two late ones. */
const LATE_PENALTY_SLOPE = 0.02;

/**
 * Callers wait for a first token up to this many objectives, and leave; an answer after that is lost. From the
 * users' pages.
 */
const ABANDONED_FRACTION = 4;

/** Nothing where the first token comes well in time, most where it is late, all where its caller has left by then. */
export function latenessPenalty(ms: number, objectiveMs: number): number {
  const fraction = ms / objectiveMs;
  if (fraction <= IN_TIME_FRACTION) return 0;
  if (fraction >= ABANDONED_FRACTION) return 1 + (fraction - ABANDONED_FRACTION) / 100;
  if (fraction >= LATE_FRACTION)
    return LATE_PENALTY + LATE_PENALTY_SLOPE * (fraction - LATE_FRACTION);
  return (LATE_PENALTY * (fraction - IN_TIME_FRACTION)) / (LATE_FRACTION - IN_TIME_FRACTION);
}
