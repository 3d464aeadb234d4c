/**
 * Parameters of the engine stand-in. The users gave no step times, so these are round figures for one
 * server with eight accelerators; docs/MEASUREMENTS.md says where they come from and tries others.
 */
export interface Parameters {
  /** KV memory in tokens. The longest prompts are more than twice this. */
  memoryTokens: number;
  /** Prompt tokens prefilled in one step, at most. */
  stepTokens: number;
  /** Time of a step that carries nothing, in milliseconds. */
  stepBaseMs: number;
  /** Time per prompt token at the start of its context, in milliseconds. */
  tokenMs: number;
  /** Context length at which attention has doubled the time per prompt token. */
  attentionTokens: number;
  /** Time per decoding stream in a step, in milliseconds. */
  streamMs: number;
  /** Requests in the batch, at most. */
  maxStreams: number;
  /** Age of the load that the engine reports, in milliseconds. */
  loadLagMs: number;
  /** Share of cache events that are lost. */
  eventLoss: number;
}

export const DEFAULT_PARAMETERS: Parameters = {
  memoryTokens: 450_000,
  stepTokens: 3_072,
  stepBaseMs: 10,
  tokenMs: 0.012,
  attentionTokens: 200_000,
  streamMs: 0.06,
  maxStreams: 256,
  loadLagMs: 250,
  eventLoss: 0.02,
};
