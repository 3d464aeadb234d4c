/**
 * What the planner weighs, in one place, so that a simulation can switch each off. Shares are of what the request is
 * worth; what each buys is told in docs/DECISIONS-UNDER-LOAD.md.
 */

export interface Weights {
  /** Most engines that read one prompt; the engines' interface takes no more than 17. */
  mostParts: number;
  /**
   * Prompts that an engine helps to read at once. A second part makes the first wait, as engines read the newest first. The
   * planner counts that, but can't know what comes next, nor what entries without a leader do: on days with bursts of
   * long prompts, a quarter fewer prompt tokens were read twice than with as many as an engine takes.
   */
  mostHelped: number;
  /** Preference for the caller's own data centre, as milliseconds of its objective. */
  nearMs: number;
  /** Preference for an engine for each request there with equally tight pauses, so that others stay clear. */
  packGain: number;
  /** Loss by a wait of the whole objective that still leaves the answer in time. */
  waitLoss: number;
  /** Loss by a failure: a second target answers most, and most of them late. */
  failureLoss: number;
  /** Cost of one more engine for a prompt: it may fail, and reads for nobody else meanwhile. */
  partLoss: number;
  /** Cost of keeping each engine for the whole objective: long parts shut an engine for short prompts. */
  blockLoss: number;
  /**
   * What a part spoils where callers bear less than this one's, against what the writers there are worth now: others
   * come before the part is read.
   */
  tightRisk: number;
  /** Cost of help by an engine that is idle or whose callers bear less, in steps. */
  spreadLoss: number;
  /** Whether it counts that engines' other readings end later. */
  countsDelays: boolean;
  /** Whether a prompt may begin later where that spoils less. */
  mayPostpone: boolean;
  /** Whether a plan that spoils more than its request is worth isn't begun. */
  refusesHarmful: boolean;
}

export const WEIGHTS: Weights = {
  mostParts: 17,
  mostHelped: 1,
  nearMs: 3,
  packGain: 0.01,
  waitLoss: 0.002,
  failureLoss: 0.5,
  partLoss: 0.001,
  blockLoss: 0.02,
  tightRisk: 2,
  spreadLoss: 0.002,
  countsDelays: true,
  mayPostpone: true,
  refusesHarmful: true,
};
