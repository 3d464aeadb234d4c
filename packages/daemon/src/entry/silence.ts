/** When a target counts as silent, by what its route asks and what was predicted of it. Milliseconds. */
import type * as domain from '@celerydrift/domain';

type Route = domain.catalogue.catalogue.Route;

/**
 * Silence of a stream after which it goes on elsewhere, milliseconds. An engine that reads a long prompt leaves
 * its writers without an event for up to a second; to give such a one up costs a second reading and helps
 * nobody, as the pause is too long already. Callers bear two seconds.
 */
const STREAM_SILENCE_MS = 1_200;

/**
 * Silence before the first event: so many times the predicted time, and a margin that leaves a second
 * target time to answer within the objective where that is long.
 */
const FIRST_EVENT_SHARE = 2;
const FIRST_EVENT_MARGIN_MS = 1_000;
const FIRST_EVENT_MARGIN_SHARE = 0.4;

/** Silence of a call that may be repeated, against its objective, before another target is tried. */
const CALL_SILENCE_SHARE = 3;

/** Time without an event after which callers of a stream leave; from the users' pages. */
export function giveUpMs({ kind, objectiveMs, pauseMs }: Route): number {
  return kind === 'streaming' ? Math.max(2_000, 4 * objectiveMs, 8 * pauseMs) : objectiveMs;
}

export interface Bounds {
  /** Longest silence before the first event or the answer. */
  firstMs: number;
  /** Longest silence between two events. */
  nextMs: number;
}

/** What is known of a sending. */
export interface Progress {
  sentAt: number;
  /** 0 before the first event. */
  lastEventAt: number;
}

const SHORTEST_LOOK_MS = 50;

export function boundsOf({ kind, objectiveMs, pauseMs }: Route, firstTokenMs: number): Bounds {
  const nextMs = Math.max(STREAM_SILENCE_MS, 2 * pauseMs);
  if (kind !== 'streaming') return { firstMs: CALL_SILENCE_SHARE * objectiveMs, nextMs };
  const margin = Math.max(FIRST_EVENT_MARGIN_MS, FIRST_EVENT_MARGIN_SHARE * objectiveMs);
  return { firstMs: FIRST_EVENT_SHARE * firstTokenMs + margin, nextMs };
}

export function isSilent(
  { firstMs, nextMs }: Bounds,
  { sentAt, lastEventAt }: Progress,
  now: number,
): boolean {
  const isFlowing = lastEventAt > sentAt;
  return isFlowing ? now - lastEventAt > nextMs : now - sentAt > firstMs;
}

/** How often to look, so that silence is noticed a quarter late at most. */
export function lookEveryMs({ firstMs, nextMs }: Bounds): number {
  return Math.max(SHORTEST_LOOK_MS, Math.min(firstMs, nextMs) / 4);
}
