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
  decoder: load.Load;
  /** Tokens of memory that the request takes on the writer's engine. */
  decoderTokens: number;
  helpers: Helper[];
  /** Reading on each of the engines, milliseconds. */
  partMs: number;
  firstTokenMs: number;
  /** What the plan spoils: tokens of work that come late, of this request and of others. */
  penalty: number;
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
const MIN_PART_MS = 40;

/** Numbers of engines that are tried for one prompt. */
const PART_COUNTS = [1, 2, 3, 4, 6, 8, 12, 17];

/**
 * What a token of an answer counts against one of a prompt. With five, requests of 5k, 45k and 154k tokens count
 * as 1 : 3.8 : 12; their callers say that they are worth 1 : 3.2 : 16 to them.
 */
const ANSWER_WEIGHT = 5;

/** Writers whose pauses are at least this share of a request's own are as tolerant as it is. */
const SIMILAR_GAP_FRACTION = 0.5;

/** Parts up to this length shut an engine for nobody; milliseconds, two passes. */
const MAX_NONBLOCKING_PART_MS = 100;

/** Share of an engine's memory that must be free to write the answer of a prompt larger than the engine. */
const MIN_DECODER_MEMORY_FRACTION = 0.5;

/** Part of the free memory of an engine that a larger prompt may take there. */
const MAX_RESERVATION_FRACTION = 0.92;

/** Fewer tokens aren't worth a reservation on an engine; a tenth of one's memory. */
const MIN_KEPT_TOKENS = 30_000;

interface Candidate {
  load: load.Load;
  forecast: outlooks.LoadForecast;
  /** Whether it may help to read for one more. */
  mayHelp: boolean;
  /** Share of its last dispatches that failed. */
  failureShare: number;
}

/** What each of the engines that read a prompt has to do for it. */
interface Part {
  prefillMs: number;
  /** Whether others read parts too. */
  isShared: boolean;
}

interface Scored {
  candidate: Candidate;
  /** What a part there spoils by longer pauses of those who write there. */
  gapPenalty: number;
  /** That, what it delays, and what the request itself loses by the wait there. */
  penalty: number;
  /** Order among helpers, the least first. */
  helperPenalty: number;
}

export class Planner {
  constructor(
    private readonly engine: catalogue.Engine,
    private readonly planWeights: weights.Weights = weights.WEIGHTS,
  ) {}

  /** What is best for a prompt over `loads`; with `mayWait`, also to begin later. */
  decide(prompt: Prompt, loads: readonly load.Load[], now: number, mayWait: boolean): Decision {
    const needed = this.minDecoderMemory(prompt);
    const mayDecode = new Set(
      loads.filter(({ freeSlots, freeMemory, record }) => {
        const isAllowed = prompt.writers?.includes(record.id) !== false;
        return isAllowed && freeSlots > 0 && freeMemory >= needed;
      }),
    );
    if (mayDecode.size === 0) return { kind: 'full' };
    const candidates = loads.map((each) => {
      return {
        load: each,
        forecast: new outlooks.LoadForecast(each, now),
        mayHelp: each.mayHelp(this.planWeights.mostHelped, now),
        failureShare: each.health.failureShare(now),
      };
    });
    const maxParts = Math.min(loads.length, this.planWeights.mostParts);
    const partCounts = PART_COUNTS.filter((count) => count <= maxParts);
    const wholeMs = cost.readMs(this.engine, prompt.tokens);
    const usefulPartCounts = partCounts.filter(
      (count) => count === 1 || wholeMs / count >= MIN_PART_MS,
    );
    const plans = usefulPartCounts.flatMap((parts) => {
      const plan = this.planWithParts(prompt, parts, candidates, mayDecode);
      return plan === undefined ? [] : [plan];
    });
    if (plans.length === 0) return { kind: 'full' };
    const best = minBy(plans, ({ penalty }) => penalty);
    const value = valueOf(prompt);
    const deferralMs = !(mayWait && this.planWeights.mayPostpone)
      ? undefined
      : postponement.deferralMs({
          engine: this.engine,
          prompt,
          value,
          penalty: best.penalty,
          partCounts: usefulPartCounts,
          forecasts: candidates.map(({ forecast }) => forecast),
        });
    if (deferralMs !== undefined) return { kind: 'later', inMs: deferralMs };
    // An answer that spoils more than it is worth, or that its caller won't wait for, isn't begun.
    const isWorthIt = best.penalty < value || !this.planWeights.refusesHarmful;
    return isWorthIt ? { kind: 'begin', plan: best } : { kind: 'full' };
  }

  /** Most engines among which it makes sense to divide the reading of a prompt. */
  maxUsefulParts({ tokens }: Prompt): number {
    return Math.max(1, cost.readMs(this.engine, tokens) / MIN_PART_MS);
  }

  /** Memory that an engine must have free to write the answer: all of it, or what helpers can't keep. */
  private minDecoderMemory({ tokens, answerTokens }: Prompt): number {
    const whole = tokens + answerTokens;
    const { memoryTokens } = this.engine;
    return whole <= memoryTokens ? whole : MIN_DECODER_MEMORY_FRACTION * memoryTokens;
  }

  private planWithParts(
    prompt: Prompt,
    parts: number,
    candidates: readonly Candidate[],
    mayDecode: ReadonlySet<load.Load>,
  ): Plan | undefined {
    const part = {
      prefillMs: cost.readMs(this.engine, prompt.tokens, parts),
      isShared: parts > 1,
    };
    const value = valueOf(prompt);
    const scored = candidates
      .filter(({ mayHelp }) => parts === 1 || mayHelp)
      .map((candidate) => this.score(prompt, candidate, part));
    const decoderCandidates = scored.filter(({ candidate }) => mayDecode.has(candidate.load));
    if (decoderCandidates.length === 0) return undefined;
    const decoder = minBy(decoderCandidates, ({ candidate, penalty }) => {
      return (
        penalty - value * this.planWeights.packGain * similarDecodingCount(prompt, candidate.load)
      );
    });
    const helpers = parts === 1 ? [] : bestHelpers(scored, decoder, parts - 1);
    const storing = helpers.map(({ candidate }) => candidate.load);
    // A reservation takes several messages, of which an engine with a limit takes few.
    const storage =
      distributeMemory(prompt, decoder.candidate.load, storing, ({ isLimited }) => !isLimited) ??
      distributeMemory(prompt, decoder.candidate.load, storing, () => true);
    if (storage === undefined) return undefined;
    const all = [decoder, ...helpers];
    const forecasts = all.map(({ candidate }) => candidate.forecast);
    const firstTokenMs = Math.max(
      ...forecasts.map((each) => each.firstTokenMs(part.prefillMs, part.isShared)),
    );
    const gapPenalty = all.reduce((sum, each) => sum + each.gapPenalty, 0);
    const delayPenalty = this.delayPenalty(part, forecasts);
    const { partLoss, blockLoss } = this.planWeights;
    const blocked = Math.max(0, part.prefillMs - MAX_NONBLOCKING_PART_MS) / prompt.objectiveMs;
    const latenessPenalty =
      value * lateness.latenessPenalty(prompt.waitedMs + firstTokenMs, prompt.objectiveMs);
    return {
      decoder: decoder.candidate.load,
      ...storage,
      partMs: part.prefillMs,
      firstTokenMs,
      penalty:
        gapPenalty +
        delayPenalty +
        latenessPenalty +
        value * (parts * partLoss + blockLoss * blocked),
    };
  }

  /** What readings lose by a further part on these engines. */
  private delayPenalty(
    { prefillMs, isShared }: Part,
    on: readonly outlooks.LoadForecast[],
  ): number {
    if (!this.planWeights.countsDelays) return 0;
    return outlooks.delayPenalty(on.flatMap((each) => each.delays(prefillMs, isShared)));
  }

  /** What a part on this engine spoils, with a preference for the shorter queue and way. */
  private score(prompt: Prompt, candidate: Candidate, part: Part): Scored {
    const { load: on, forecast } = candidate;
    const { prefillMs, isShared } = part;
    const { tightRisk, nearMs, waitLoss, failureLoss } = this.planWeights;
    const weight = hasTighterGaps(prompt, on)
      ? tightRisk * lateness.LATE_PENALTY
      : lateness.LATE_PENALTY;
    const isTooLong = prefillMs > forecast.allowanceMs;
    const gapPenalty = isTooLong ? weight * forecast.valueAtRisk(prefillMs) : 0;
    const firstTokenMs = forecast.firstTokenMs(prefillMs, isShared);
    const waitPenalty = lateness.latenessPenalty(
      prompt.waitedMs + firstTokenMs,
      prompt.objectiveMs,
    );
    const distanceMs = on.record.dataCentre === prompt.dataCentre ? 0 : nearMs;
    const queuePenalty =
      (waitLoss * (forecast.pendingMs + firstTokenMs + distanceMs)) / prompt.objectiveMs;
    const failurePenalty = failureLoss * candidate.failureShare;
    const value = valueOf(prompt);
    const penalty =
      gapPenalty +
      this.delayPenalty(part, [forecast]) +
      value * (waitPenalty + queuePenalty + failurePenalty);
    const spread = this.planWeights.spreadLoss * helperRank(prompt, candidate);
    return {
      candidate,
      gapPenalty,
      penalty,
      helperPenalty: penalty + value * spread,
    };
  }
}

/**
 * Spreads a prompt's memory: as much as fits on the writer's engine, the rest on helpers with room. A
 * reservation never asks for all that is free, as what is counted as free may be used by now.
 */
function distributeMemory(
  { tokens, answerTokens }: Prompt,
  decoder: load.Load,
  helpers: readonly load.Load[],
  mayKeep: (helper: load.Load) => boolean,
): Pick<Plan, 'decoderTokens' | 'helpers'> | undefined {
  const whole = tokens + answerTokens;
  const decoderTokens =
    whole <= decoder.freeMemory ? whole : MAX_RESERVATION_FRACTION * decoder.freeMemory;
  let remaining = whole - decoderTokens;
  const storing = helpers.map((each) => {
    const room = mayKeep(each) ? MAX_RESERVATION_FRACTION * each.freeMemory : 0;
    const keptTokens = Math.ceil(room >= MIN_KEPT_TOKENS ? Math.min(room, remaining) : 0);
    remaining -= keptTokens;
    return { load: each, keptTokens };
  });
  return remaining > 0 ? undefined : { decoderTokens, helpers: storing };
}

/** The work of a request in tokens; what is lost when it fails, and most of it when it is late. */
export function valueOf({ tokens, answerTokens }: Prompt): number {
  return tokens + ANSWER_WEIGHT * answerTokens;
}

/** Requests on an engine whose callers bear pauses as long: with those a request is packed. */
function similarDecodingCount({ pauseMs }: Prompt, on: load.Load): number {
  const tightest = on.tightestGapMs;
  const isSimilar = tightest <= pauseMs && tightest >= SIMILAR_GAP_FRACTION * pauseMs;
  return isSimilar ? on.decodingCount : 0;
}

/** Whether callers of an engine bear clearly shorter pauses than this one. */
function hasTighterGaps(prompt: Prompt, on: load.Load): boolean {
  return on.tightestGapMs < SIMILAR_GAP_FRACTION * prompt.pauseMs;
}

/**
 * Among engines on which a part spoils nothing, those help first that already work for callers as tolerant
 * as this one; then idle ones; last those with tight pauses, the emptiest first.
 */
function helperRank(prompt: Prompt, { load: on, forecast }: Candidate): number {
  const isIdle = on.decodingCount === 0 && forecast.pendingMs === 0;
  return (isIdle ? 1 : 0) + (hasTighterGaps(prompt, on) ? 2 + on.decodingCount : 0);
}

function bestHelpers(scored: readonly Scored[], decoder: Scored, count: number): Scored[] {
  return scored
    .filter((each) => each !== decoder)
    .sort((a, b) => a.helperPenalty - b.helperPenalty)
    .slice(0, count);
}

function minBy<T>(items: readonly T[], sizeOf: (item: T) => number): T {
  return items.reduce((best, item) => (sizeOf(item) < sizeOf(best) ? item : best));
}
