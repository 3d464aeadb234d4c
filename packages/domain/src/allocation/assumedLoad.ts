/**
 * Load that an allocator assumes on engines of which it sees only part. An entry that has lost the
 * leader knows only its own dispatches. Without the assumption it took engines that decode for
 * others for idle and divided one prompt of half a million tokens among 17 of 21 engines: every
 * request decoding there paused for two seconds, and the prompts were late or prefilled again. So
 * it assumes on each engine the average that the leader last reported.
 */
import type * as load from './load';

/** Average load of the engines of a service. */
export interface AverageLoad {
  service: string;
  /** Value of the requests that decode on an engine, in tokens of work. */
  value: number;
  /** The shortest maximum inter-token gap of any of them, milliseconds; 0 where nothing decodes. */
  pauseMs: number;
}

/** Id of the assumed request among an engine's tasks. */
const ASSUMED_REQUEST = 'unseen';

/** Most prompts have a few thousand tokens. */
const ASSUMED_PROMPT_TOKENS = 5_000;

/** Average load of the engines of a service. */
export function averageLoadOf(service: string, loads: readonly load.Load[]): AverageLoad {
  const gaps = loads.map(({ tightestGapMs }) => tightestGapMs);
  const tightest = Math.min(Infinity, ...gaps);
  const value = loads.reduce((sum, each) => sum + each.valueWithTighterGap(Infinity), 0);
  return {
    service,
    value: Math.round(value / Math.max(1, loads.length)),
    pauseMs: tightest === Infinity ? 0 : tightest,
  };
}

function assumedTask({ value, pauseMs }: AverageLoad): load.Task {
  return {
    request: ASSUMED_REQUEST,
    role: 'decoder',
    prefillMs: 0,
    contextTokens: ASSUMED_PROMPT_TOKENS,
    memoryTokens: 0,
    maxGapMs: pauseMs,
    value,
  };
}

/** Adds the assumed request to an engine, or removes it where nothing decodes. */
export function applyAssumedLoad(engineLoad: load.Load, average: AverageLoad): void {
  if (average.pauseMs > 0) engineLoad.assume(assumedTask(average));
  else engineLoad.forgetAssumed(ASSUMED_REQUEST);
}
