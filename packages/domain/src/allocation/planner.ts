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
import * as lateness from './lateness';
import * as load from './load';
import * as outlooks from './outlook';
import * as postponement from './postponement';
import * as weights from './weights';

export interface Prompt {
  tokens: number;
  /** Expected answer, tokens. */
  answerTokens: number;
  objectiveMs: number;
  pauseMs: number;
  /** How long the caller has waited already, milliseconds. */
  waitedMs: number;
  dataCentre: string;
  /** The only targets that may write the answer; undefined for any. */
  writers?: readonly string[];
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

export type Decision =
  | { kind: 'begin'; plan: Plan }
  /** It is better begun in so many milliseconds, when engines have read what they have to. */
  | { kind: 'later'; inMs: number }
  /** No engine has a place, or none for which it is worth it. */
  | { kind: 'full' };

/**
 * Parts aren't shorter than this, milliseconds: less than a pass saves nothing, and a request fails with each of
 * the engines that read it.
 */
const SHORTEST_PART_MS = 40;

/** Numbers of engines that are tried for one prompt. */
const PART_COUNTS = [1, 2, 3, 4, 6, 8, 12, 17];

/**
 * What a token of an answer counts against one of a prompt. With five, requests of 5k, 45k and 154k tokens count
 * as 1 : 3.8 : 12; their callers say that they are worth 1 : 3.2 : 16 to them.
 */
const ANSWER_WEIGHT = 5;

/** Writers whose pauses are at least this share of a request's own are as tolerant as it is. */
const ALIKE_SHARE = 0.5;

/** Parts up to this length shut an engine for nobody; milliseconds, two passes. */
const HARMLESS_PART_MS = 100;

/** Share of an engine's memory that must be free to write the answer of a prompt larger than the engine. */
const LEAST_WRITER_SHARE = 0.5;

/** Part of the free memory of an engine that a larger prompt may take there. */
const RESERVED_SHARE = 0.92;

/** Fewer tokens aren't worth a reservation on an engine; a tenth of one's memory. */
const LEAST_KEPT_TOKENS = 30_000;

interface Candidate {
  load: load.Load;
  outlook: outlooks.Outlook;
  /** Whether it may help to read for one more. */
  mayHelp: boolean;
  /** Share of its last dispatches that failed. */
  failureShare: number;
}

/** What each of the engines that read a prompt has to do for it. */
interface Part {
  readMs: number;
  /** Whether others read parts too. */
  isShared: boolean;
}

interface Scored {
  candidate: Candidate;
  /** What a part there spoils by longer pauses of those who write there. */
  spoiledPauses: number;
  /** That, what it delays, and what the request itself loses by the wait there. */
  harm: number;
  /** Order among helpers, the least first. */
  asHelper: number;
}

export class Planner {
  constructor(
    private readonly engine: catalogue.Engine,
    private readonly weighed: weights.Weights = weights.WEIGHTS,
  ) {}

  /** What is best for a prompt over `loads`; with `mayWait`, also to begin later. */
  decide(prompt: Prompt, loads: readonly load.Load[], now: number, mayWait: boolean): Decision {
    const needed = this.leastWriterMemory(prompt);
    const hasPlace = new Set(
      loads.filter(({ freeSlots, freeMemory, record }) => {
        const mayWrite = prompt.writers?.includes(record.id) !== false;
        return mayWrite && freeSlots > 0 && freeMemory >= needed;
      }),
    );
    if (hasPlace.size === 0) return { kind: 'full' };
    const candidates = loads.map((each) => {
      return {
        load: each,
        outlook: new outlooks.Outlook(each, now),
        mayHelp: each.mayHelp(this.weighed.mostHelped, now),
        failureShare: each.soundness.failureShare(now),
      };
    });
    const mostParts = Math.min(loads.length, this.weighed.mostParts);
    const counts = PART_COUNTS.filter((count) => count <= mostParts);
    const whole = cost.readMs(this.engine, prompt.tokens);
    const sensible = counts.filter((count) => count === 1 || whole / count >= SHORTEST_PART_MS);
    const plans = sensible.flatMap((parts) => {
      const plan = this.planFor(prompt, parts, candidates, hasPlace);
      return plan === undefined ? [] : [plan];
    });
    if (plans.length === 0) return { kind: 'full' };
    const best = least(plans, ({ harm }) => harm);
    const value = valueOf(prompt);
    const laterMs = !(mayWait && this.weighed.mayPostpone)
      ? undefined
      : postponement.betterInMs({
          engine: this.engine,
          prompt,
          value,
          harm: best.harm,
          partCounts: sensible,
          outlooks: candidates.map(({ outlook }) => outlook),
        });
    if (laterMs !== undefined) return { kind: 'later', inMs: laterMs };
    // An answer that spoils more than it is worth, or that its caller won't wait for, isn't begun.
    const isWorthIt = best.harm < value || !this.weighed.refusesHarmful;
    return isWorthIt ? { kind: 'begin', plan: best } : { kind: 'full' };
  }

  /** Most engines among which it makes sense to divide the reading of a prompt. */
  sensibleParts({ tokens }: Prompt): number {
    return Math.max(1, cost.readMs(this.engine, tokens) / SHORTEST_PART_MS);
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
    const part = {
      readMs: cost.readMs(this.engine, prompt.tokens, parts),
      isShared: parts > 1,
    };
    const value = valueOf(prompt);
    const scored = candidates
      .filter(({ mayHelp }) => parts === 1 || mayHelp)
      .map((candidate) => this.score(prompt, candidate, part));
    const withPlace = scored.filter(({ candidate }) => hasPlace.has(candidate.load));
    if (withPlace.length === 0) return undefined;
    const writer = least(withPlace, ({ candidate, harm }) => {
      return harm - value * this.weighed.packGain * alikeWriters(prompt, candidate.load);
    });
    const helpers = parts === 1 ? [] : bestHelpers(scored, writer, parts - 1);
    const storing = helpers.map(({ candidate }) => candidate.load);
    // A reservation takes several messages, of which an engine with a limit takes few.
    const storage =
      store(prompt, writer.candidate.load, storing, ({ isLimited }) => !isLimited) ??
      store(prompt, writer.candidate.load, storing, () => true);
    if (storage === undefined) return undefined;
    const all = [writer, ...helpers];
    const outlookOf = all.map(({ candidate }) => candidate.outlook);
    const firstTokenMs = Math.max(
      ...outlookOf.map((each) => each.firstTokenMs(part.readMs, part.isShared)),
    );
    const pauses = all.reduce((sum, each) => sum + each.spoiledPauses, 0);
    const delays = this.delaysBy(part, outlookOf);
    const { partLoss, blockLoss } = this.weighed;
    const blocked = Math.max(0, part.readMs - HARMLESS_PART_MS) / prompt.objectiveMs;
    const late = value * lateness.loss(prompt.waitedMs + firstTokenMs, prompt.objectiveMs);
    return {
      writer: writer.candidate.load,
      ...storage,
      partMs: part.readMs,
      firstTokenMs,
      harm: pauses + delays + late + value * (parts * partLoss + blockLoss * blocked),
    };
  }

  /** What readings lose by a further part on these engines. */
  private delaysBy({ readMs, isShared }: Part, on: readonly outlooks.Outlook[]): number {
    if (!this.weighed.countsDelays) return 0;
    return outlooks.lossBy(on.flatMap((each) => each.delays(readMs, isShared)));
  }

  /** What a part on this engine spoils, with a preference for the shorter queue and way. */
  private score(prompt: Prompt, candidate: Candidate, part: Part): Scored {
    const { load: on, outlook } = candidate;
    const { readMs, isShared } = part;
    const { tightRisk, nearMs, waitLoss, failureLoss } = this.weighed;
    const risk = isTight(prompt, on) ? tightRisk * lateness.LATE_LOSS : lateness.LATE_LOSS;
    const isTooLong = readMs > outlook.allowanceMs;
    const spoiledPauses = isTooLong ? risk * outlook.valueAtRisk(readMs) : 0;
    const firstTokenMs = outlook.firstTokenMs(readMs, isShared);
    const waits = lateness.loss(prompt.waitedMs + firstTokenMs, prompt.objectiveMs);
    const way = on.record.dataCentre === prompt.dataCentre ? 0 : nearMs;
    const queue = (waitLoss * (outlook.pendingMs + firstTokenMs + way)) / prompt.objectiveMs;
    const fails = failureLoss * candidate.failureShare;
    const value = valueOf(prompt);
    const harm = spoiledPauses + this.delaysBy(part, [outlook]) + value * (waits + queue + fails);
    const steps = this.weighed.spreadLoss * helpSteps(prompt, candidate);
    return { candidate, spoiledPauses, harm, asHelper: harm + value * steps };
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
  mayKeep: (helper: load.Load) => boolean,
): Pick<Plan, 'writerTokens' | 'helpers'> | undefined {
  const whole = tokens + answerTokens;
  const writerTokens = whole <= writer.freeMemory ? whole : RESERVED_SHARE * writer.freeMemory;
  let rest = whole - writerTokens;
  const storing = helpers.map((each) => {
    const room = mayKeep(each) ? RESERVED_SHARE * each.freeMemory : 0;
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

/** Requests on an engine whose callers bear pauses as long: with those a request is packed. */
function alikeWriters({ pauseMs }: Prompt, on: load.Load): number {
  const tightest = on.tightestPauseMs;
  const isAlike = tightest <= pauseMs && tightest >= ALIKE_SHARE * pauseMs;
  return isAlike ? on.writers : 0;
}

/** Whether callers of an engine bear clearly shorter pauses than this one. */
function isTight(prompt: Prompt, on: load.Load): boolean {
  return on.tightestPauseMs < ALIKE_SHARE * prompt.pauseMs;
}

/**
 * Among engines on which a part spoils nothing, those help first that already work for callers as tolerant
 * as this one; then idle ones; last those with tight pauses, the emptiest first.
 */
function helpSteps(prompt: Prompt, { load: on, outlook }: Candidate): number {
  const isIdle = on.writers === 0 && outlook.pendingMs === 0;
  return (isIdle ? 1 : 0) + (isTight(prompt, on) ? 2 + on.writers : 0);
}

function bestHelpers(scored: readonly Scored[], writer: Scored, count: number): Scored[] {
  return scored
    .filter((each) => each !== writer)
    .sort((a, b) => a.asHelper - b.asHelper)
    .slice(0, count);
}

function least<T>(items: readonly T[], sizeOf: (item: T) => number): T {
  return items.reduce((best, item) => (sizeOf(item) < sizeOf(best) ? item : best));
}
