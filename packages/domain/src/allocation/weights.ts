/**
 * Weights of the planner in one place, so that a simulation can switch each off. Fractions refer to
 * the request's value; docs/DECISIONS-UNDER-LOAD.md has the effect of each.
 */

export interface Weights {
  /** Most engines that prefill one prompt; the engines' interface takes at most 17. */
  maxParts: number;
  /**
   * Most prompts that an engine prefills parts for as a helper. Engines prefill the newest part
   * first, so a second part delays the first; the planner accounts for that, but can't predict
   * later prompts or the placements of entries without a leader. In bursts of long prompts, a limit
   * of one reduced the prompt tokens that were prefilled twice by a quarter, compared with the
   * engine's slots as the only limit.
   */
  maxHelpedPrompts: number;
  /** Preference for the caller's own data centre, as milliseconds of the objective. */
  localPreferenceMs: number;
  /**
   * Bonus per decoding request with similarly tight gaps on an engine, so that other engines stay
   * free.
   */
  packBonus: number;
  /** Penalty of a wait as long as the objective, in addition to the lateness penalty. */
  waitPenalty: number;
  /** Penalty of a failure: a second target answers most failed requests, but most of them late. */
  failurePenalty: number;
  /**
   * Penalty of a plan on cold engines alone. Above the other preferences, so that warm engines are
   * used while these are in time, and well below the penalty of a late first token.
   */
  coldPenalty: number;
  /** Penalty per engine: it may fail, and prefills for no other prompt meanwhile. */
  partPenalty: number;
  /**
   * Penalty of parts that occupy their engines for as long as the objective: long parts block an
   * engine for short prompts.
   */
  blockPenalty: number;
  /**
   * Factor on the gap penalty of an engine whose decoding requests tolerate clearly shorter gaps
   * than the prompt's own caller: more such requests arrive before the part is prefilled.
   */
  tightGapFactor: number;
  /** Penalty per step of preference of a helper that is idle or has tighter gaps. */
  spreadPenalty: number;
  /** Whether delays of other prefills on the engines count. */
  countsDelays: boolean;
  /** Whether a prompt may be deferred where that has a lower penalty. */
  mayDefer: boolean;
  /** Whether a plan whose penalty exceeds the request's value is refused. */
  refusesAboveValue: boolean;
}

export const WEIGHTS: Weights = {
  maxParts: 17,
  maxHelpedPrompts: 1,
  localPreferenceMs: 3,
  packBonus: 0.01,
  waitPenalty: 0.002,
  failurePenalty: 0.5,
  coldPenalty: 0.1,
  partPenalty: 0.001,
  blockPenalty: 0.02,
  tightGapFactor: 2,
  spreadPenalty: 0.002,
  countsDelays: true,
  mayDefer: true,
  refusesAboveValue: true,
};
