/**
 * Scenario `leader`: what one leader's decisions cost with more and more engines, as slopes for docs/CAPACITY.md. Prompts
 * of three lengths come and go in virtual time at the rate that the fleet's engines bear; the time of each decision is
 * this machine's.
 */
import * as domain from '@celerydrift/domain';
import * as loads from '../decisions/workloads';
import * as statistics from '../statistics';

type Allocator = domain.allocation.allocator.Allocator;

export interface Costs {
  engines: number;
  /** Milliseconds a decision, by the kind of prompt. */
  placing: Record<string, statistics.Percentiles>;
  /** Milliseconds a decision, over the first hundred of a process, when the code is cold. */
  firstHundredMs: number;
  /** Milliseconds to work out the averages over all engines that entries are told. */
  averagesMs: number;
  /** Milliseconds to take an announcement of a target that is known. */
  announcementMs: number;
}

export interface Result {
  costs: Costs[];
  /** Milliseconds a decision for each engine more, by the kind of prompt. */
  slopes: Record<string, number>;
}

const ENGINE_COUNTS = [24, 100, 300, 600, 3_000];

const QUICK_ENGINE_COUNTS = [24, 100];

/** Decisions at each size; enough for the 99th percentile of the rarest kind. */
const DECISIONS = 4_000;

const QUICK_DECISIONS = 800;

const DATA_CENTRES = 5;

/** Prompts a second and engine, as on the users' largest fleet. */
const PROMPTS_PER_SECOND_PER_ENGINE = 1.6;

/** How long an answer is written after its first token, milliseconds. */
const DECODE_MS = 2_000;

/** Times that the cheaper figures are taken. */
const REPEATS = 200;

const SERVICE = 'engines';

interface PromptKind {
  name: string;
  /** Part of all prompts. */
  share: number;
  prompt: { tokens: number; answerTokens: number; objectiveMs: number; pauseMs: number };
}

/** Lengths, objectives and shares of the users' largest fleet. */
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
  const made = new domain.allocation.allocator.Allocator();
  const { engine } = loads.WORKLOADS[0];
  made.setServices([{ name: SERVICE, healthPath: '/', maxConnections: 200, engine }]);
  for (let i = 0; i < engines; i++) made.observe(makeAnnouncement(i));
  return made;
}

function kindAt(draw: number): PromptKind {
  let sum = 0;
  return (
    KINDS.find(({ share }) => {
      sum += share;
      return draw < sum;
    }) ?? KINDS[0]
  );
}

function meanMs(action: () => unknown): number {
  const since = performance.now();
  for (let i = 0; i < REPEATS; i++) action();
  return (performance.now() - since) / REPEATS;
}

function measureCosts(engines: number, decisions: number): Costs {
  const tested = makeAllocator(engines);
  const random = domain.shared.random.seeded(engines);
  const spent = new Map<string, number[]>(KINDS.map(({ name }) => [name, []]));
  const ends: { at: number; id: string }[] = [];
  let now = 0;
  let firstHundredMs = 0;
  for (let i = 0; i < decisions; i++) {
    now += 1_000 / (PROMPTS_PER_SECOND_PER_ENGINE * engines);
    while (ends.length > 0 && ends[0].at <= now) {
      tested.ended(ends.shift()?.id ?? '', 'done', now);
    }
    const { name, prompt } = kindAt(random.uniform());
    const dataCentre = `dc${i % DATA_CENTRES}`;
    const request = { ...prompt, id: `r${i}`, entry: 'e', service: SERVICE, waitedMs: 0 };
    const since = performance.now();
    const placed = tested.place({ ...request, dataCentre, excluded: [] }, now);
    const ms = performance.now() - since;
    spent.get(name)?.push(ms);
    if (i < 100) firstHundredMs += ms;
    if (placed === undefined) continue;
    ends.push({ at: now + placed.firstTokenMs + DECODE_MS, id: `r${i}` });
    ends.sort((a, b) => a.at - b.at);
  }
  const registry = new domain.registry.registry.Registry();
  for (let i = 0; i < engines; i++) registry.announce(makeAnnouncement(i), 0);
  let sequence = 1;
  return {
    engines,
    placing: Object.fromEntries(
      [...spent].map(([name, all]) => [name, statistics.percentiles(all)]),
    ),
    firstHundredMs,
    averagesMs: meanMs(() => tested.averages()),
    announcementMs: meanMs(() => {
      sequence += 1;
      registry.announce({ ...makeAnnouncement(sequence % engines), sequence }, 0);
    }),
  };
}

export async function run(quick: boolean, say: (line: string) => void): Promise<Result> {
  const sizes = quick ? QUICK_ENGINE_COUNTS : ENGINE_COUNTS;
  const costs = sizes.map((engines) => {
    const each = measureCosts(engines, quick ? QUICK_DECISIONS : DECISIONS);
    const placing = Object.entries(each.placing)
      .map(([name, { p50, p99 }]) => `${name} ${p50.toFixed(2)} / ${p99.toFixed(2)} ms`)
      .join(', ');
    say(
      `${engines} engines: ${placing} (p50 / p99); first hundred ${each.firstHundredMs.toFixed(0)} ms; ` +
        `averages ${each.averagesMs.toFixed(3)} ms; announcement ${each.announcementMs.toFixed(4)} ms`,
    );
    return each;
  });
  const slopes = Object.fromEntries(
    KINDS.map(({ name }) => {
      const points = costs.map(({ engines, placing }) => ({ x: engines, y: placing[name].p50 }));
      return [name, statistics.fitLine(points).slope];
    }),
  );
  return { costs, slopes };
}
