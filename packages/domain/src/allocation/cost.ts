/**
 * Cost model of an engine in milliseconds, from the figures that its service publishes. Each engine
 * step prefills the waiting prompts and, if any requests decode, runs a fixed number of decode
 * iterations for all of them. So prefilling a prompt delays every request that decodes on the same
 * engine.
 */
import type * as catalogue from '../catalogue/catalogue';

/** Prefill time on each engine for a prompt of `tokens` that is split evenly over `parts` engines. */
export function prefillMs(engine: catalogue.Engine, tokens: number, parts = 1): number {
  const pairsInMillions = (tokens * tokens) / 2 / 1_000_000;
  return (tokens / engine.readTokensPerMs + pairsInMillions * engine.pairMsPerMillion) / parts;
}

/** Duration of an engine step in which `decodingCount` requests with `contextTokens` in total decode. */
export function engineStepMs(
  engine: catalogue.Engine,
  decodingCount: number,
  contextTokens: number,
): number {
  const iterationMs =
    engine.stepMs +
    decodingCount * engine.writerStepMs +
    (contextTokens / 1_000) * engine.contextStepMs;
  return engine.stepsPerPass * iterationMs;
}
