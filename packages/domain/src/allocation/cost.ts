/**
 * What work costs on an engine, in milliseconds, from the figures that its service publishes. An engine
 * computes in passes: each pass reads waiting prompts and, where requests write, runs a fixed number of
 * steps for all of them. So a prompt that is read delays everyone who writes on the same engine.
 */
import type * as catalogue from '../catalogue/catalogue';

/** Time to read a prompt of `tokens` whose work is split evenly over `parts` engines; per engine. */
export function readMs(engine: catalogue.Engine, tokens: number, parts = 1): number {
  const pairsInMillions = (tokens * tokens) / 2 / 1_000_000;
  return (tokens / engine.readTokensPerMs + pairsInMillions * engine.pairMsPerMillion) / parts;
}

/** Length of a pass in which `writers` requests with `contextTokens` between them write. */
export function engineStepMs(
  engine: catalogue.Engine,
  writers: number,
  contextTokens: number,
): number {
  const iterationMs =
    engine.stepMs + writers * engine.writerStepMs + (contextTokens / 1_000) * engine.contextStepMs;
  return engine.stepsPerPass * iterationMs;
}
