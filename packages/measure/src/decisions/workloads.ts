/**
 * Loads of the laboratory, as data: who asks for what, when it comes in bursts, and which engines fail. The first three are
 * as the users' sheets describe their traffic; the others are unlike any of them.
 */
import * as domain from '@celerydrift/domain';

export interface RequestKind {
  name: string;
  perSecond: number;
  /** Mean prompt and its spread (standard deviation of the logarithm), tokens. */
  tokens: number;
  spread: number;
  maxTokens: number;
  /** Mean number of events of an answer. */
  events: number;
  objectiveMs: number;
  pauseMs: number;
  /** What an answer in time and a late one are worth. */
  worth: number;
  lateWorth: number;
}

export interface Burst {
  /** Name of a kind, or all. */
  kind: string;
  fromSecond: number;
  toSecond: number;
  rateFactor: number;
}

export interface Fault {
  kind: 'dark' | 'slow';
  engines: number;
  fromSecond: number;
  toSecond: number;
}

export interface Workload {
  name: string;
  engines: number;
  engine: domain.catalogue.catalogue.Engine;
  seconds: number;
  kinds: readonly RequestKind[];
  bursts: readonly Burst[];
  faults: readonly Fault[];
}

const ENGINE: domain.catalogue.catalogue.Engine = {
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

const SHORT: RequestKind = {
  name: 'short',
  perSecond: 30,
  tokens: 4_960,
  spread: 0.8,
  maxTokens: 23_800,
  events: 33,
  objectiveMs: 300,
  pauseMs: 250,
  worth: 1.3,
  lateWorth: 0.33,
};

const MEDIUM: RequestKind = {
  name: 'medium',
  perSecond: 1.5,
  tokens: 45_000,
  spread: 0.5,
  maxTokens: 110_000,
  events: 20,
  objectiveMs: 1_500,
  pauseMs: 600,
  worth: 4.2,
  lateWorth: 1,
};

const LONG: RequestKind = {
  name: 'long',
  perSecond: 0.92,
  tokens: 154_000,
  spread: 0.5,
  maxTokens: 700_000,
  events: 16,
  objectiveMs: 3_000,
  pauseMs: 1_000,
  worth: 21,
  lateWorth: 5.2,
};

const USUAL_KINDS = [SHORT, MEDIUM, LONG];

/** Bursts that come one after the other, as on the users' heavy days. */
const BURSTS: Burst[] = [
  { kind: 'all', fromSecond: 2, toSecond: 11, rateFactor: 1.4 },
  { kind: 'short', fromSecond: 12, toSecond: 21, rateFactor: 2.8 },
];

const BASE = { engines: 21, engine: ENGINE, seconds: 30, bursts: [], faults: [] };

export const WORKLOADS: readonly Workload[] = [
  { ...BASE, name: 'usual', kinds: USUAL_KINDS },
  { ...BASE, name: 'bursts', kinds: USUAL_KINDS, bursts: BURSTS },
  {
    ...BASE,
    name: 'grown',
    engines: 69,
    engine: { ...ENGINE, slots: 8, memoryTokens: 267_750 },
    kinds: [
      { ...SHORT, perSecond: 78 },
      { ...MEDIUM, perSecond: 4.9 },
      { ...LONG, perSecond: 2.1, tokens: 220_000, objectiveMs: 4_000, worth: 29, lateWorth: 7.4 },
    ],
    bursts: BURSTS,
  },
  {
    ...BASE,
    name: 'dark',
    kinds: USUAL_KINDS,
    faults: [{ kind: 'dark', engines: 4, fromSecond: 8, toSecond: 13 }],
  },
  {
    ...BASE,
    name: 'slow',
    kinds: USUAL_KINDS,
    faults: [{ kind: 'slow', engines: 4, fromSecond: 6, toSecond: 20 }],
  },
  { ...BASE, name: 'onlyLong', kinds: [{ ...LONG, perSecond: 2 }] },
  {
    ...BASE,
    name: 'fewEngines',
    engines: 5,
    kinds: [
      { ...SHORT, perSecond: 9 },
      { ...MEDIUM, perSecond: 0.8, objectiveMs: 2_500 },
    ],
  },
  {
    ...BASE,
    name: 'alike',
    kinds: [
      {
        ...SHORT,
        name: 'chat',
        tokens: 20_000,
        maxTokens: 60_000,
        objectiveMs: 900,
        perSecond: 9,
      },
      { ...MEDIUM, name: 'report', perSecond: 5, pauseMs: 300, objectiveMs: 2_000 },
    ],
    bursts: [{ kind: 'report', fromSecond: 10, toSecond: 16, rateFactor: 2.5 }],
  },
];
