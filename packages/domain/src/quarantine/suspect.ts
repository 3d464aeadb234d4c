/** A content that targets ended under: what counts against it, and how it travels between VMs. */

/** A lifetime that ended while it ran a content; `at` is the owner's clock, milliseconds. */
export interface Crash {
  lifetime: string;
  at: number;
  /** Whether that run was a trial: begun as the only one with a content that was suspected already. */
  isTrial: boolean;
}

export interface Suspect {
  content: string;
  endings: Crash[];
  /** Quarantines that it has been through, the present one included. */
  quarantines: number;
  /** Since when it is in quarantine; undefined while it isn't. */
  quarantinedAt: number | undefined;
  /** Doubtful quarantines of it that were ended. */
  doubts: number;
  /** Lifetimes that ended under it, also those that no longer count. */
  totalEndings: number;
  /** When the third of them was told; infinite before. */
  thirdEndAt: number;
  /** Those that came well after that, as the quarantine counts them. */
  laterEndings: number;
  /** Lifetimes whose end may be another content's doing, although it no longer counts against that one. */
  explained: Set<string>;
  /** Lifetimes of which its own conviction acquitted a possible culprit; that doubt outlasts a release. */
  shared: Set<string>;
}

/** A suspect as it travels; clocks of different VMs don't compare, so times are ages. No endings: nothing is left of it. */
export interface Report {
  content: string;
  endings: { lifetime: string; agoMs: number; isTrial: boolean }[];
  quarantines: number;
  quarantinedForMs: number | undefined;
}

/**
 * How long the first quarantine lasts, milliseconds, and how many times as long each further one; the longest is a day. A
 * wrong one ends with its first run after two minutes; one that is right costs a target after 2, 22 and 222 minutes, and then
 * one a day.
 */
const FIRST_QUARANTINE_MS = 120_000;
const QUARANTINE_GROWTH = 10;
const MAX_QUARANTINE_MS = 86_400_000;

export function isQuarantined({ quarantinedAt }: Suspect): boolean {
  return quarantinedAt !== undefined;
}

/** How long its present quarantine lasts, milliseconds. */
export function quarantineDurationMs({ quarantines }: Suspect): number {
  const grown = FIRST_QUARANTINE_MS * QUARANTINE_GROWTH ** Math.max(0, quarantines - 1);
  return Math.min(MAX_QUARANTINE_MS, grown);
}

/**
 * Ends that count against it. Runs that were under way when the first one ended its target count as one end together: what many
 * callers send at the same time is on many targets at once, and one culprit that crashes some of them would have it
 * refused with itself.
 */
export function countOf({ endings }: Pick<Suspect, 'endings'>): number {
  const inCanaryRuns = endings.filter(({ isTrial }) => isTrial).length;
  return inCanaryRuns < endings.length ? inCanaryRuns + 1 : inCanaryRuns;
}

/** When it was last blamed. */
export function lastCrashAt({ endings }: Suspect): number {
  return Math.max(...endings.map(({ at }) => at));
}

export function toReport(suspect: Suspect, now: number): Report {
  const { content, endings, quarantines, quarantinedAt } = suspect;
  return {
    content,
    endings: endings.map(({ at, ...each }) => ({ ...each, agoMs: now - at })),
    quarantines,
    quarantinedForMs: quarantinedAt === undefined ? undefined : now - quarantinedAt,
  };
}

/** Nothing is known of a content. */
export function emptyReport(content: string): Report {
  return { content, endings: [], quarantines: 0, quarantinedForMs: undefined };
}

export function fromReport(report: Report, now: number): Suspect {
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
