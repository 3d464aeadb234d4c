/** A suspect request: the crashes that count against it, and its form in messages between VMs. */

import * as partFingerprint from './partFingerprint';

/**
 * A crash of a lifetime that was running the request; `at` is by the clock of the process that
 * holds the quarantine, milliseconds.
 */
export interface Crash {
  lifetime: string;
  at: number;
  /**
   * Whether it was a canary run: the request was a suspect before and ran as the only one on the
   * target.
   */
  isTrial: boolean;
}

export interface Suspect {
  /** Fingerprint of the request. */
  content: string;
  /** Crashes that count against it. */
  endings: Crash[];
  /** Quarantines so far, including the present one. */
  quarantines: number;
  /** Start of the present quarantine; undefined outside of one. */
  quarantinedAt: number | undefined;
  /** Quarantines that were ended as doubtful. */
  doubts: number;
  /** Crashes of all time, including those that no longer count. */
  totalEndings: number;
  /** When the third of them was reported; infinite before. */
  thirdEndAt: number;
  /** Crashes well after that, as defined by `LATE_CRASH_MS` in `quarantine`. */
  laterEndings: number;
  /**
   * Lifetimes whose crash may be another request's fault, although it no longer counts against that
   * one.
   */
  explained: Set<string>;
  /**
   * Lifetimes whose crash no longer counts against a possible culprit, because this request's
   * quarantine explained it. Unlike `explained`, they are kept when a quarantine of this request
   * ends.
   */
  shared: Set<string>;
}

/**
 * A suspect as sent between VMs. Their clocks can't be compared, so times are sent as ages. Without
 * endings the suspicion is cleared.
 */
export interface SuspectReport {
  /** Fingerprint of the request. */
  content: string;
  endings: { lifetime: string; agoMs: number; isTrial: boolean }[];
  quarantines: number;
  quarantinedForMs: number | undefined;
}

/**
 * Length of the first quarantine, milliseconds, the factor for each further one, and the maximum, a
 * day. A wrong quarantine ends with the first run after two minutes; a right one costs a target
 * after 2, 22 and 222 minutes, and then one a day.
 */
const FIRST_QUARANTINE_MS = 120_000;
const QUARANTINE_GROWTH = 10;
const MAX_QUARANTINE_MS = 86_400_000;

/**
 * Length of the first quarantine of a part, milliseconds. Many innocent requests may share a part,
 * and several culprits with it may crash three targets before one of these runs; one more canary
 * run tells. Further quarantines last as long as those of a request.
 */
const FIRST_PART_QUARANTINE_MS = 1_000;

export function isQuarantined({ quarantinedAt }: Suspect): boolean {
  return quarantinedAt !== undefined;
}

/** Whether its quarantine is the first one of a part, which only holds until a canary run decides. */
export function isProvisional({ content, quarantines }: Suspect): boolean {
  return quarantines <= 1 && partFingerprint.isPart(content);
}

/** Length of the present quarantine, milliseconds. */
export function quarantineDurationMs(suspect: Suspect): number {
  if (isProvisional(suspect)) return FIRST_PART_QUARANTINE_MS;
  const { quarantines } = suspect;
  const grown = FIRST_QUARANTINE_MS * QUARANTINE_GROWTH ** Math.max(0, quarantines - 1);
  return Math.min(MAX_QUARANTINE_MS, grown);
}

/**
 * Crashes that count against it. All crashes outside of canary runs count as one: a request that
 * many callers send is on many targets at once, and a culprit that crashes some of them would
 * otherwise have it quarantined too.
 */
export function crashCountOf({ endings }: Pick<Suspect, 'endings'>): number {
  const inCanaryRuns = endings.filter(({ isTrial }) => isTrial).length;
  return inCanaryRuns < endings.length ? inCanaryRuns + 1 : inCanaryRuns;
}

/** When its last crash was reported. */
export function lastCrashAt({ endings }: Suspect): number {
  return Math.max(...endings.map(({ at }) => at));
}

export function toReport(suspect: Suspect, now: number): SuspectReport {
  const { content, endings, quarantines, quarantinedAt } = suspect;
  return {
    content,
    endings: endings.map(({ at, ...each }) => ({ ...each, agoMs: now - at })),
    quarantines,
    quarantinedForMs: quarantinedAt === undefined ? undefined : now - quarantinedAt,
  };
}

/** The report on a request that is no suspect. */
export function emptyReport(content: string): SuspectReport {
  return { content, endings: [], quarantines: 0, quarantinedForMs: undefined };
}

export function fromReport(report: SuspectReport, now: number): Suspect {
  const { content, endings, quarantines, quarantinedForMs } = report;
  return {
    content,
    endings: endings.map(({ agoMs, ...each }) => ({ ...each, at: now - agoMs })),
    quarantines,
    quarantinedAt: quarantinedForMs === undefined ? undefined : now - quarantinedForMs,
    doubts: 0,
    totalEndings: endings.length,
    thirdEndAt: Infinity,
    laterEndings: 0,
    explained: new Set(),
    shared: new Set(),
  };
}
