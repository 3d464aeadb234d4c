/**
 * Decides whether to defer the start of a prompt. Engines prefill the newest part first, so
 * starting now on engines that prefill other prompts delays these; if it starts after they have been
 * prefilled, the prompt may be in time as well.
 */
import type * as catalogue from '../catalogue/catalogue';
import * as cost from './cost';
import * as lateness from './lateness';
import type * as loadForecast from './loadForecast';
import type * as prompts from './prompt';

/**
 * Penalty of starting now, as a fraction of the request's value, below which no deferral is
 * considered: the error of the prediction is as large.
 */
const MIN_PENALTY_FRACTION = 0.1;

/**
 * Least improvement by a deferral, as a fraction of the request's value: other requests may take
 * the engines meanwhile.
 */
const MIN_GAIN_FRACTION = 0.1;

/** Shortest deferral, milliseconds: engines' reports of their prefill queues are about as old. */
const MIN_DEFERRAL_MS = 20;

export interface DeferralInput {
  engine: catalogue.Engine;
  prompt: prompts.Prompt;
  /** Value of the request and penalty of starting now, in tokens of work. */
  value: number;
  penalty: number;
  /** Part counts considered. */
  partCounts: readonly number[];
  forecasts: readonly loadForecast.LoadForecast[];
}

/** How long to defer, milliseconds; undefined where starting now is as good. */
export function deferralMs(input: DeferralInput): number | undefined {
  const { value, penalty } = input;
  if (penalty < MIN_PENALTY_FRACTION * value) return undefined;
  const starts = input.partCounts.flatMap((parts) => deferredStart(input, parts) ?? []);
  if (starts.length === 0) return undefined;
  const best = starts.reduce((lowest, each) => (each.penalty < lowest.penalty ? each : lowest));
  const isBetter =
    best.inMs >= MIN_DEFERRAL_MS && (best.penalty + MIN_GAIN_FRACTION) * value < penalty;
  return isBetter ? best.inMs : undefined;
}

interface DeferredStart {
  inMs: number;
  /** Penalty of starting then, as a fraction of the request's value. */
  penalty: number;
}

/**
 * The earliest time at which `parts` engines have finished their prefills and their decoding
 * requests tolerate a part of this prompt.
 */
function deferredStart(
  { engine, prompt, forecasts: all }: DeferralInput,
  parts: number,
): DeferredStart | undefined {
  const prefillMs = cost.prefillMs(engine, prompt.tokens, parts);
  const availableInMs = all
    .filter((each) => each.tolerates(prefillMs))
    .map(({ pendingMs }) => pendingMs)
    .sort((a, b) => a - b);
  if (availableInMs.length < parts) return undefined;
  const inMs = availableInMs[parts - 1];
  const firstTokenMs = prompt.waitedMs + inMs + prefillMs;
  return { inMs, penalty: lateness.latenessPenalty(firstTokenMs, prompt.objectiveMs) };
}
