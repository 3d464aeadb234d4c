/**
 * Workloads of the allocation simulation, as data: kinds of requests, bursts, and faults of engines. The first three
 * follow the known traffic of deployments; the others differ from all of them on purpose.
 */
import * as domain from '@celerydrift/domain';

export interface RequestKind {
  name: string;
  perSecond: number;
  /** Mean length of the prompts, which is log-normal, tokens. */
  tokens: number;
  /** Standard deviation of the logarithm of the length. */
  spread: number;
  maxTokens: number;
  /** Mean number of events in an answer. */
  events: number;
  /** Time to first token up to which an answer is in time, milliseconds. */
  objectiveMs: number;
  /** Longest gap between two events up to which an answer is in time, milliseconds. */
  pauseMs: number;
  /** Worth of an answer in time. */
  worth: number;
  /** Worth of a late answer. */
  lateWorth: number;
  organisation?: string;
  /** Urgency class; 0 is the most urgent. */
  urgency?: number;
}

export interface Burst {
  /** Name of a request kind, or `all`. */
  kind: string;
  fromSecond: number;
  toSecond: number;
  /** Factor on the arrival rate. */
  rateFactor: number;
}

export interface Fault {
  kind: 'unresponsive' | 'slow';
  /** Number of engines that it affects. */
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

/** Two bursts in succession, as in the heaviest known traffic: one of all requests, then one of short requests. */
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
    faults: [{ kind: 'unresponsive', engines: 4, fromSecond: 8, toSecond: 13 }],
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
