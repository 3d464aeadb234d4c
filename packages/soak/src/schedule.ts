/**
 * Draws the plan of a run from a seed: faults, configuration changes and planned stops, one after the other and
 * overlapping.
 */
import * as domain from '@celerydrift/domain';
import * as endlessAnswers from './endlessAnswers';
import * as layout from './layout';
import * as lossSeries from './lossSeries';
import type * as observations from './observations';

export type StepKind =
  | 'entryKill'
  | 'entryStop'
  | 'entryPause'
  | 'entryCut'
  | 'keeperKill'
  | 'keeperPause'
  | 'keeperCut'
  /** Power loss of a keeper that loses its disk too. */
  | 'keeperWipe'
  /** Power loss of a keeper during a write to its journal. */
  | 'keeperTear'
  /** Power loss of all keepers. */
  | 'keepersKill'
  /** Power loss of all keepers and entries. */
  | 'fleetKill'
  | 'diskFull'
  | 'diskStall'
  | 'clockStep'
  /** Some open connections stop carrying data but stay open. */
  | 'silence'
  /** Some open connections are reset. */
  | 'reset'
  | 'delay'
  | 'targetKill'
  /** A target drains, exits and is restarted. */
  | 'targetLeave'
  | 'targetPause'
  /** A gray failure of a target. */
  | 'targetGrey'
  /** The operator submits several documents in quick succession. */
  | 'changes'
  /** The operator submits two documents concurrently. */
  | 'race'
  /** The operator replaces an organisation's key. */
  | 'revoke'
  /** The operator submits an invalid document. */
  | 'invalid'
  /** An entry reloads its settings file. */
  | 'reload';

export interface Step {
  kind: StepKind;
  /** Start, in seconds since traffic began. */
  at: number;
  /** Duration in seconds, for kinds that have one. */
  forSeconds: number;
  /** Index of the affected process. */
  index: number;
  /** Number in [0, 1) that selects a variant of the kind. */
  variant: number;
}

/** Relative frequency of each kind. Planned operations are drawn more often than faults. */
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

/** Maximum number of keepers that may be unavailable at once; equals `tolerated-losses` in the keepers' settings. */
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

/** Faults of all keepers at once; they never overlap with other keeper faults. */
const ALL_KEEPER_FAULTS = new Set<StepKind>(['keepersKill', 'fleetKill']);

/** How long a restarted keeper still counts as unavailable: it has to catch up with the log before it votes again. */
const CATCH_UP_SECONDS = 5;

const MEAN_STEP_INTERVAL_SECONDS = 0.8;
/** Longer than an entry's lease, so that an isolated entry has to detect the expiry by itself. */
const MAX_DURATION_SECONDS = 8;
const MIN_DURATION_SECONDS = 0.5;

/** A period in which requests that crash their targets are sent: copies of one, or prompts that share a part. */
export interface CrashingSpan {
  at: number;
  forSeconds: number;
  kind: observations.RequestKind;
  /** Mean interval between two copies, seconds; from well below to well above the time that a crash takes. */
  pauseSeconds: number;
  /** Whether the requests share only a part of their prompts. */
  isByPart: boolean;
}

/** A period in which overloaded targets report a rate limit in their responses. */
export interface LimitingSpan {
  at: number;
  forSeconds: number;
  /** Indexes of the targets. */
  targets: number[];
  /** Requests per second that each target accepts from the whole fleet. */
  perSecond: number;
}

/**
 * A period in which an entry is isolated from all other VMs, its wall clock is set back, and an API key is revoked,
 * all at once. The entry stops accepting the key in time only if it measures its lease with a monotonic clock.
 */
export interface IsolationSpan {
  at: number;
  /** Longer than the time within which a revoked key must be rejected. */
  forSeconds: number;
  /** Index of the entry. */
  index: number;
  /** Index of the organisation whose key is revoked. */
  organisation: number;
}

/**
 * A period in which targets reject requests with `Retry-After`; the first target reports in its responses that it is
 * draining instead.
 */
export type SheddingSpan = Omit<LimitingSpan, 'perSecond'> & { backOffSeconds: number };

/** A period in which a data centre is evacuated. */
export interface EvacuationSpan {
  at: number;
  forSeconds: number;
  dataCentre: string;
}

/** How paths fail: without a notice in both directions or towards the entry only, or by resets and refusals. */
export const PATH_FAILURES = ['silent', 'oneWay', 'refused'] as const;
export type PathFailure = (typeof PATH_FAILURES)[number];

/** A period in which entries lose their paths to all targets, and to nothing else. */
export interface SeveringSpan {
  at: number;
  forSeconds: number;
  /** Indexes of the entries. */
  entries: number[];
  failure: PathFailure;
}

/**
 * A period in which targets refuse a part of the requests and send a part of their answers a second time, late, while
 * unsafe calls come in waves.
 */
export type RepeatingSpan = Omit<LimitingSpan, 'perSecond'>;

/** A period in which sound targets are silent; several in a row concern the same ones. */
export type SilenceSpan = Omit<LimitingSpan, 'perSecond'> & {
  /** Whether their processes are stopped, so that they don't announce themselves either. */
  isStopped: boolean;
};

/** A period in which targets answer a part of their requests without an end. */
export type FloodingSpan = Omit<LimitingSpan, 'perSecond'> & { form: endlessAnswers.Form };

export interface Plan {
  seed: number;
  seconds: number;
  steps: Step[];
  crashing: CrashingSpan[];
  limiting: LimitingSpan[];
  shedding: SheddingSpan[];
  isolating: IsolationSpan[];
  evacuating: EvacuationSpan[];
  severing: SeveringSpan[];
  repeating: RepeatingSpan[];
  silencing: SilenceSpan[];
  flooding: FloodingSpan[];
  /** Undefined in runs without such losses. */
  lossSeries: lossSeries.LossSeries | undefined;
}

const CRASHING_REQUEST_KINDS: readonly observations.RequestKind[] = ['stream', 'safe', 'unsafe'];
const MEAN_CRASHING_INTERVAL_SECONDS = 4;

/** Share of the streams that crash engines by a part of their prompts. */
const CRASHING_PART_SHARE = 0.7;
const CRASHING_PART_SEED_OFFSET = 7_000_003;
const COPY_INTERVAL_SECONDS = { min: 0.01, max: 0.5 } as const;

type Random = domain.shared.random.Random;

function uniformBetween(random: Random, { min, max }: Record<'min' | 'max', number>): number {
  return min + (max - min) * random.uniform();
}

/**
 * Draws periods at random intervals. They have a random source of their own, so that the steps of a seed don't depend
 * on them.
 */
function drawSpans<T>(
  { seed, seconds, meanPause, minGap }: Record<'seed' | 'seconds' | 'meanPause' | 'minGap', number>,
  drawSpan: (random: Random, at: number) => T,
  firstAt?: number,
): T[] {
  const random = domain.shared.random.independent(seed);
  const drawPause = (): number => domain.shared.random.exponential(random, meanPause);
  const drawn: T[] = [];
  for (let at = firstAt ?? drawPause(); at < seconds; at += minGap + drawPause())
    drawn.push(drawSpan(random, at));
  return drawn;
}

function drawCrashing(seed: number, seconds: number): CrashingSpan[] {
  const meanPause = MEAN_CRASHING_INTERVAL_SECONDS;
  // Drawn apart, so that the rest of the plan stays the same for a seed.
  const partRandom = domain.shared.random.independent(seed + CRASHING_PART_SEED_OFFSET);
  return drawSpans({ seed, seconds, meanPause, minGap: 0 }, (random, at) => {
    const forSeconds = uniformBetween(random, {
      min: MIN_DURATION_SECONDS,
      max: MAX_DURATION_SECONDS,
    });
    const kind = domain.shared.random.pick(random, CRASHING_REQUEST_KINDS);
    const { min, max } = COPY_INTERVAL_SECONDS;
    const pauseSeconds = min + (max - min) * random.uniform() ** 2;
    const isByPart = kind === 'stream' && partRandom.uniform() < CRASHING_PART_SHARE;
    return { at, forSeconds, kind, pauseSeconds, isByPart };
  });
}

/**
 * The offsets are added to the seed, so that rate limits, load shedding and isolation are drawn independently of each
 * other, of the steps and of crashing requests.
 */
const LIMITING_SEED_OFFSET = 1_000_003;
const MEAN_LIMITING_INTERVAL_SECONDS = 3;
/** Longer than the few seconds after which a limit must hold and the few seconds over which it is measured. */
const LIMITING_SECONDS = { min: 8, max: 20 } as const;
const LIMIT_PER_SECOND = { min: 0.3, max: 5 } as const;
/** Maximum share of targets that report a limit at once. */
const MAX_LIMITED_SHARE = 0.8;

function drawLimiting(seed: number, seconds: number, targets: number): LimitingSpan[] {
  const numbers = Array.from({ length: targets }, (_, i) => i);
  const meanPause = MEAN_LIMITING_INTERVAL_SECONDS;
  return drawSpans({ seed, seconds, meanPause, minGap: LIMITING_SECONDS.max }, (random, at) => {
    const count = Math.ceil(MAX_LIMITED_SHARE * random.uniform() * targets);
    const forSeconds = uniformBetween(random, LIMITING_SECONDS);
    const drawn = domain.shared.random.shuffled(random, numbers).slice(0, count);
    return { at, forSeconds, targets: drawn, perSecond: uniformBetween(random, LIMIT_PER_SECOND) };
  });
}

const SHEDDING_SEED_OFFSET = 3_000_003;

const ISOLATION_SEED_OFFSET = 2_000_003;
const MEAN_ISOLATION_INTERVAL_SECONDS = 6;
const ISOLATION_SECONDS = 10;

const EVACUATION_SEED_OFFSET = 4_000_003;
const MEAN_EVACUATION_INTERVAL_SECONDS = 4;
/** Longer than the bound, so that some traffic is checked after it. */
const EVACUATION_SECONDS = { min: 7, max: 12 } as const;

function drawEvacuations(seed: number, seconds: number): EvacuationSpan[] {
  const timing = { seconds, meanPause: MEAN_EVACUATION_INTERVAL_SECONDS };
  const minGap = EVACUATION_SECONDS.max;
  return drawSpans({ seed: seed + EVACUATION_SEED_OFFSET, ...timing, minGap }, (random, at) => ({
    at,
    forSeconds: uniformBetween(random, EVACUATION_SECONDS),
    dataCentre: domain.shared.random.pick(random, layout.DATA_CENTRES),
  }));
}

const SEVERING_SEED_OFFSET = 5_000_003;
const MEAN_SEVERING_INTERVAL_SECONDS = 5;
/** Longer than the time after which such entries must serve their callers again. */
const SEVERING_SECONDS = { min: 6, max: 12 } as const;
/** Shares of the entries of a data centre that lose their paths together. */
const SEVERED_SHARES = [0.34, 0.67, 1] as const;
/** Number of data centres whose entries lose their paths together; some entries always keep theirs. */
const MAX_SEVERED_DATA_CENTRES = layout.DATA_CENTRES.length - 1;

function drawSevering(seed: number, seconds: number, entries: number): SeveringSpan[] {
  const timing = { seconds, meanPause: MEAN_SEVERING_INTERVAL_SECONDS };
  const minGap = SEVERING_SECONDS.max;
  return drawSpans({ seed: seed + SEVERING_SEED_OFFSET, ...timing, minGap }, (random, at) => {
    const count = 1 + domain.shared.random.below(random, MAX_SEVERED_DATA_CENTRES);
    const share = domain.shared.random.pick(random, SEVERED_SHARES);
    const drawn = domain.shared.random.shuffled(random, layout.DATA_CENTRES).slice(0, count);
    const severed = drawn.flatMap((dataCentre) => {
      const local = Array.from({ length: entries }, (_, i) => i).filter((i) => {
        return layout.dataCentreOf(i) === dataCentre;
      });
      return local.slice(0, Math.ceil(share * local.length));
    });
    const failure = domain.shared.random.pick(random, PATH_FAILURES);
    return { at, forSeconds: uniformBetween(random, SEVERING_SECONDS), entries: severed, failure };
  });
}

function drawIsolation(seed: number, seconds: number, entries: number): IsolationSpan[] {
  const timing = { seconds, meanPause: MEAN_ISOLATION_INTERVAL_SECONDS };
  const minGap = ISOLATION_SECONDS;
  return drawSpans({ seed: seed + ISOLATION_SEED_OFFSET, ...timing, minGap }, (random, at) => ({
    at,
    forSeconds: ISOLATION_SECONDS,
    index: domain.shared.random.below(random, entries),
    organisation: domain.shared.random.below(random, layout.ORGANISATIONS),
  }));
}

const REPEATING_SEED_OFFSET = 6_000_003;
const MEAN_REPEATING_INTERVAL_SECONDS = 3;
const REPEATING_SECONDS = { min: 8, max: 12 } as const;
/** Share of the engines; plain targets repeat answers together, as entries prefer one that refuses nothing. */
const REPEATING_SHARE = 0.6;
/** The first period starts before all steps and back-offs, so that each run has some waves. */
export const FIRST_REPEATING_SECONDS = -6;

function drawRepeating(
  seed: number,
  seconds: number,
  { engines, services }: layout.Layout,
): RepeatingSpan[] {
  const meanPause = MEAN_REPEATING_INTERVAL_SECONDS;
  const timing = { seed: seed + REPEATING_SEED_OFFSET, seconds, meanPause };
  const indexes = Array.from({ length: engines }, (_, i) => i);
  const plain = Array.from({ length: services }, (_, i) => engines + i);
  const draw = (random: Random, at: number): RepeatingSpan => {
    const shuffled = domain.shared.random.shuffled(random, indexes);
    const targets = [...plain, ...shuffled.slice(0, Math.ceil(REPEATING_SHARE * engines))];
    return { at, forSeconds: uniformBetween(random, REPEATING_SECONDS), targets };
  };
  return drawSpans({ ...timing, minGap: REPEATING_SECONDS.max }, draw, FIRST_REPEATING_SECONDS);
}

const SILENCE_SEED_OFFSET = 9_000_003;
const MEAN_SILENCE_INTERVAL_SECONDS = 3;
const SILENCE_SECONDS = { min: 0.3, max: 2.5 } as const;
/** Number of periods in a row, and the time from the start of one to that of the next. */
const MAX_SILENCES = 2;
const SILENCE_PERIOD_SECONDS = { min: 3.5, max: 5 } as const;
const SILENT_SCOPES = ['one', 'localService', 'service', 'all'] as const;
/** All targets are silent first, before all other faults and long enough to be noticed, with streams under way. */
export const FIRST_SILENCE_SECONDS = -9;
export const TRAFFIC_START_SECONDS = -10;
const FIRST_SILENCE = { min: 1.8, max: 2.5 } as const;

function drawSilences(seed: number, seconds: number, size: layout.Layout): SilenceSpan[] {
  const { engines, services } = size;
  const targets = Array.from({ length: engines + services }, (_, i) => i);
  const timing = { seed: seed + SILENCE_SEED_OFFSET, seconds };
  const meanPause = MEAN_SILENCE_INTERVAL_SECONDS;
  const minGap = MAX_SILENCES * SILENCE_PERIOD_SECONDS.max;
  const draw = (random: Random, firstAt: number): SilenceSpan[] => {
    const isFirst = firstAt === FIRST_SILENCE_SECONDS;
    const scope = isFirst ? 'all' : domain.shared.random.pick(random, SILENT_SCOPES);
    const one = domain.shared.random.pick(random, targets);
    const silent = targets.filter((each) => {
      if (scope === 'one') return each === one;
      const isLocal = layout.dataCentreOf(each) === layout.dataCentreOf(one);
      const isSameService = each < engines === one < engines;
      return scope === 'all' || (isSameService && (scope === 'service' || isLocal));
    });
    const isStopped = random.uniform() < 0.5;
    const pause = uniformBetween(random, SILENCE_PERIOD_SECONDS);
    const count = 1 + domain.shared.random.below(random, MAX_SILENCES);
    return Array.from({ length: count }, (_, i) => {
      const forSeconds = uniformBetween(random, isFirst ? FIRST_SILENCE : SILENCE_SECONDS);
      return { at: firstAt + i * pause, forSeconds, targets: silent, isStopped };
    }).filter(({ at }) => at < seconds);
  };
  return drawSpans({ ...timing, meanPause, minGap }, draw, FIRST_SILENCE_SECONDS).flat();
}

const FLOODING_SEED_OFFSET = 12_000_003;
const MEAN_FLOODING_INTERVAL_SECONDS = 12;
const FLOODING_SECONDS = { min: 4, max: 10 } as const;
/** Share of the targets that flood entries at once; some are always sound. */
const FLOODING_SHARE = 0.5;

function drawFlooding(seed: number, seconds: number, targets: number): FloodingSpan[] {
  const numbers = Array.from({ length: targets }, (_, i) => i);
  // Drawn from the start of the waves on, which give many of these targets' answers no end.
  const startsAt = FIRST_REPEATING_SECONDS;
  const timing = { seconds: seconds - startsAt, meanPause: MEAN_FLOODING_INTERVAL_SECONDS };
  const minGap = FLOODING_SECONDS.max;
  return drawSpans({ seed: seed + FLOODING_SEED_OFFSET, ...timing, minGap }, (random, at) => ({
    at: at + startsAt,
    forSeconds: uniformBetween(random, FLOODING_SECONDS),
    targets: domain.shared.random
      .shuffled(random, numbers)
      .slice(0, Math.ceil(FLOODING_SHARE * targets)),
    form: domain.shared.random.pick(random, endlessAnswers.FORMS),
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

/** Number of processes that a step of this kind chooses from. */
function candidateCount(
  kind: StepKind,
  { keepers, entries, engines, services }: layout.Layout,
): number {
  if (KEEPER_FAULTS.has(kind)) return keepers;
  if (kind.startsWith('target')) return engines + services;
  if (kind === 'clockStep') return keepers + entries;
  return entries;
}

/** Whether a step would make more keepers unavailable than the fleet tolerates. */
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
  const evacuating = drawEvacuations(seed, seconds);
  const severing = drawSevering(seed, seconds, size.entries);
  const repeating = drawRepeating(seed, seconds, size);
  const silencing = drawSilences(seed, seconds, size);
  const drawn = { crashing, limiting, shedding, isolating, evacuating, severing };
  const flooding = drawFlooding(seed, seconds, size.engines + size.services);
  const spans = { ...drawn, repeating, silencing, flooding };
  return { seed, seconds, steps, ...spans, lossSeries: lossSeries.draw(seed) };
}
