/**
 * Scenario `mixed`: time to first token by prompt length, and the slowdown of short requests when long
 * ones share the fleet, for the product, naive policies and a clairvoyant one, on the same work.
 */
import * as domain from '@celerydrift/domain';
import * as standins from '@celerydrift/standins';
import * as statistics from '../statistics';
import * as simulation from './simulation';
import * as workload from './workload';

const { policy, dispatcher } = domain.routing;

export interface Experiment {
  load: number;
  engines: number;
  daemons: number;
  seconds: number;
  longShare: number;
  skew: number;
  burst: number;
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

/** Upper ends of the buckets of prompt length, in tokens. */
export const BUCKETS: readonly { name: string; upTo: number }[] = [
  { name: '1k', upTo: 2_000 },
  { name: '4k', upTo: 8_000 },
  { name: '16k', upTo: 32_000 },
  { name: '64k', upTo: 100_000 },
  { name: '256k', upTo: 400_000 },
  { name: '1M', upTo: 1_100_000 },
];

/** One-way delay between VMs of the first user's data centres, in milliseconds. */
const HOP_MS = 0.5;

/** Requests up to this length are the short ones of the users. */
export const SHORT_TOKENS = 8_000;

export interface Result {
  ttft: Record<string, statistics.Percentiles>;
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
  clairvoyant?: boolean;
  /** Each daemon places for itself instead of asking the allocator. */
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

/** Assumed time between two tokens of an answer, for the memory it holds; milliseconds. */
const TOKEN_GAP_MS = 30;

/**
 * Mean engine time of a request of the mix, in milliseconds, by the scarcer of computing and memory:
 * a request that holds half of an engine's memory for a second costs half a second.
 */
function meanServiceMs(setup: Experiment): number {
  const mix = { ...workloadMix(setup, 100), seconds: 400, burst: 0 };
  const { tokenMs, attentionTokens, stepBaseMs, stepTokens, streamMs, memoryTokens } =
    setup.parameters;
  let computing = 0;
  let memory = 0;
  const all = workload.arrivals(mix);
  all.forEach(({ promptTokens, answerTokens }) => {
    const attention = 1 + promptTokens / 2 / attentionTokens;
    const prefill = promptTokens * tokenMs * attention;
    const steps = Math.ceil(promptTokens / stepTokens) * stepBaseMs;
    computing += prefill + steps + answerTokens * streamMs;
    const held = prefill + steps + answerTokens * TOKEN_GAP_MS;
    memory += (held * (promptTokens + answerTokens)) / memoryTokens;
  });
  return Math.max(computing, memory) / all.length;
}

function workloadMix(setup: Experiment, rate: number): workload.Mix {
  const { seconds, daemons, longShare, skew, prefixShare, burst, seed } = setup;
  return { longShare, rate, seconds, daemons, skew, prefixShare, burst, seed };
}

/** Requests per second that keep the engines busy for `load` of the time. */
export function requestsPerSecond(setup: Experiment): number {
  return (setup.load * setup.engines * 1_000) / meanServiceMs(setup);
}

function simulate(
  setup: Experiment,
  contender: Candidate,
  work: readonly workload.Arrival[],
  hash: domain.shared.hashing.Hash,
): simulation.Simulation {
  const made = new simulation.Simulation({
    engines: setup.engines,
    daemons: setup.daemons,
    parameters: setup.parameters,
    policy: contender.policy,
    dispatcher: { ...dispatcher.DEFAULT_OPTIONS, ...contender.options },
    networkMs: HOP_MS,
    summaryMs: 1_000,
    allocatorHopMs:
      contender.placesLocally === true || contender.clairvoyant === true ? undefined : HOP_MS,
    clairvoyant: contender.clairvoyant === true,
    legacyShare: setup.legacyShare,
    hash,
    seed: setup.seed,
  });
  made.run(work);
  return made;
}

/** Runs one contender on the whole work and on its short requests alone. */
export function run(
  setup: Experiment,
  contender: Candidate,
  hash: domain.shared.hashing.Hash,
): Result {
  const work = workload.arrivals(workloadMix(setup, requestsPerSecond(setup)));
  const shared = simulate(setup, contender, work, hash);
  const shortWork = work.filter(({ promptTokens }) => promptTokens <= SHORT_TOKENS);
  const alone = simulate(setup, contender, shortWork, hash);
  const isShort = (served: simulation.ServedRequest): boolean =>
    served.promptTokens <= SHORT_TOKENS;
  const ttft = (list: readonly simulation.ServedRequest[]): number[] =>
    list.map(({ ttftMs }) => ttftMs);
  const short = statistics.percentiles(ttft(shared.served.filter(isShort)));
  const quiet = statistics.percentiles(ttft(alone.served));
  const buckets = BUCKETS.map(({ name, upTo }, i): [string, statistics.Percentiles] => {
    const from = BUCKETS[i - 1]?.upTo ?? 0;
    const inside = shared.served.filter((each) => {
      return each.promptTokens > from && each.promptTokens <= upTo;
    });
    return [name, statistics.percentiles(ttft(inside))];
  });
  const long = shared.served.filter(({ promptTokens }) => promptTokens > 100_000);
  return {
    ttft: Object.fromEntries(buckets),
    shortSlowdown: { p50: short.p50 / quiet.p50, p99: short.p99 / quiet.p99 },
    short,
    long: statistics.percentiles(ttft(long)),
    served: shared.served.length,
    refused: shared.refused,
    utilisation: shared.utilisation(setup.seconds),
  };
}
