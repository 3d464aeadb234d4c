/**
 * Parameters of the engine stand-in. The defaults are round figures for one server with eight
 * accelerators; docs/MEASUREMENTS.md gives their sources and compares other values.
 */
export interface Parameters {
  /** KV memory in tokens. The longest prompts need more than twice as much. */
  memoryTokens: number;
  /** Maximum number of prompt tokens prefilled in one step. */
  stepTokens: number;
  /** Duration of an empty step, in milliseconds. */
  stepBaseMs: number;
  /** Prefill time per prompt token at the start of the context, in milliseconds. */
  tokenMs: number;
  /** Context length, in tokens, at which attention doubles the prefill time per token. */
  attentionTokens: number;
  /** Time that each decoding stream adds to a step, in milliseconds. */
  streamMs: number;
  /** Maximum number of requests in the batch. */
  maxStreams: number;
  /** Age of the load that the engine reports, in milliseconds. */
  loadLagMs: number;
  /** Fraction of cache events that is lost. */
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
