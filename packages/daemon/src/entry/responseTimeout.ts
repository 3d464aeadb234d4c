/**
 * Response timeouts of a request, derived from its route and its predicted time to the first token.
 *
 * A late target may be dead, or busy with work that came after the prediction. Once a response is `overdue`, its target
 * is probed on a separate connection. A target that fails the probe is given up at once, one that passes it only when
 * the response has `timedOut`. With timeouts alone, 45 of 49 targets given up in a replay with bursts were alive, and
 * 1.7 of 24 million prompt tokens were prefilled twice.
 */
import type * as domain from '@celerydrift/domain';

type Route = domain.catalogue.catalogue.Route;

/** The first event is overdue after this multiple of the predicted time, plus a margin of one or two engine steps. */
const OVERDUE_FACTOR = 1.5;
const OVERDUE_MARGIN_MS = 300;

/**
 * The next event is overdue after this gap, which exceeds the usual engine step with prefill for other requests, or
 * after this multiple of the gap that the route tolerates, whichever is longer.
 */
const OVERDUE_GAP_MS = 600;
const OVERDUE_GAP_FACTOR = 1.5;

/** Response timeout of a stream, as a share of the time after which its caller disconnects, and its minimum. */
const TIMEOUT_SHARE = 0.5;
const MIN_TIMEOUT_MS = 1_500;

/** Response timeout of a repeatable call, as a multiple of its objective. */
const CALL_TIMEOUT_FACTOR = 3;

/** Minimum interval between liveness probes of the same request. */
export const PROBE_INTERVAL_MS = 1_000;

/** Time without an event after which callers of a stream disconnect; the objective for other requests. */
export function callerTimeoutMs({ kind, objectiveMs, pauseMs }: Route): number {
  return kind === 'streaming' ? Math.max(2_000, 4 * objectiveMs, 8 * pauseMs) : objectiveMs;
}

export interface Thresholds {
  /** Time after which the first event, or the whole response of a call, is overdue. */
  overdueFirstMs: number;
  /** Inter-token gap after which the next event is overdue. */
  overdueGapMs: number;
  /** Response timeout: the target is given up even if it is alive. */
  timeoutMs: number;
}

/** Progress of a response. */
export interface Progress {
  sentAt: number;
  /** 0 before the first event. */
  lastEventAt: number;
}

export type Status = 'fine' | 'overdue' | 'timedOut';

const MIN_CHECK_INTERVAL_MS = 50;

export function thresholdsOf(route: Route, firstTokenMs: number): Thresholds {
  const { kind, objectiveMs, pauseMs } = route;
  if (kind !== 'streaming') {
    const callTimeoutMs = CALL_TIMEOUT_FACTOR * objectiveMs;
    return {
      overdueFirstMs: callTimeoutMs,
      overdueGapMs: callTimeoutMs,
      timeoutMs: callTimeoutMs,
    };
  }
  const timeoutMs = Math.max(MIN_TIMEOUT_MS, TIMEOUT_SHARE * callerTimeoutMs(route));
  return {
    overdueFirstMs: Math.min(timeoutMs, OVERDUE_FACTOR * firstTokenMs + OVERDUE_MARGIN_MS),
    overdueGapMs: Math.max(OVERDUE_GAP_MS, OVERDUE_GAP_FACTOR * pauseMs),
    timeoutMs,
  };
}

export function classify(
  thresholds: Thresholds,
  { sentAt, lastEventAt }: Progress,
  now: number,
): Status {
  const isFlowing = lastEventAt > sentAt;
  const silentMs = now - (isFlowing ? lastEventAt : sentAt);
  if (silentMs > thresholds.timeoutMs) return 'timedOut';
  const overdueMs = isFlowing ? thresholds.overdueGapMs : thresholds.overdueFirstMs;
  return silentMs > overdueMs ? 'overdue' : 'fine';
}

/** Check interval, short enough that an overdue response is detected at most a quarter of its threshold late. */
export function checkIntervalMs({ overdueFirstMs, overdueGapMs }: Thresholds): number {
  return Math.max(MIN_CHECK_INTERVAL_MS, Math.min(overdueFirstMs, overdueGapMs) / 4);
}
