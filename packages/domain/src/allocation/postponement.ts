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
const LEAST_HARM = 0.1;

/** What waiting must win, as a share of the request: others may take the engines that it waits for. */
const LEAST_GAIN = 0.1;

/** A wait shorter than this is none, milliseconds: engines' reports of what they read are as old. */
const LEAST_WAIT_MS = 20;

export interface Case {
  engine: catalogue.Engine;
  prompt: planner.Prompt;
  /** Work of the request, and what beginning now spoils, in tokens. */
  value: number;
  harm: number;
  /** Numbers of engines that may read it. */
  partCounts: readonly number[];
  outlooks: readonly outlooks.Outlook[];
}

/** How long to wait, milliseconds; undefined where it is as well begun now. */
export function betterInMs(asked: Case): number | undefined {
  const { value, harm } = asked;
  if (harm < LEAST_HARM * value) return undefined;
  const starts = asked.partCounts.flatMap((parts) => startOf(asked, parts) ?? []);
  if (starts.length === 0) return undefined;
  const best = starts.reduce((least, each) => (each.loss < least.loss ? each : least));
  const isBetter = best.inMs >= LEAST_WAIT_MS && (best.loss + LEAST_GAIN) * value < harm;
  return isBetter ? best.inMs : undefined;
}

interface Start {
  inMs: number;
  /** Part of the request's value that is lost by beginning then. */
  loss: number;
}

/** When so many engines have read what they have to, and whose writers bear a part of this prompt. */
function startOf({ engine, prompt, outlooks: all }: Case, parts: number): Start | undefined {
  const readMs = cost.readMs(engine, prompt.tokens, parts);
  const free = all
    .filter((each) => each.bears(readMs))
    .map(({ pendingMs }) => pendingMs)
    .sort((a, b) => a - b);
  if (free.length < parts) return undefined;
  const inMs = free[parts - 1];
  const firstTokenMs = prompt.waitedMs + inMs + readMs;
  return { inMs, loss: lateness.loss(firstTokenMs, prompt.objectiveMs) };
}
