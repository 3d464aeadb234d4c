/**
 * Scenario `leader`: the cost of one leader's placement decisions against the number of engines, with the slopes that
 * docs/CAPACITY.md uses. Prompts of three lengths arrive and end in virtual time at a rate that the engines can
 * sustain; the duration of each decision is measured on the machine that runs it.
 */
import * as domain from '@celerydrift/domain';
import * as workloads from '../decisions/workloads';
import * as statistics from '../statistics';

type Allocator = domain.allocation.allocator.Allocator;

export interface Costs {
  engines: number;
  /** Duration of a placement decision by kind of prompt, milliseconds. */
  placing: Record<string, statistics.Percentiles>;
  /** Total duration of the first hundred decisions, milliseconds; the first fleet measured runs cold code. */
  firstHundredMs: number;
  /** Duration of computing the averages over all engines that entries receive, milliseconds. */
  averagesMs: number;
  /** Duration of processing an announcement of a known target, milliseconds. */
  announcementMs: number;
}

export interface Result {
  costs: Costs[];
  /** Added median duration of a decision for each additional engine by kind of prompt, milliseconds. */
  slopes: Record<string, number>;
}

const ENGINE_COUNTS = [24, 100, 300, 600, 3_000];

const QUICK_ENGINE_COUNTS = [24, 100];

/** Decisions for each number of engines; enough for the 99th percentile of the rarest kind. */
const DECISIONS = 4_000;

const QUICK_DECISIONS = 800;

const DATA_CENTRES = 5;

/** As in the largest known fleet. */
const PROMPTS_PER_SECOND_PER_ENGINE = 1.6;

/** How long an answer is decoded after its first token, milliseconds. */
const DECODE_MS = 2_000;

/** Number of repetitions over which the shorter durations are averaged. */
const REPEATS = 200;

const SERVICE = 'engines';

interface PromptKind {
  name: string;
  /** Fraction of all prompts. */
  share: number;
  prompt: { tokens: number; answerTokens: number; objectiveMs: number; pauseMs: number };
}

/** Lengths, objectives and shares as in the largest known fleet. */
const KINDS: readonly PromptKind[] = [
  {
    name: 'short',
    share: 0.91,
    prompt: { tokens: 5_000, answerTokens: 1_900, objectiveMs: 409, pauseMs: 300 },
  },
  {
    name: 'middle',
    share: 0.067,
    prompt: { tokens: 45_000, answerTokens: 1_100, objectiveMs: 1_514, pauseMs: 800 },
  },
  {
    name: 'long',
    share: 0.023,
    prompt: { tokens: 220_000, answerTokens: 900, objectiveMs: 4_024, pauseMs: 1_200 },
  },
];

function makeAnnouncement(i: number): domain.registry.registry.Announcement {
  return {
    id: `t${i}`,
    bornAt: 1,
    service: SERVICE,
    address: `10.0.${Math.floor(i / 250)}.${i % 250}:80`,
    dataCentre: `dc${i % DATA_CENTRES}`,
    slots: 7,
    state: 'ready',
    sequence: 1,
  };
}

function makeAllocator(engines: number): Allocator {
  const allocator = new domain.allocation.allocator.Allocator();
  const { engine } = workloads.WORKLOADS[0];
  allocator.setServices([{ name: SERVICE, healthPath: '/', maxConnections: 200, engine }]);
  for (let i = 0; i < engines; i++) allocator.observe(makeAnnouncement(i));
  return allocator;
}

function kindAt(quantile: number): PromptKind {
  let sum = 0;
  return (
    KINDS.find(({ share }) => {
      sum += share;
      return quantile < sum;
    }) ?? KINDS[0]
  );
}

function meanMs(action: () => unknown): number {
  const since = performance.now();
  for (let i = 0; i < REPEATS; i++) action();
  return (performance.now() - since) / REPEATS;
}

function measureCosts(engines: number, decisions: number): Costs {
  const allocator = makeAllocator(engines);
  const random = domain.shared.random.seeded(engines);
  const durations = new Map<string, number[]>(KINDS.map(({ name }) => [name, []]));
  const completions: { at: number; id: string }[] = [];
  let now = 0;
  let firstHundredMs = 0;
  for (let i = 0; i < decisions; i++) {
    now += 1_000 / (PROMPTS_PER_SECOND_PER_ENGINE * engines);
    while (completions.length > 0 && completions[0].at <= now) {
      allocator.endDispatch(completions.shift()?.id ?? '', 'done', now);
    }
    const { name, prompt } = kindAt(random.uniform());
    const dataCentre = `dc${i % DATA_CENTRES}`;
    const request = { ...prompt, id: `r${i}`, entry: 'e', service: SERVICE, waitedMs: 0 };
    const since = performance.now();
    const placement = allocator.place({ ...request, dataCentre, excluded: [] }, now);
    const ms = performance.now() - since;
    durations.get(name)?.push(ms);
    if (i < 100) firstHundredMs += ms;
    if (placement === undefined) continue;
    completions.push({ at: now + placement.firstTokenMs + DECODE_MS, id: `r${i}` });
    completions.sort((a, b) => a.at - b.at);
  }
  const registry = new domain.registry.registry.Registry();
  for (let i = 0; i < engines; i++) registry.announce(makeAnnouncement(i), 0);
  let sequence = 1;
  return {
    engines,
    placing: Object.fromEntries(
      [...durations].map(([name, all]) => [name, statistics.percentiles(all)]),
    ),
    firstHundredMs,
    averagesMs: meanMs(() => allocator.averageLoadByService()),
    announcementMs: meanMs(() => {
      sequence += 1;
      registry.announce({ ...makeAnnouncement(sequence % engines), sequence }, 0);
    }),
  };
}

export async function run(quick: boolean, log: (line: string) => void): Promise<Result> {
  const engineCounts = quick ? QUICK_ENGINE_COUNTS : ENGINE_COUNTS;
  const costs = engineCounts.map((engines) => {
    const measured = measureCosts(engines, quick ? QUICK_DECISIONS : DECISIONS);
    const placing = Object.entries(measured.placing)
      .map(([name, { p50, p99 }]) => `${name} ${p50.toFixed(2)} / ${p99.toFixed(2)} ms`)
      .join(', ');
    log(
      `${engines} engines: ${placing} (p50 / p99); first hundred ${measured.firstHundredMs.toFixed(0)} ms; ` +
        `averages ${measured.averagesMs.toFixed(3)} ms; announcement ${measured.announcementMs.toFixed(4)} ms`,
    );
    return measured;
  });
  const slopes = Object.fromEntries(
    KINDS.map(({ name }) => {
      const points = costs.map(({ engines, placing }) => ({ x: engines, y: placing[name].p50 }));
      return [name, statistics.fitLine(points).slope];
    }),
  );
  return { costs, slopes };
}
