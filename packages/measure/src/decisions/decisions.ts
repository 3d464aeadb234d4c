/**
 * Scenario `decisions`: every load of the laboratory with the product's policy, then with each mechanism switched off;
 * the mean difference of worth pair by pair, with its 95% interval.
 */
import * as domain from '@celerydrift/domain';
import * as statistics from '../statistics';
import * as laboratory from './allocationSimulation';
import * as loads from './workloads';

type Weights = domain.allocation.weights.Weights;

const { WEIGHTS } = domain.allocation.weights;

/** Mechanisms, by what the planner weighs without them. */
export const ABLATIONS: Readonly<Record<string, Partial<Weights>>> = {
  helpers: { mostParts: 1 },
  oneHelpedAtMost: { mostHelped: 17 },
  moreThanFourParts: { mostParts: 4 },
  packing: { packGain: 0 },
  riskOfTighterPauses: { tightRisk: 1 },
  refusalOfHarmfulPlans: { refusesHarmful: false },
  countingDelays: { countsDelays: false },
  postponement: { mayPostpone: false },
  costOfParts: { partLoss: 0 },
  costOfLongParts: { blockLoss: 0 },
  costOfSpreading: { spreadLoss: 0 },
  preferenceForSooner: { waitLoss: 0 },
  failureShares: { failureLoss: 0 },
};

export interface Score {
  /** Worth earned against worth asked for. */
  worth: number;
  /** The same in the two worst windows of two seconds. */
  worst: number;
  /** By kind: shares in time, late, and refused or lost. */
  kinds: Record<string, { asked: number; inTime: number; late: number; refused: number }>;
}

const WINDOW_SECONDS = 2;

/** Windows with less are too small to judge. */
const MIN_REQUESTS_IN_WINDOW = 3;

function earnedWorth({ kind, result }: laboratory.Outcome): number {
  if (result === 'inTime') return kind.worth;
  return result === 'late' ? kind.lateWorth : 0;
}

function earnedFraction(outcomes: readonly laboratory.Outcome[]): number {
  const asked = outcomes.reduce((sum, { kind }) => sum + kind.worth, 0);
  const got = outcomes.reduce((sum, each) => sum + earnedWorth(each), 0);
  return asked === 0 ? 1 : got / asked;
}

export function score(outcomes: readonly laboratory.Outcome[]): Score {
  const windows = new Map<number, laboratory.Outcome[]>();
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
    const of = outcomes.filter(({ kind }) => kind.name === name);
    const part = (...results: laboratory.Outcome['result'][]): number =>
      of.filter(({ result }) => results.includes(result)).length / of.length;
    const shares = { inTime: part('inTime'), late: part('late'), refused: part('refused', 'lost') };
    return [name, { asked: of.length, ...shares }];
  });
  return {
    worth: earnedFraction(outcomes),
    worst: worst.reduce((sum, each) => sum + each, 0) / Math.max(1, worst.length),
    kinds: Object.fromEntries(kinds) as Score['kinds'],
  };
}

function simulate(load: loads.Workload, seed: number, changed: Partial<Weights> = {}): Score {
  const weights = { ...WEIGHTS, ...changed };
  return score(new laboratory.AllocationSimulation({ load, seed, weights }).run());
}

export interface Result {
  seeds: number;
  /** Mean worth and worst windows with the whole policy, by load. */
  product: Record<string, { worth: number; worst: number }>;
  /** What each mechanism adds to worth, by load: mean difference and half of its 95% interval. */
  worthOf: Record<string, Record<string, statistics.Difference>>;
  /** The same for the worst windows. */
  worstOf: Record<string, Record<string, statistics.Difference>>;
}

const SEEDS = { quick: 4, full: 20 } as const;

function mean(values: readonly number[]): number {
  return values.reduce((sum, each) => sum + each, 0) / values.length;
}

export async function run(quick: boolean, say: (line: string) => void): Promise<Result> {
  const seeds = quick ? SEEDS.quick : SEEDS.full;
  const numbers = Array.from({ length: seeds }, (_unused, i) => i + 1);
  const result: Result = { seeds, product: {}, worthOf: {}, worstOf: {} };
  loads.WORKLOADS.forEach((load) => {
    const whole = numbers.map((seed) => simulate(load, seed));
    const worth = mean(whole.map((each) => each.worth));
    const worst = mean(whole.map((each) => each.worst));
    result.product[load.name] = { worth, worst };
    say(`${load.name}: worth ${worth.toFixed(3)}, worst windows ${worst.toFixed(3)}`);
    say(`  ${JSON.stringify(whole[0].kinds)}`);
    Object.entries(ABLATIONS).forEach(([name, changed]) => {
      const without = numbers.map((seed) => simulate(load, seed, changed));
      const gains = whole.map((each, i) => each.worth - without[i].worth);
      const worstGains = whole.map((each, i) => each.worst - without[i].worst);
      const worthGain = statistics.meanDifference(gains);
      const worstGain = statistics.meanDifference(worstGains);
      result.worthOf[name] = { ...result.worthOf[name], [load.name]: worthGain };
      result.worstOf[name] = { ...result.worstOf[name], [load.name]: worstGain };
      say(
        `  ${name}: ${statistics.formatDifference(worthGain)}, worst windows ${statistics.formatDifference(worstGain)}`,
      );
    });
  });
  return result;
}
