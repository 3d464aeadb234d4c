/**
 * Whether a prompt is better begun later. Engines read the newest part first, so a prompt that begins now on engines that
 * read for others makes these wait; begun when they have ended, it may be in time as well.
 */
import type * as catalogue from '../catalogue/catalogue';
import * as cost from './cost';
import * as lateness from './lateness';
import type * as outlooks from './outlook';
import type * as planner from './planner';

/** Harm by beginning now, as a share of the request, below which waiting isn't weighed: the model misses by as much. */
const MIN_PENALTY_FRACTION = 0.1;

/** What waiting must win, as a share of the request: others may take the engines that it waits for. */
const MIN_GAIN_FRACTION = 0.1;

/** A wait shorter than this is none, milliseconds: engines' reports of what they read are as old. */
const MIN_DEFERRAL_MS = 20;

export interface DeferralInput {
  engine: catalogue.Engine;
  prompt: planner.Prompt;
  /** Work of the request, and what beginning now spoils, in tokens. */
  value: number;
  penalty: number;
  /** Numbers of engines that may read it. */
  partCounts: readonly number[];
  forecasts: readonly outlooks.LoadForecast[];
}

/** How long to wait, milliseconds; undefined where it is as well begun now. */
export function deferralMs(input: DeferralInput): number | undefined {
  const { value, penalty } = input;
  if (penalty < MIN_PENALTY_FRACTION * value) return undefined;
  const starts = input.partCounts.flatMap((parts) => deferredStart(input, parts) ?? []);
  if (starts.length === 0) return undefined;
  const best = starts.reduce((least, each) => (each.penalty < least.penalty ? each : least));
  const isBetter =
    best.inMs >= MIN_DEFERRAL_MS && (best.penalty + MIN_GAIN_FRACTION) * value < penalty;
  return isBetter ? best.inMs : undefined;
}

interface DeferredStart {
  inMs: number;
  /** Part of the request's value that is lost by beginning then. */
  penalty: number;
}

/** When so many engines have read what they have to, and whose writers bear a part of this prompt. */
function deferredStart(
  { engine, prompt, forecasts: all }: DeferralInput,
  parts: number,
): DeferredStart | undefined {
  const prefillMs = cost.readMs(engine, prompt.tokens, parts);
  const availableInMs = all
    .filter((each) => each.tolerates(prefillMs))
    .map(({ pendingMs }) => pendingMs)
    .sort((a, b) => a - b);
  if (availableInMs.length < parts) return undefined;
  const inMs = availableInMs[parts - 1];
  const firstTokenMs = prompt.waitedMs + inMs + prefillMs;
  return { inMs, penalty: lateness.latenessPenalty(firstTokenMs, prompt.objectiveMs) };
}
