/**
 * Scenario `decisions`: simulates every workload with all placement mechanisms, then with each of them switched off.
 * Reports the mean paired difference in earned worth over the seeds, with its 95% confidence interval.
 */
import * as domain from '@celerydrift/domain';
import * as statistics from '../statistics';
import * as allocationSimulation from './allocationSimulation';
import * as workloads from './workloads';

type Weights = domain.allocation.weights.Weights;

const { WEIGHTS } = domain.allocation.weights;

/** The weights that switch off one mechanism of the planner each, by the mechanism's name in the report. */
export const ABLATIONS: Readonly<Record<string, Partial<Weights>>> = {
  helpers: { maxParts: 1 },
  oneHelpedAtMost: { maxHelpedPrompts: 17 },
  moreThanFourParts: { maxParts: 4 },
  packing: { packBonus: 0 },
  riskOfTighterPauses: { tightGapFactor: 1 },
  refusalOfHarmfulPlans: { refusesAboveValue: false },
  countingDelays: { countsDelays: false },
  postponement: { mayDefer: false },
  costOfParts: { partPenalty: 0 },
  costOfLongParts: { blockPenalty: 0 },
  costOfSpreading: { spreadPenalty: 0 },
  preferenceForSooner: { waitPenalty: 0 },
  failureShares: { failurePenalty: 0 },
};

export interface Score {
  /** Earned worth as a fraction of the worth of all requests. */
  worth: number;
  /** Mean of that fraction over the two worst windows of `WINDOW_SECONDS`. */
  worst: number;
  /** Number of requests of each kind, and the fractions that were in time, late, and refused or lost. */
  kinds: Record<string, { asked: number; inTime: number; late: number; refused: number }>;
}

const WINDOW_SECONDS = 2;

/** The fraction of worth earned by fewer requests says too little. */
const MIN_REQUESTS_IN_WINDOW = 3;

function earnedWorth({ kind, result }: allocationSimulation.Outcome): number {
  if (result === 'inTime') return kind.worth;
  return result === 'late' ? kind.lateWorth : 0;
}

function earnedFraction(outcomes: readonly allocationSimulation.Outcome[]): number {
  const asked = outcomes.reduce((sum, { kind }) => sum + kind.worth, 0);
  const earned = outcomes.reduce((sum, each) => sum + earnedWorth(each), 0);
  return asked === 0 ? 1 : earned / asked;
}

export function score(outcomes: readonly allocationSimulation.Outcome[]): Score {
  const windows = new Map<number, allocationSimulation.Outcome[]>();
  outcomes.forEach((each) => {
    const index = Math.floor(each.arrivedAt / WINDOW_SECONDS);
    windows.set(index, [...(windows.get(index) ?? []), each]);
  });
  const worst = [...windows.values()]
    .filter((each) => each.length >= MIN_REQUESTS_IN_WINDOW)
    .map(earnedFraction)
    .sort((a, b) => a - b)
    .slice(0, 2);
  const names = [...new Set(outcomes.map(({ kind }) => kind.name))];
  const kinds = names.map((name) => {
    const ofKind = outcomes.filter(({ kind }) => kind.name === name);
    const fractionOf = (...results: allocationSimulation.Outcome['result'][]): number =>
      ofKind.filter(({ result }) => results.includes(result)).length / ofKind.length;
    const fractions = {
      inTime: fractionOf('inTime'),
      late: fractionOf('late'),
      refused: fractionOf('refused', 'lost'),
    };
    return [name, { asked: ofKind.length, ...fractions }];
  });
  return {
    worth: earnedFraction(outcomes),
    worst: worst.reduce((sum, each) => sum + each, 0) / Math.max(1, worst.length),
    kinds: Object.fromEntries(kinds) as Score['kinds'],
  };
}

function simulate(
  workload: workloads.Workload,
  seed: number,
  changedWeights: Partial<Weights> = {},
): Score {
  const weights = { ...WEIGHTS, ...changedWeights };
  return score(new allocationSimulation.AllocationSimulation({ workload, seed, weights }).run());
}

export interface Result {
  seeds: number;
  /** Mean earned worth with all mechanisms, overall and in the worst windows, by workload. */
  product: Record<string, { worth: number; worst: number }>;
  /** Earned worth that each mechanism adds, by mechanism and workload. */
  worthOf: Record<string, Record<string, statistics.Difference>>;
  /** The same in the worst windows. */
  worstOf: Record<string, Record<string, statistics.Difference>>;
}

const SEEDS = { quick: 4, full: 20 } as const;

function mean(values: readonly number[]): number {
  return values.reduce((sum, each) => sum + each, 0) / values.length;
}

export async function run(quick: boolean, log: (line: string) => void): Promise<Result> {
  const seeds = quick ? SEEDS.quick : SEEDS.full;
  const seedValues = Array.from({ length: seeds }, (_unused, i) => i + 1);
  const result: Result = { seeds, product: {}, worthOf: {}, worstOf: {} };
  workloads.WORKLOADS.forEach((workload) => {
    const complete = seedValues.map((seed) => simulate(workload, seed));
    const worth = mean(complete.map((each) => each.worth));
    const worst = mean(complete.map((each) => each.worst));
    result.product[workload.name] = { worth, worst };
    log(`${workload.name}: worth ${worth.toFixed(3)}, worst windows ${worst.toFixed(3)}`);
    log(`  ${JSON.stringify(complete[0].kinds)}`);
    Object.entries(ABLATIONS).forEach(([name, changedWeights]) => {
      const without = seedValues.map((seed) => simulate(workload, seed, changedWeights));
      const gains = complete.map((each, i) => each.worth - without[i].worth);
      const worstGains = complete.map((each, i) => each.worst - without[i].worst);
      const worthGain = statistics.meanDifference(gains);
      const worstGain = statistics.meanDifference(worstGains);
      result.worthOf[name] = { ...result.worthOf[name], [workload.name]: worthGain };
      result.worstOf[name] = { ...result.worstOf[name], [workload.name]: worstGain };
      log(
        `  ${name}: ${statistics.formatDifference(worthGain)}, worst windows ${statistics.formatDifference(worstGain)}`,
      );
    });
  });
  return result;
}
