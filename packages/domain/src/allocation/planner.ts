/**
 * Chooses the engines for one prompt by the predicted time to its first token and by the
 * inter-token gaps that its prefill causes for the requests that decode on the same engines.
 *
 * The typical load is many short prompts whose callers tolerate gaps of a quarter of a second, and
 * few long prompts whose prefill takes seconds. A long prompt is prefilled in parts by several
 * engines, each part within the gap that the engine's decoding requests tolerate; requests with
 * tight gaps are packed together, so that the other engines stay free for long parts. The boundary
 * between the two groups moves with demand, as both follow from the current loads.
 */
import type * as catalogue from '../catalogue/catalogue';
import * as cost from './cost';
import * as lateness from './lateness';
import * as load from './load';
import * as loadForecast from './loadForecast';
import * as deferral from './deferral';
import type * as prompts from './prompt';
import * as weights from './weights';

/** A prefill helper, which also keeps part of the prompt's memory where the decoder lacks room. */
export interface Helper {
  load: load.Load;
  /** Tokens of memory reserved there; 0 where it only prefills. */
  keptTokens: number;
}

export interface Plan {
  decoder: load.Load;
  /** Tokens of memory that the request takes on the decoder. */
  decoderTokens: number;
  helpers: Helper[];
  /** Prefill time on each of the engines, milliseconds. */
  partMs: number;
  firstTokenMs: number;
  /**
   * Tokens of work that this plan makes late, of this request and of others, plus the smaller
   * preferences of the weights.
   */
  penalty: number;
  /** Part of the penalty for the use of cold engines, as a fraction of the request's value. */
  coldPenalty: number;
}

/** What a decision may be. */
export interface Options {
  /** Whether the decision may be a deferral. */
  mayWait?: boolean;
  /** Whether a short prompt may be packed with others where an idle engine would cost less time. */
  mayPack?: boolean;
}

export type Decision =
  | { kind: 'begin'; plan: Plan }
  /** Starting `inMs` later, when queued prefills have ended, has a lower penalty. */
  | { kind: 'later'; inMs: number }
  /** No engine has a free slot and enough memory, or the penalty exceeds the request's value. */
  | { kind: 'full' };

/**
 * Shortest prefill part, milliseconds: a part shorter than an engine step saves nothing, and the
 * request fails if any of its engines does.
 */
const MIN_PART_MS = 40;

/** Part counts considered for one prompt. */
const PART_COUNTS = [1, 2, 3, 4, 6, 8, 12, 17];

/**
 * Weight of an answer token against a prompt token. With 5, requests of 5k, 45k and 154k tokens
 * weigh 1 : 3.8 : 12; their callers value them 1 : 3.2 : 16.
 */
const ANSWER_WEIGHT = 5;

/**
 * Decoding requests whose maximum gap is at least this fraction of a request's own count as equally
 * tolerant.
 */
const SIMILAR_GAP_FRACTION = 0.5;

/**
 * Parts up to this length don't block an engine for short prompts; milliseconds, about two engine
 * steps.
 */
const MAX_NONBLOCKING_PART_MS = 100;

/**
 * Fraction of an engine's memory that must be free to decode the answer of a prompt that exceeds
 * the engine's memory.
 */
const MIN_DECODER_MEMORY_FRACTION = 0.5;

/** Fraction of an engine's free memory that such a prompt may reserve there. */
const MAX_RESERVATION_FRACTION = 0.92;

/** Smallest reservation worth making on a helper: about a tenth of an engine's memory. */
const MIN_KEPT_TOKENS = 30_000;

interface Candidate {
  load: load.Load;
  forecast: loadForecast.LoadForecast;
  /** Whether it may become prefill helper for one more request. */
  mayHelp: boolean;
  /** Share of its recent dispatches that failed. */
  failureShare: number;
  isCold: boolean;
}

/** The part that each engine prefills. */
interface Part {
  prefillMs: number;
  /** Whether other engines prefill parts of the same prompt. */
  isShared: boolean;
}

interface Scored {
  candidate: Candidate;
  /** Penalty of the longer inter-token gaps of the requests that decode there. */
  gapPenalty: number;
  /** The gap penalty plus those of delayed prefills, of the request's wait and of failures. */
  penalty: number;
  /** Sort key among helpers, lowest first. */
  helperPenalty: number;
}

export class Planner {
  constructor(
    private readonly engine: catalogue.Engine,
    private readonly planWeights: weights.Weights = weights.WEIGHTS,
  ) {}

  /** Best decision for a prompt over `loads`. */
  decide(
    prompt: prompts.Prompt,
    loads: readonly load.Load[],
    now: number,
    { mayWait = false, mayPack = true }: Options = {},
  ): Decision {
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
        forecast: new loadForecast.LoadForecast(each, now),
        mayHelp: each.mayHelp(this.planWeights.maxHelpedPrompts, now),
        failureShare: each.health.failureShare(now),
        isCold: each.isCold,
      };
    });
    const maxParts = Math.min(loads.length, this.planWeights.maxParts);
    const partCounts = PART_COUNTS.filter((count) => count <= maxParts);
    const wholeMs = cost.prefillMs(this.engine, prompt.tokens);
    const usefulPartCounts = partCounts.filter(
      (count) => count === 1 || wholeMs / count >= MIN_PART_MS,
    );
    const packBonus = mayPack ? this.planWeights.packBonus : 0;
    const plans = usefulPartCounts.flatMap((parts) => {
      const plan = this.planWithParts(prompt, parts, candidates, mayDecode, packBonus);
      return plan === undefined ? [] : [plan];
    });
    if (plans.length === 0) return { kind: 'full' };
    const best = minBy(plans, ({ penalty }) => penalty);
    const value = valueOf(prompt);
    // The preference for warm engines is no reason to wait for them or to refuse a request.
    const penalty = best.penalty - value * best.coldPenalty;
    const deferralMs = !(mayWait && this.planWeights.mayDefer)
      ? undefined
      : deferral.deferralMs({
          engine: this.engine,
          prompt,
          value,
          penalty,
          partCounts: usefulPartCounts,
          forecasts: candidates.map(({ forecast }) => forecast),
        });
    if (deferralMs !== undefined) return { kind: 'later', inMs: deferralMs };
    // A request whose penalty exceeds its value, or whose caller will have left, isn't started.
    const isWorthIt = penalty < value || !this.planWeights.refusesAboveValue;
    return isWorthIt ? { kind: 'begin', plan: best } : { kind: 'full' };
  }

  /** Most engines among which dividing a prompt's prefill pays off. */
  maxUsefulParts({ tokens }: prompts.Prompt): number {
    return Math.max(1, cost.prefillMs(this.engine, tokens) / MIN_PART_MS);
  }

  /** Prefill time of a prompt that is divided among as many engines as is useful, in milliseconds. */
  minPrefillMs(tokens: number): number {
    const wholeMs = cost.prefillMs(this.engine, tokens);
    const useful = PART_COUNTS.filter((count) => wholeMs / count >= MIN_PART_MS);
    return wholeMs / Math.min(this.planWeights.maxParts, Math.max(1, ...useful));
  }

  /**
   * Free memory that a decoder needs: as much as the whole request takes or, if that exceeds an
   * engine's memory, a fixed fraction of the engine's; helpers keep the rest.
   */
  private minDecoderMemory({ tokens, answerTokens }: prompts.Prompt): number {
    const whole = tokens + answerTokens;
    const { memoryTokens } = this.engine;
    return whole <= memoryTokens ? whole : MIN_DECODER_MEMORY_FRACTION * memoryTokens;
  }

  private planWithParts(
    prompt: prompts.Prompt,
    parts: number,
    candidates: readonly Candidate[],
    mayDecode: ReadonlySet<load.Load>,
    packBonus: number,
  ): Plan | undefined {
    const part = {
      prefillMs: cost.prefillMs(this.engine, prompt.tokens, parts),
      isShared: parts > 1,
    };
    const value = valueOf(prompt);
    const scored = candidates
      .filter(({ mayHelp }) => parts === 1 || mayHelp)
      .map((candidate) => this.score(prompt, candidate, part));
    const decoderCandidates = scored.filter(({ candidate }) => mayDecode.has(candidate.load));
    if (decoderCandidates.length === 0) return undefined;
    const decoder = minBy(decoderCandidates, ({ candidate, penalty }) => {
      return penalty - value * packBonus * similarDecodingCount(prompt, candidate.load);
    });
    const helpers = parts === 1 ? [] : bestHelpers(scored, decoder, parts - 1);
    const storing = helpers.map(({ candidate }) => candidate.load);
    // A reservation costs several messages, of which a rate-limited engine admits few.
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
    const { partPenalty, blockPenalty } = this.planWeights;
    const blocked = Math.max(0, part.prefillMs - MAX_NONBLOCKING_PART_MS) / prompt.objectiveMs;
    const coldShare = all.filter(({ candidate }) => candidate.isCold).length / all.length;
    const coldPenalty = this.planWeights.coldPenalty * coldShare;
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
        value * (parts * partPenalty + blockPenalty * blocked + coldPenalty),
      coldPenalty,
    };
  }

  /** Penalty of delaying queued prefills on these engines by a further part. */
  private delayPenalty(
    { prefillMs, isShared }: Part,
    forecasts: readonly loadForecast.LoadForecast[],
  ): number {
    if (!this.planWeights.countsDelays) return 0;
    return loadForecast.delayPenalty(forecasts.flatMap((each) => each.delays(prefillMs, isShared)));
  }

  /**
   * Scores a part on this engine, with a preference for short queues and the caller's data centre.
   */
  private score(prompt: prompts.Prompt, candidate: Candidate, part: Part): Scored {
    const { load: engineLoad, forecast } = candidate;
    const { prefillMs, isShared } = part;
    const {
      tightGapFactor,
      localPreferenceMs,
      waitPenalty: waitWeight,
      failurePenalty: failureWeight,
    } = this.planWeights;
    const weight = hasTighterGaps(prompt, engineLoad)
      ? tightGapFactor * lateness.LATE_PENALTY
      : lateness.LATE_PENALTY;
    const isTooLong = prefillMs > forecast.allowanceMs;
    const gapPenalty = isTooLong ? weight * forecast.valueAtRisk(prefillMs) : 0;
    const firstTokenMs = forecast.firstTokenMs(prefillMs, isShared);
    const waitPenalty = lateness.latenessPenalty(
      prompt.waitedMs + firstTokenMs,
      prompt.objectiveMs,
    );
    const distanceMs = engineLoad.record.dataCentre === prompt.dataCentre ? 0 : localPreferenceMs;
    const queuePenalty =
      (waitWeight * (forecast.pendingMs + firstTokenMs + distanceMs)) / prompt.objectiveMs;
    const failurePenalty = failureWeight * candidate.failureShare;
    const coldPenalty = candidate.isCold ? this.planWeights.coldPenalty : 0;
    const value = valueOf(prompt);
    const penalty =
      gapPenalty +
      this.delayPenalty(part, [forecast]) +
      value * (waitPenalty + queuePenalty + failurePenalty + coldPenalty);
    const spread = this.planWeights.spreadPenalty * helperRank(prompt, candidate);
    return {
      candidate,
      gapPenalty,
      penalty,
      helperPenalty: penalty + value * spread,
    };
  }
}

/**
 * Distributes a prompt's memory: as much as fits on the decoder, the rest on helpers with room.
 * Never reserves all free memory, as some of it may be in use by now.
 */
function distributeMemory(
  { tokens, answerTokens }: prompts.Prompt,
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

/** Value of a request in tokens of work: lost if it fails, and most of it if it is late. */
export function valueOf({ tokens, answerTokens }: prompts.Prompt): number {
  return tokens + ANSWER_WEIGHT * answerTokens;
}

/** Decoding requests that tolerate gaps about as long; the request is packed with them. */
function similarDecodingCount({ pauseMs }: prompts.Prompt, engineLoad: load.Load): number {
  const tightest = engineLoad.tightestGapMs;
  const isSimilar = tightest <= pauseMs && tightest >= SIMILAR_GAP_FRACTION * pauseMs;
  return isSimilar ? engineLoad.decodingCount : 0;
}

/** Whether an engine's decoding requests tolerate only clearly shorter gaps than this request. */
function hasTighterGaps(prompt: prompts.Prompt, engineLoad: load.Load): boolean {
  return engineLoad.tightestGapMs < SIMILAR_GAP_FRACTION * prompt.pauseMs;
}

/**
 * Preference among helpers of equal penalty: first those that serve equally tolerant callers, then
 * idle ones, last those with tight gaps, the least loaded first.
 */
function helperRank(prompt: prompts.Prompt, { load: engineLoad, forecast }: Candidate): number {
  const isIdle = engineLoad.decodingCount === 0 && forecast.pendingMs === 0;
  return (isIdle ? 1 : 0) + (hasTighterGaps(prompt, engineLoad) ? 2 + engineLoad.decodingCount : 0);
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
