/**
 * Chooses the engines for one prompt. Two figures decide: how long the caller waits for the first token,
 * and how long the pauses of those become who already write on the engines that read it.
 *
 * The pattern it answers: many short prompts whose callers bear pauses of a quarter of a second, and few
 * long ones whose reading takes seconds. A long prompt is read in parts by several engines, each part
 * within the pause that the engine's writers bear; requests with tight pauses are packed together, so
 * that the other engines stay free for long parts. The border between the two moves with demand, as both
 * follow from what the engines hold at the moment.
 */
import type * as catalogue from '../catalogue/catalogue';
import * as cost from './cost';
import * as load from './load';

export interface Prompt {
  tokens: number;
  /** Expected answer, tokens. */
  answerTokens: number;
  objectiveMs: number;
  pauseMs: number;
  /** How long the caller has waited already, milliseconds. */
  waitedMs: number;
  dataCentre: string;
}

/** An engine that helps to read, and keeps tokens of the prompt's memory where the writer lacks room. */
export interface Helper {
  load: load.Load;
  /** Tokens of memory that are reserved there; 0 where it only reads. */
  keptTokens: number;
}

export interface Plan {
  writer: load.Load;
  /** Tokens of memory that the request takes on the writer's engine. */
  writerTokens: number;
  helpers: Helper[];
  /** Reading on each of the engines, milliseconds. */
  partMs: number;
  firstTokenMs: number;
  /** What the plan spoils: tokens of work that come late, of this request and of others. */
  harm: number;
}

/** Most engines that help one to read; the engines' interface takes no more. */
export const MAX_HELPERS = 16;

/**
 * Parts aren't shorter than this, milliseconds: less than a pass saves nothing, and a request fails with each of
 * the engines that read it.
 */
const SHORTEST_PART_MS = 40;

/** Numbers of engines that are tried for one prompt. */
const PART_COUNTS = [1, 2, 3, 4, 6, 8, 12, MAX_HELPERS + 1];

/**
 * Shares of the objective between which a predicted first token turns from surely in time to surely late.
 * Wide, as the prediction misses by a pass or two.
 */
const SURELY_IN_TIME = 0.6;
const SURELY_LATE = 1;

/** What a late answer is worth less than one in time; callers' own figures lie around a quarter. */
const LATE_LOSS = 0.75;

/** Further loss for each objective that an answer is later; prefers the sooner of two late ones. */
const LATE_SLOPE = 0.02;

/**
 * Callers wait for a first token up to this many objectives, and leave; an answer after that is lost. From the
 * users' pages.
 */
const GIVEN_UP = 4;

/**
 * What a token of an answer counts against one of a prompt. With five, requests of 5k, 45k and 154k tokens count
 * as 1 : 3.8 : 12; their callers say that they are worth 1 : 3.2 : 16 to them.
 */
const ANSWER_WEIGHT = 5;

/** Preference for the caller's own data centre, as milliseconds of its objective. */
const NEAR_MS = 3;

/** Preference for an engine for each request there with equally tight pauses, as a share of this one. */
const PACK_GAIN = 0.01;

/** Loss by a wait of the whole objective that still leaves the answer in time, as a share of the request. */
const WAIT_LOSS = 0.002;

/** Loss by a failure, as a share of the request: a second target answers most, and most of them late. */
const FAILURE_LOSS = 0.5;

/** Writers whose pauses are at least this share of a request's own are as tolerant as it is. */
const ALIKE_SHARE = 0.5;

/** Cost of one more engine for a prompt, as a share of the request. */
const PART_LOSS = 0.001;

/**
 * Cost of keeping each engine for the whole objective, as a share of the request: long parts shut an engine
 * for short prompts. With `PART_LOSS`, a mean long prompt is read by four to six engines where all are free.
 */
const BLOCK_LOSS = 0.02;

/** Parts up to this length shut an engine for nobody; milliseconds, two passes. */
const HARMLESS_PART_MS = 100;

/**
 * Passes between the reading's start and the first event: half of the one that runs when the prompt comes,
 * on average, and a whole one that writes the event.
 */
const PASSES_WHERE_OTHERS_WRITE = 1.5;

/**
 * What a part spoils where callers bear less than this one's, against what the writers there are worth now:
 * others come before the part is read. Measured on calm days with few short and many long prompts.
 */
const TIGHT_RISK = 2;

/** Cost of help by an engine that is idle or whose callers bear less, in steps, as a share of the request. */
const SPREAD_LOSS = 0.002;

/** Share of an engine's memory that must be free to write the answer of a prompt larger than the engine. */
const LEAST_WRITER_SHARE = 0.5;

/** Part of the free memory of an engine that a larger prompt may take there. */
const RESERVED_SHARE = 0.92;

/** Fewer tokens aren't worth a reservation on an engine; a tenth of one's memory. */
const LEAST_KEPT_TOKENS = 30_000;

interface Candidate {
  load: load.Load;
  /** Whether it helps as many others as it takes. */
  isHelpingMost: boolean;
  /** Reading it may take before someone's pause is too long, milliseconds. */
  allowanceMs: number;
  pendingMs: number;
  /** Share of its last dispatches that failed. */
  failureShare: number;
}

interface Scored {
  candidate: Candidate;
  /** What a part there spoils for others. */
  spoiled: number;
  /** That, and what the request itself loses by the wait there. */
  harm: number;
  /** Order among helpers, the least first. */
  asHelper: number;
}

export class Planner {
  constructor(private readonly engine: catalogue.Engine) {}

  /** The plan over `loads` that spoils least, or undefined where none is worth it or no engine has a place. */
  plan(prompt: Prompt, loads: readonly load.Load[], now: number): Plan | undefined {
    const needed = this.leastWriterMemory(prompt);
    const hasPlace = new Set(
      loads.filter((each) => each.freeSlots > 0 && each.freeMemory >= needed),
    );
    if (hasPlace.size === 0) return undefined;
    const candidates = loads.map((each) => {
      return {
        load: each,
        isHelpingMost: each.helping(now) >= each.engine.slots,
        allowanceMs: each.allowanceMs(now),
        pendingMs: each.pendingReadMs(now),
        failureShare: each.soundness.failureShare(now),
      };
    });
    const counts = PART_COUNTS.filter((count) => count <= loads.length);
    const whole = cost.readMs(this.engine, prompt.tokens);
    const sensible = counts.filter((count) => count === 1 || whole / count >= SHORTEST_PART_MS);
    const plans = sensible.flatMap((parts) => {
      const plan = this.planFor(prompt, parts, candidates, hasPlace);
      return plan === undefined ? [] : [plan];
    });
    if (plans.length === 0) return undefined;
    const best = least(plans, ({ harm }) => harm);
    // An answer that spoils more than it is worth, or that its caller won't wait for, isn't begun.
    return best.harm < valueOf(prompt) ? best : undefined;
  }

  /** Memory that an engine must have free to write the answer: all of it, or what helpers can't keep. */
  private leastWriterMemory({ tokens, answerTokens }: Prompt): number {
    const whole = tokens + answerTokens;
    const { memoryTokens } = this.engine;
    return whole <= memoryTokens ? whole : LEAST_WRITER_SHARE * memoryTokens;
  }

  private planFor(
    prompt: Prompt,
    parts: number,
    candidates: readonly Candidate[],
    hasPlace: ReadonlySet<load.Load>,
  ): Plan | undefined {
    const partMs = cost.readMs(this.engine, prompt.tokens, parts);
    const value = valueOf(prompt);
    const scored = candidates
      .filter(({ isHelpingMost }) => parts === 1 || !isHelpingMost)
      .map((candidate) => this.score(prompt, candidate, partMs));
    const withPlace = scored.filter(({ candidate }) => hasPlace.has(candidate.load));
    if (withPlace.length === 0) return undefined;
    const writer = least(withPlace, ({ candidate, harm }) => {
      return harm - value * packingGain(prompt, candidate.load);
    });
    const helpers = parts === 1 ? [] : bestHelpers(scored, writer, parts - 1);
    const storage = store(
      prompt,
      writer.candidate.load,
      helpers.map(({ candidate }) => candidate.load),
    );
    if (storage === undefined) return undefined;
    const firstTokenMs = Math.max(
      ...[writer, ...helpers].map(({ candidate }) => this.firstTokenMs(candidate, partMs)),
    );
    const spoiled = helpers.reduce((sum, each) => sum + each.spoiled, writer.spoiled);
    const blocked = Math.max(0, partMs - HARMLESS_PART_MS) / prompt.objectiveMs;
    const late = value * loss(prompt.waitedMs + firstTokenMs, prompt.objectiveMs);
    return {
      writer: writer.candidate.load,
      ...storage,
      partMs,
      firstTokenMs,
      harm: spoiled + late + value * (parts * PART_LOSS + BLOCK_LOSS * blocked),
    };
  }

  /** What a part on this engine spoils, with a preference for the shorter queue and way. */
  private score(prompt: Prompt, candidate: Candidate, partMs: number): Scored {
    const { load: on, allowanceMs, pendingMs } = candidate;
    const isTooLong = partMs > allowanceMs;
    const risk = isTight(prompt, on) ? TIGHT_RISK * LATE_LOSS : LATE_LOSS;
    const spoiled = isTooLong ? risk * on.valueAtRisk(partMs, pendingMs) : 0;
    const waits = loss(prompt.waitedMs + this.firstTokenMs(candidate, partMs), prompt.objectiveMs);
    const way = on.record.dataCentre === prompt.dataCentre ? 0 : NEAR_MS;
    const queue = (WAIT_LOSS * (pendingMs + way)) / prompt.objectiveMs;
    const fails = FAILURE_LOSS * candidate.failureShare;
    const harm = spoiled + valueOf(prompt) * (waits + queue + fails);
    return { candidate, spoiled, harm, asHelper: helperScore(prompt, candidate, harm) };
  }

  private firstTokenMs({ load: on, pendingMs }: Candidate, partMs: number): number {
    const passes = on.writers > 0 ? PASSES_WHERE_OTHERS_WRITE : 1;
    return pendingMs + on.pace * partMs + passes * on.passMs();
  }
}

/**
 * Spreads a prompt's memory: as much as fits on the writer's engine, the rest on helpers with room. A
 * reservation never asks for all that is free, as what is counted as free may be used by now.
 */
function store(
  { tokens, answerTokens }: Prompt,
  writer: load.Load,
  helpers: readonly load.Load[],
): Pick<Plan, 'writerTokens' | 'helpers'> | undefined {
  const whole = tokens + answerTokens;
  const writerTokens = whole <= writer.freeMemory ? whole : RESERVED_SHARE * writer.freeMemory;
  let rest = whole - writerTokens;
  const storing = helpers.map((each) => {
    const room = RESERVED_SHARE * each.freeMemory;
    const keptTokens = Math.ceil(room >= LEAST_KEPT_TOKENS ? Math.min(room, rest) : 0);
    rest -= keptTokens;
    return { load: each, keptTokens };
  });
  return rest > 0 ? undefined : { writerTokens, helpers: storing };
}

/** The work of a request in tokens; what is lost when it fails, and most of it when it is late. */
export function valueOf({ tokens, answerTokens }: Prompt): number {
  return tokens + ANSWER_WEIGHT * answerTokens;
}

/** Requests are packed with those whose callers bear pauses as long, so that other engines stay clear. */
function packingGain({ pauseMs }: Prompt, on: load.Load): number {
  const tightest = on.tightestPauseMs;
  const isAlike = tightest <= pauseMs && tightest >= ALIKE_SHARE * pauseMs;
  return isAlike ? PACK_GAIN * on.writers : 0;
}

/** Whether callers of an engine bear clearly shorter pauses than this one. */
function isTight(prompt: Prompt, on: load.Load): boolean {
  return on.tightestPauseMs < ALIKE_SHARE * prompt.pauseMs;
}

/**
 * Among engines on which a part spoils nothing, those help first that already work for callers as tolerant
 * as this one; then idle ones; last those with tight pauses, the emptiest first.
 */
function helperScore(prompt: Prompt, { load: on, pendingMs }: Candidate, harm: number): number {
  const isIdle = on.writers === 0 && pendingMs === 0;
  const steps = (isIdle ? 1 : 0) + (isTight(prompt, on) ? 2 + on.writers : 0);
  return harm + SPREAD_LOSS * steps * valueOf(prompt);
}

function bestHelpers(scored: readonly Scored[], writer: Scored, count: number): Scored[] {
  return scored
    .filter((each) => each !== writer)
    .sort((a, b) => a.asHelper - b.asHelper)
    .slice(0, count);
}

/**
 * The part of a request's value that is lost when its first token comes after `ms`: nothing, most of it when
 * it is late, all of it when its caller has left by then.
 */
function loss(ms: number, objectiveMs: number): number {
  const share = ms / objectiveMs;
  if (share <= SURELY_IN_TIME) return 0;
  if (share >= GIVEN_UP) return 1 + (share - GIVEN_UP) / 100;
  if (share >= SURELY_LATE) return LATE_LOSS + LATE_SLOPE * (share - SURELY_LATE);
  return (LATE_LOSS * (share - SURELY_IN_TIME)) / (SURELY_LATE - SURELY_IN_TIME);
}

function least<T>(items: readonly T[], score: (item: T) => number): T {
  return items.reduce((best, item) => (score(item) < score(best) ? item : best));
}
