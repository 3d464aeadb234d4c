/** An engine with published figures, targets that run one, and prompts for them. */
import type * as catalogue from '../../../catalogue/catalogue';
import type * as registry from '../../../registry/registry';
import type * as allocator from '../../allocator';

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

export const SERVICE: catalogue.Service = {
  name: 'engines',
  healthPath: '/health',
  maxConnections: 200,
  engine: ENGINE,
};

export function target(index: number): registry.Announcement {
  return {
    id: `t${index}`,
    service: 'engines',
    address: `10.0.0.${index}:80`,
    dataCentre: 'east',
    slots: 11,
    state: 'ready',
    bornAt: 0,
    sequence: 1,
  };
}

/** A short prompt. */
export function request(id: string, more: Partial<allocator.Request> = {}): allocator.Request {
  return {
    id,
    entry: 'e1',
    service: 'engines',
    tokens: 5_000,
    answerTokens: 1_600,
    objectiveMs: 300,
    pauseMs: 250,
    waitedMs: 0,
    dataCentre: 'east',
    excluded: [],
    ...more,
  };
}

/** Properties in which a long prompt differs from a short one. */
export const LONG = { tokens: 154_000, answerTokens: 800, objectiveMs: 3_000, pauseMs: 1_000 };
