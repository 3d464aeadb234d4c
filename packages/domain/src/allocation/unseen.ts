/**
 * What an allocator assumes of engines that it sees only in part. An entry that has lost the leader knows its own dispatches
 * alone. It took engines for idle that write for others, and had one prompt of half a million tokens read by 17 of
 * 21 engines: all who wrote there paused for two seconds, and their prompts were late or read again. So it assumes on
 * each engine what the leader last said of all on average.
 */
import type * as load from './load';

/** What is written on the engines of a service, on average. */
export interface Crowding {
  service: string;
  /** Work of the requests that an engine writes for, in tokens. */
  value: number;
  /** The tightest pause that any of their callers bears, milliseconds; 0 where nobody writes. */
  pauseMs: number;
}

/** Id of the assumed writer among an engine's tasks. */
const ASSUMED_REQUEST = 'unseen';

/** A prompt of few thousand tokens, as most are. */
const ASSUMED_PROMPT_TOKENS = 5_000;

/** Averages over the engines of a service. */
export function averageLoadOf(service: string, loads: readonly load.Load[]): Crowding {
  const gaps = loads.map(({ tightestGapMs }) => tightestGapMs);
  const tightest = Math.min(Infinity, ...gaps);
  const value = loads.reduce((sum, each) => sum + each.valueWithTighterGap(Infinity), 0);
  return {
    service,
    value: Math.round(value / Math.max(1, loads.length)),
    pauseMs: tightest === Infinity ? 0 : tightest,
  };
}

function assumedTask({ value, pauseMs }: Crowding): load.Task {
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

/** Counts the assumed writer on an engine, or none where nobody writes. */
export function applyAssumedLoad(on: load.Load, average: Crowding): void {
  if (average.pauseMs > 0) on.assume(assumedTask(average));
  else on.forgetAssumed(ASSUMED_REQUEST);
}
