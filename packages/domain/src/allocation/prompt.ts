/** A prompt to be placed on engines. */

export interface Prompt {
  tokens: number;
  /** Expected length of the answer, tokens. */
  answerTokens: number;
  /** Objective for the time to the first token, milliseconds. */
  objectiveMs: number;
  /** Longest inter-token gap that the caller tolerates, milliseconds. */
  pauseMs: number;
  /** How long the caller has already waited, milliseconds. */
  waitedMs: number;
  dataCentre: string;
  /** The only targets that may decode the answer; undefined for any. */
  writers?: readonly string[];
}
