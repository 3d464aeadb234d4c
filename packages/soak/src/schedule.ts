/** What is done to a fleet in one run, from a seed: harm in series and overlapping with changes and planned stops. */
import * as domain from '@celerydrift/domain';
import * as layout from './layout';
import type * as observations from './observations';

export type StepKind =
  | 'entryKill'
  | 'entryStop'
  | 'entryPause'
  | 'entryCut'
  | 'keeperKill'
  | 'keeperPause'
  | 'keeperCut'
  | 'keeperWipe'
  | 'keeperTear'
  | 'keepersKill'
  | 'fleetKill'
  | 'diskFull'
  | 'diskStall'
  | 'clockStep'
  | 'silence'
  | 'reset'
  | 'delay'
  | 'targetKill'
  | 'targetLeave'
  | 'targetPause'
  | 'targetGrey'
  | 'changes'
  | 'race'
  | 'revoke'
  | 'invalid'
  | 'reload';

export interface Step {
  kind: StepKind;
  /** Seconds from the beginning of traffic. */
  at: number;
  /** How long it lasts, seconds, where it does. */
  forSeconds: number;
  /** Number of the process that it is done to. */
  index: number;
  /** For a choice within a kind: a number in [0, 1). */
  variant: number;
}

/** How often a kind is drawn against the others. What is planned comes more often than what is harmful. */
const WEIGHTS: Record<StepKind, number> = {
  entryKill: 2,
  entryStop: 4,
  entryPause: 2,
  entryCut: 2,
  keeperKill: 2,
  keeperPause: 2,
  keeperCut: 2,
  keeperWipe: 1,
  keeperTear: 1,
  keepersKill: 0.5,
  fleetKill: 0.5,
  diskFull: 1,
  diskStall: 1,
  clockStep: 2,
  silence: 1,
  reset: 1,
  delay: 1,
  targetKill: 2,
  targetLeave: 3,
  targetPause: 2,
  targetGrey: 3,
  changes: 4,
  race: 2,
  revoke: 3,
  invalid: 1,
  reload: 1,
};

/** Harm to keepers: at most so many may be lost at once, by the settings. */
const MAX_LOST_KEEPERS = 2;

const KEEPER_FAULTS = new Set<StepKind>([
  'keeperKill',
  'keeperPause',
  'keeperCut',
  'keeperWipe',
  'keeperTear',
  'diskFull',
  'diskStall',
]);

/** Everything at once; keepers must not be harmed otherwise around it. */
const ALL_KEEPER_FAULTS = new Set<StepKind>(['keepersKill', 'fleetKill']);

/** A keeper counts as lost for so long after it is back, seconds: it has to catch up and to vote again. */
const CATCH_UP_SECONDS = 5;

const MEAN_STEP_INTERVAL_SECONDS = 0.8;
/** Longer than the lease of an entry, so that one that is cut off must notice by itself. */
const MAX_DURATION_SECONDS = 8;
const MIN_DURATION_SECONDS = 0.5;

/** A request under which targets end, sent again and again. */
export interface CrashingSpan {
  at: number;
  forSeconds: number;
  kind: observations.RequestKind;
  /** Mean pause between two copies, seconds; much shorter and longer than a copy takes to end its target. */
  pauseSeconds: number;
}

/** Targets in need that name a limit in their answers. */
export interface LimitingSpan {
  at: number;
  forSeconds: number;
  /** Numbers of the targets. */
  targets: number[];
  /** Requests a second that each takes from the whole fleet. */
  perSecond: number;
}

/**
 * An entry is cut off from all other VMs, its time of day goes back, and a key is taken away, all at once: only a lease that
 * is measured by a clock that nobody steps ends the key there in time.
 */
export interface IsolationSpan {
  at: number;
  /** Longer than the bound on a revoked key. */
  forSeconds: number;
  /** Number of the entry. */
  index: number;
  /** Number of the organisation whose key is taken away. */
  organisation: number;
}

/** Targets that turn requests away and ask their senders to leave them alone; the first one says that it leaves. */
export type SheddingSpan = Omit<LimitingSpan, 'perSecond'> & { backOffSeconds: number };

export interface Plan {
  seed: number;
  seconds: number;
  steps: Step[];
  crashing: CrashingSpan[];
  limiting: LimitingSpan[];
  shedding: SheddingSpan[];
  isolating: IsolationSpan[];
}

const CRASHING_REQUEST_KINDS: readonly observations.RequestKind[] = ['stream', 'safe', 'unsafe'];
const MEAN_CRASHING_INTERVAL_SECONDS = 4;
const COPY_INTERVAL_SECONDS = { least: 0.01, most: 0.5 } as const;

type Random = domain.shared.random.Random;

function uniformBetween(random: Random, { least, most }: Record<'least' | 'most', number>): number {
  return least + (most - least) * random.uniform();
}

/** Spans with pauses between them, drawn apart from the steps, so that the steps of a seed stay what they are. */
function drawSpans<T>(
  { seed, seconds, meanPause, minGap }: Record<'seed' | 'seconds' | 'meanPause' | 'minGap', number>,
  drawSpan: (random: Random, at: number) => T,
): T[] {
  const random = domain.shared.random.independent(seed);
  const drawPause = (): number => domain.shared.random.exponential(random, meanPause);
  const drawn: T[] = [];
  for (let at = drawPause(); at < seconds; at += minGap + drawPause())
    drawn.push(drawSpan(random, at));
  return drawn;
}

function drawCrashing(seed: number, seconds: number): CrashingSpan[] {
  const meanPause = MEAN_CRASHING_INTERVAL_SECONDS;
  return drawSpans({ seed, seconds, meanPause, minGap: 0 }, (random, at) => {
    const forSeconds = uniformBetween(random, {
      least: MIN_DURATION_SECONDS,
      most: MAX_DURATION_SECONDS,
    });
    const kind = domain.shared.random.pick(random, CRASHING_REQUEST_KINDS);
    const { least, most } = COPY_INTERVAL_SECONDS;
    return { at, forSeconds, kind, pauseSeconds: least + (most - least) * random.uniform() ** 2 };
  });
}

/** Added to the seed for draws apart from the steps and from requests that crash targets. */
const LIMITING_SEED_OFFSET = 1_000_003;
const MEAN_LIMITING_INTERVAL_SECONDS = 3;
/** A limit holds from some seconds after it is named, in spans of some seconds. */
const LIMITING_SECONDS = { least: 8, most: 20 } as const;
const LIMIT_PER_SECOND = { least: 0.3, most: 5 } as const;
/** Part of the targets that are in need at once, at most. */
const MAX_LIMITED_SHARE = 0.8;

function drawLimiting(seed: number, seconds: number, targets: number): LimitingSpan[] {
  const numbers = Array.from({ length: targets }, (_, i) => i);
  const meanPause = MEAN_LIMITING_INTERVAL_SECONDS;
  return drawSpans({ seed, seconds, meanPause, minGap: LIMITING_SECONDS.most }, (random, at) => {
    const count = Math.ceil(MAX_LIMITED_SHARE * random.uniform() * targets);
    const forSeconds = uniformBetween(random, LIMITING_SECONDS);
    const drawn = domain.shared.random.shuffled(random, numbers).slice(0, count);
    return { at, forSeconds, targets: drawn, perSecond: uniformBetween(random, LIMIT_PER_SECOND) };
  });
}

const SHEDDING_SEED_OFFSET = 3_000_003;

/** Added to the seed for draws apart from all others. */
const ISOLATION_SEED_OFFSET = 2_000_003;
const MEAN_ISOLATION_INTERVAL_SECONDS = 6;
const ISOLATION_SECONDS = 10;

function drawIsolation(seed: number, seconds: number, entries: number): IsolationSpan[] {
  const about = { seconds, meanPause: MEAN_ISOLATION_INTERVAL_SECONDS };
  const minGap = ISOLATION_SECONDS;
  return drawSpans({ seed: seed + ISOLATION_SEED_OFFSET, ...about, minGap }, (random, at) => ({
    at,
    forSeconds: ISOLATION_SECONDS,
    index: domain.shared.random.below(random, entries),
    organisation: domain.shared.random.below(random, layout.ORGANISATIONS),
  }));
}

function drawKind(random: domain.shared.random.Random): StepKind {
  const kinds = Object.entries(WEIGHTS) as [StepKind, number][];
  let left = random.uniform() * kinds.reduce((sum, [, weight]) => sum + weight, 0);
  const drawn = kinds.find(([, weight]) => {
    left -= weight;
    return left < 0;
  });
  return (drawn ?? kinds[0])[0];
}

/** Number of processes that a kind picks one of. */
function candidateCount(
  kind: StepKind,
  { keepers, entries, engines, services }: layout.Layout,
): number {
  if (KEEPER_FAULTS.has(kind)) return keepers;
  if (kind.startsWith('target')) return engines + services;
  if (kind === 'clockStep') return keepers + entries;
  return entries;
}

/** Whether a step would take more keepers than the fleet tolerates. */
function exceedsTolerance(step: Step, steps: readonly Step[]): boolean {
  const isOnKeepers = (each: Step): boolean =>
    KEEPER_FAULTS.has(each.kind) || ALL_KEEPER_FAULTS.has(each.kind);
  if (!isOnKeepers(step)) return false;
  const others = steps.filter((each) => {
    const end = each.at + each.forSeconds + CATCH_UP_SECONDS;
    return isOnKeepers(each) && end > step.at;
  });
  if (ALL_KEEPER_FAULTS.has(step.kind)) return others.length > 0;
  return (
    others.some(({ kind }) => ALL_KEEPER_FAULTS.has(kind)) || others.length >= MAX_LOST_KEEPERS
  );
}

export function drawPlan(seed: number, seconds: number, size: layout.Layout): Plan {
  const random = domain.shared.random.seeded(seed);
  const steps: Step[] = [];
  for (
    let at = 1;
    at < seconds;
    at += domain.shared.random.exponential(random, MEAN_STEP_INTERVAL_SECONDS)
  ) {
    const kind = drawKind(random);
    const span = MAX_DURATION_SECONDS - MIN_DURATION_SECONDS;
    const step: Step = {
      kind,
      at: Math.round(at * 1_000) / 1_000,
      forSeconds: Math.round((MIN_DURATION_SECONDS + span * random.uniform()) * 1_000) / 1_000,
      index: domain.shared.random.below(random, candidateCount(kind, size)),
      variant: random.uniform(),
    };
    if (!exceedsTolerance(step, steps)) steps.push(step);
  }
  const crashing = drawCrashing(seed, seconds);
  const limiting = drawLimiting(seed + LIMITING_SEED_OFFSET, seconds, size.engines + size.services);
  const shedding = drawLimiting(
    seed + SHEDDING_SEED_OFFSET,
    seconds,
    size.engines + size.services,
  ).map(({ perSecond, ...rest }) => ({ ...rest, backOffSeconds: perSecond }));
  const isolating = drawIsolation(seed, seconds, size.entries);
  return { seed, seconds, steps, crashing, limiting, shedding, isolating };
}
