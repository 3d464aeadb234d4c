/** An engine with the users' published figures. */
import type * as catalogue from '../../../catalogue/catalogue';

export const ENGINE: catalogue.Engine = {
  slots: 11,
  memoryTokens: 315_000,
  stepsPerPass: 51,
  stepMs: 0.85,
  writerStepMs: 0.0062,
  contextStepMs: 0.00285,
  readTokensPerMs: 177,
  pairMsPerMillion: 0.184,
  chunkTokens: 2_048,
  hopMs: 0.05,
  usualAnswerTokens: 1_600,
};
