/** Scenario `mixed` as a command: the contenders at the usual load, then loads, policies, sensitivity. */
import type * as domain from '@celerydrift/domain';
import * as mixed from './mixed';

type Results = Record<string, mixed.Result>;

export interface Result {
  ttft: Record<string, mixed.Result['ttft']>;
  shortSlowdown: Record<string, { p50: number; p99: number }>;
  /** p95 of prompts over 100k tokens. */
  longP95: Record<string, number>;
  shortP95Ms: Record<string, number>;
  /** Short slowdown p99 and long p95 by load or changed parameter, by policy. */
  byLoad: Record<string, Record<string, Summary>>;
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
  setup: mixed.Experiment,
  names: readonly string[],
  hash: domain.shared.hashing.Hash,
  say: (line: string) => void,
): Results {
  const results: Results = {};
  mixed.CANDIDATES.filter(({ name }) => names.includes(name)).forEach((contender) => {
    const result = mixed.run(setup, contender, hash);
    results[contender.name] = result;
    say(`${contender.name}: ${JSON.stringify(summarise(result))}`);
  });
  return results;
}

const ALL_POLICIES = mixed.CANDIDATES.map(({ name }) => name);

const COMPARED_POLICIES: readonly string[] = ['product', 'naive.fifo', 'enginePriority'];

const LOADS: readonly number[] = [0.5, 0.8, 0.95, 1.2];

/** Other values of what the users did not give. */
function sensitivityVariants(setup: mixed.Experiment): Record<string, mixed.Experiment> {
  const { parameters } = setup;
  const engine = (changed: Partial<mixed.Experiment['parameters']>): mixed.Experiment => {
    return { ...setup, parameters: { ...parameters, ...changed } };
  };
  const steps = (factor: number): mixed.Experiment =>
    engine({
      stepBaseMs: parameters.stepBaseMs * factor,
      tokenMs: parameters.tokenMs * factor,
      streamMs: parameters.streamMs * factor,
    });
  return {
    stepTimeHalf: steps(0.5),
    stepTimeDouble: steps(2),
    memoryHalf: engine({ memoryTokens: parameters.memoryTokens / 2 }),
    memoryDouble: engine({ memoryTokens: parameters.memoryTokens * 2 }),
    reportLagTimesFour: engine({ loadLagMs: parameters.loadLagMs * 4 }),
    longShareTimesThree: { ...setup, longShare: setup.longShare * 3 },
    oneOrganisationWithMost: { ...setup, skew: 0.8 },
    olderSystemTakesFifth: { ...setup, legacyShare: 0.2, load: setup.load - 0.2 },
    burstOfMillions: { ...setup, burst: 8 },
    oneDaemon: { ...setup, daemons: 1 },
  };
}

export async function run(
  quick: boolean,
  say: (line: string) => void,
  hash: domain.shared.hashing.Hash,
): Promise<Result> {
  const setup = { ...mixed.DEFAULT_EXPERIMENT, seconds: quick ? 40 : 120 };
  const main = runAll(setup, ALL_POLICIES, hash, say);
  const pick = <T>(read: (result: mixed.Result) => T): Record<string, T> =>
    Object.fromEntries(Object.entries(main).map(([name, result]) => [name, read(result)]));
  const table = (setups: [string, mixed.Experiment][]): Record<string, Record<string, Summary>> =>
    Object.fromEntries(
      setups.map(([name, changed]) => {
        say(name);
        const results = runAll(changed, COMPARED_POLICIES, hash, say);
        const briefs = Object.entries(results).map(([policy, result]) => [
          policy,
          summarise(result),
        ]);
        return [name, Object.fromEntries(briefs) as Record<string, Summary>];
      }),
    );
  const shorter = { ...setup, seconds: quick ? 15 : 60 };
  const loads = (quick ? LOADS.slice(0, 2) : LOADS).map((load): [string, mixed.Experiment] => [
    String(load),
    { ...shorter, load },
  ]);
  const changed = Object.entries(sensitivityVariants(shorter)).slice(0, quick ? 0 : undefined);
  return {
    ttft: pick(({ ttft }) => ttft),
    shortSlowdown: pick(({ shortSlowdown }) => shortSlowdown),
    longP95: pick(({ long }) => long.p95),
    shortP95Ms: pick(({ short }) => short.p95),
    byLoad: table(loads),
    sensitivity: table(changed),
  };
}
