/** What a caller loses by waiting for its first token, as a part of what its request is worth. */

/**
 * Shares of the objective between which a predicted first token turns from surely in time to surely late.
 * Wide, as the prediction misses by a pass or two.
 */
const SURELY_IN_TIME = 0.6;
const SURELY_LATE = 1;

/** What a late answer is worth less than one in time; callers' own figures lie around a quarter. */
export const LATE_LOSS = 0.75;

/** Further loss for each objective that an answer is later; prefers the sooner of two late ones. */
const LATE_SLOPE = 0.02;

/**
 * Callers wait for a first token up to this many objectives, and leave; an answer after that is lost. From the
 * users' pages.
 */
const GIVEN_UP = 4;

/** Nothing where the first token comes well in time, most where it is late, all where its caller has left by then. */
export function loss(ms: number, objectiveMs: number): number {
  const share = ms / objectiveMs;
  if (share <= SURELY_IN_TIME) return 0;
  if (share >= GIVEN_UP) return 1 + (share - GIVEN_UP) / 100;
  if (share >= SURELY_LATE) return LATE_LOSS + LATE_SLOPE * (share - SURELY_LATE);
  return (LATE_LOSS * (share - SURELY_IN_TIME)) / (SURELY_LATE - SURELY_IN_TIME);
}
