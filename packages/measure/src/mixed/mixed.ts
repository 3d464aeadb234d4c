/**
 * Experiments of the scenario `mixed`: time to first token by prompt length, and the slowdown of short requests when
 * long ones share the fleet. Compares the production policy, naive policies and a clairvoyant one on the same arrivals.
 */
import * as domain from '@celerydrift/domain';
import * as standins from '@celerydrift/standins';
import * as statistics from '../statistics';
import * as simulation from './simulation';
import * as workload from './workload';

const { policy, dispatcher } = domain.routing;

export interface Experiment {
  /** Fraction of the time for which the arrivals keep the engines busy. */
  load: number;
  engines: number;
  daemons: number;
  seconds: number;
  longShare: number;
  skew: number;
  burst: number;
  /** Fraction of each engine that a legacy system uses. */
  legacyShare: number;
  prefixShare: number;
  seed: number;
  parameters: standins.parameters.Parameters;
}

export const DEFAULT_EXPERIMENT: Experiment = {
  load: 0.8,
  engines: 20,
  daemons: 8,
  seconds: 120,
  longShare: 0.02,
  skew: 0.4,
  burst: 0,
  legacyShare: 0,
  prefixShare: 0.3,
  seed: 1,
  parameters: standins.parameters.DEFAULT_PARAMETERS,
};

/** Upper bounds of the prompt length buckets, tokens. */
export const BUCKETS: readonly { name: string; upTo: number }[] = [
  { name: '1k', upTo: 2_000 },
  { name: '4k', upTo: 8_000 },
  { name: '16k', upTo: 32_000 },
  { name: '64k', upTo: 100_000 },
  { name: '256k', upTo: 400_000 },
  { name: '1M', upTo: 1_100_000 },
];

/** One-way delay between VMs, as between the data centres of a known deployment, milliseconds. */
const HOP_MS = 0.5;

/** Longest prompt of a short request, tokens. */
export const SHORT_TOKENS = 8_000;

export interface Result {
  /** Time to first token by bucket of prompt length, milliseconds. */
  ttft: Record<string, statistics.Percentiles>;
  /** Time to first token of short requests relative to a fleet that serves only these. */
  shortSlowdown: { p50: number; p99: number };
  short: statistics.Percentiles;
  long: statistics.Percentiles;
  served: number;
  refused: number;
  utilisation: number;
}

export interface Candidate {
  name: string;
  policy: (source: domain.shared.random.Random) => domain.routing.policy.Policy;
  /** Dispatchers see the true state of the engines. */
  clairvoyant?: boolean;
  /** Each daemon places its own requests instead of using the allocator. */
  placesLocally?: boolean;
  options?: Partial<domain.routing.dispatcher.Options>;
}

export const CANDIDATES: readonly Candidate[] = [
  { name: 'product', policy: (source) => new policy.ElasticReserve(source) },
  {
    name: 'withoutAllocator',
    policy: (source) => new policy.ElasticReserve(source),
    placesLocally: true,
  },
  { name: 'naive.roundRobin', policy: () => new policy.RoundRobin(), placesLocally: true },
  {
    name: 'naive.leastOutstanding',
    policy: (source) => new policy.LeastOutstanding(source),
    placesLocally: true,
  },
  { name: 'naive.fifo', policy: (source) => new policy.SharedFifo(source), placesLocally: true },
  { name: 'enginePriority', policy: () => new policy.EnginePriority(), placesLocally: true },
  { name: 'longCap', policy: () => new policy.LongCap(), placesLocally: true },
  {
    name: 'clairvoyant',
    policy: (source) => new policy.ElasticReserve(source),
    clairvoyant: true,
  },
];

/** Assumed inter-token gap, for the time in which an answer occupies memory; milliseconds. */
const TOKEN_GAP_MS = 30;

/**
 * Mean engine time of a request of the mix, milliseconds, by the scarcer resource of compute and memory: a request that
 * occupies half of an engine's memory for a second costs half a second.
 */
function meanServiceMs(experiment: Experiment): number {
  const mix = { ...workloadMix(experiment, 100), seconds: 400, burst: 0 };
  const { tokenMs, attentionTokens, stepBaseMs, stepTokens, streamMs, memoryTokens } =
    experiment.parameters;
  let compute = 0;
  let memory = 0;
  const arrivals = workload.arrivals(mix);
  arrivals.forEach(({ promptTokens, answerTokens }) => {
    const attentionFactor = 1 + promptTokens / 2 / attentionTokens;
    const prefillMs = promptTokens * tokenMs * attentionFactor;
    const stepMs = Math.ceil(promptTokens / stepTokens) * stepBaseMs;
    compute += prefillMs + stepMs + answerTokens * streamMs;
    const occupiedMs = prefillMs + stepMs + answerTokens * TOKEN_GAP_MS;
    memory += (occupiedMs * (promptTokens + answerTokens)) / memoryTokens;
  });
  return Math.max(compute, memory) / arrivals.length;
}

function workloadMix(experiment: Experiment, rate: number): workload.Mix {
  const { seconds, daemons, longShare, skew, prefixShare, burst, seed } = experiment;
  return { longShare, rate, seconds, daemons, skew, prefixShare, burst, seed };
}

/** Requests per second that keep the engines busy for the fraction `load` of the time. */
export function requestsPerSecond(experiment: Experiment): number {
  return (experiment.load * experiment.engines * 1_000) / meanServiceMs(experiment);
}

function simulate(
  experiment: Experiment,
  candidate: Candidate,
  arrivals: readonly workload.Arrival[],
  hash: domain.shared.hashing.Hash,
): simulation.Simulation {
  const simulated = new simulation.Simulation({
    engines: experiment.engines,
    daemons: experiment.daemons,
    parameters: experiment.parameters,
    policy: candidate.policy,
    dispatcher: { ...dispatcher.DEFAULT_OPTIONS, ...candidate.options },
    networkMs: HOP_MS,
    summaryMs: 1_000,
    allocatorHopMs:
      candidate.placesLocally === true || candidate.clairvoyant === true ? undefined : HOP_MS,
    clairvoyant: candidate.clairvoyant === true,
    legacyShare: experiment.legacyShare,
    hash,
    seed: experiment.seed,
  });
  simulated.run(arrivals);
  return simulated;
}

/** Simulates one candidate with all requests, and again with the short ones only. */
export function run(
  experiment: Experiment,
  candidate: Candidate,
  hash: domain.shared.hashing.Hash,
): Result {
  const arrivals = workload.arrivals(workloadMix(experiment, requestsPerSecond(experiment)));
  const mixed = simulate(experiment, candidate, arrivals, hash);
  const shortArrivals = arrivals.filter(({ promptTokens }) => promptTokens <= SHORT_TOKENS);
  const shortOnly = simulate(experiment, candidate, shortArrivals, hash);
  const isShort = (served: simulation.ServedRequest): boolean =>
    served.promptTokens <= SHORT_TOKENS;
  const ttft = (list: readonly simulation.ServedRequest[]): number[] =>
    list.map(({ ttftMs }) => ttftMs);
  const short = statistics.percentiles(ttft(mixed.served.filter(isShort)));
  const baseline = statistics.percentiles(ttft(shortOnly.served));
  const buckets = BUCKETS.map(({ name, upTo }, i): [string, statistics.Percentiles] => {
    const from = BUCKETS[i - 1]?.upTo ?? 0;
    const inside = mixed.served.filter((each) => {
      return each.promptTokens > from && each.promptTokens <= upTo;
    });
    return [name, statistics.percentiles(ttft(inside))];
  });
  const long = mixed.served.filter(({ promptTokens }) => promptTokens > 100_000);
  return {
    ttft: Object.fromEntries(buckets),
    shortSlowdown: { p50: short.p50 / baseline.p50, p99: short.p99 / baseline.p99 },
    short,
    long: statistics.percentiles(ttft(long)),
    served: mixed.served.length,
    refused: mixed.refused,
    utilisation: mixed.utilisation(experiment.seconds),
  };
}
