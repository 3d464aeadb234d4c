/** Scenario `mixed`: compares all policies at the default load, then three of them by load and by changed parameter. */
import type * as domain from '@celerydrift/domain';
import * as mixed from './mixed';

type Results = Record<string, mixed.Result>;

export interface Result {
  ttft: Record<string, mixed.Result['ttft']>;
  shortSlowdown: Record<string, { p50: number; p99: number }>;
  /** 95th percentile of the time to first token of prompts over 100k tokens, milliseconds. */
  longP95: Record<string, number>;
  shortP95Ms: Record<string, number>;
  /** By load, by policy. */
  byLoad: Record<string, Record<string, Summary>>;
  /** By changed parameter, by policy. */
  sensitivity: Record<string, Record<string, Summary>>;
}

interface Summary {
  shortP95Ms: number;
  shortSlowdownP99: number;
  longP95Ms: number;
  refused: number;
}

function summarise({ short, shortSlowdown, long, refused }: mixed.Result): Summary {
  return {
    shortP95Ms: short.p95,
    shortSlowdownP99: shortSlowdown.p99,
    longP95Ms: long.p95,
    refused,
  };
}

function runAll(
  experiment: mixed.Experiment,
  names: readonly string[],
  hash: domain.shared.hashing.Hash,
  log: (line: string) => void,
): Results {
  const results: Results = {};
  mixed.CANDIDATES.filter(({ name }) => names.includes(name)).forEach((candidate) => {
    const result = mixed.run(experiment, candidate, hash);
    results[candidate.name] = result;
    log(`${candidate.name}: ${JSON.stringify(summarise(result))}`);
  });
  return results;
}

const ALL_POLICIES = mixed.CANDIDATES.map(({ name }) => name);

const COMPARED_POLICIES: readonly string[] = ['product', 'naive.fifo', 'enginePriority'];

const LOADS: readonly number[] = [0.5, 0.8, 0.95, 1.2];

/** Experiments with other values of the parameters that are assumptions. */
function sensitivityVariants(experiment: mixed.Experiment): Record<string, mixed.Experiment> {
  const { parameters } = experiment;
  const withParameters = (changed: Partial<mixed.Experiment['parameters']>): mixed.Experiment => {
    return { ...experiment, parameters: { ...parameters, ...changed } };
  };
  const withStepTime = (factor: number): mixed.Experiment =>
    withParameters({
      stepBaseMs: parameters.stepBaseMs * factor,
      tokenMs: parameters.tokenMs * factor,
      streamMs: parameters.streamMs * factor,
    });
  return {
    stepTimeHalf: withStepTime(0.5),
    stepTimeDouble: withStepTime(2),
    memoryHalf: withParameters({ memoryTokens: parameters.memoryTokens / 2 }),
    memoryDouble: withParameters({ memoryTokens: parameters.memoryTokens * 2 }),
    reportLagTimesFour: withParameters({ loadLagMs: parameters.loadLagMs * 4 }),
    longShareTimesThree: { ...experiment, longShare: experiment.longShare * 3 },
    oneOrganisationWithMost: { ...experiment, skew: 0.8 },
    olderSystemTakesFifth: { ...experiment, legacyShare: 0.2, load: experiment.load - 0.2 },
    burstOfMillions: { ...experiment, burst: 8 },
    oneDaemon: { ...experiment, daemons: 1 },
  };
}

export async function run(
  quick: boolean,
  log: (line: string) => void,
  hash: domain.shared.hashing.Hash,
): Promise<Result> {
  const defaults = { ...mixed.DEFAULT_EXPERIMENT, seconds: quick ? 40 : 120 };
  const allResults = runAll(defaults, ALL_POLICIES, hash, log);
  const pick = <T>(select: (result: mixed.Result) => T): Record<string, T> =>
    Object.fromEntries(Object.entries(allResults).map(([name, result]) => [name, select(result)]));
  const summaryTable = (
    experiments: [string, mixed.Experiment][],
  ): Record<string, Record<string, Summary>> =>
    Object.fromEntries(
      experiments.map(([name, experiment]) => {
        log(name);
        const results = runAll(experiment, COMPARED_POLICIES, hash, log);
        const summaries = Object.entries(results).map(([policy, result]) => [
          policy,
          summarise(result),
        ]);
        return [name, Object.fromEntries(summaries) as Record<string, Summary>];
      }),
    );
  const shorter = { ...defaults, seconds: quick ? 15 : 60 };
  const loads = (quick ? LOADS.slice(0, 2) : LOADS).map((load): [string, mixed.Experiment] => [
    String(load),
    { ...shorter, load },
  ]);
  const variants = Object.entries(sensitivityVariants(shorter)).slice(0, quick ? 0 : undefined);
  return {
    ttft: pick(({ ttft }) => ttft),
    shortSlowdown: pick(({ shortSlowdown }) => shortSlowdown),
    longP95: pick(({ long }) => long.p95),
    shortP95Ms: pick(({ short }) => short.p95),
    byLoad: summaryTable(loads),
    sensitivity: summaryTable(variants),
  };
}
