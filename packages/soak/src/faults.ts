/** When a process, a path or the network had a fault that excuses what was observed. */
import * as layout from './layout';
import type * as observations from './observations';

type Observations = observations.Observations;

/** An entry counts as undisturbed when neither it nor any keeper had a fault for this long. */
const UNDISTURBED_MS = 5_000;

/**
 * A planned stop guarantees the responses only to requests sent this long after any other fault. A process that is
 * frozen when it is told to stop resumes with only the remainder of its stop timeout, and can't know that. Quarantines
 * and limits must also hold after this time.
 */
export const SETTLING_MS = 3_000;

/** Number of keepers that may have faults while the others serve; equals `tolerated-losses` in their settings. */
const TOLERATED_LOSSES = 2;

/** Maximum transit time of a request from an entry to a target. */
export const TRANSIT_MS = 150;

/** An entry without paths to targets must serve its callers this long after the loss. */
export const PATH_LOSS_MS = 3_000;

/** Whether a process, or the whole network, had a fault within a period. */
export function isDisturbed(
  { disturbances }: Observations,
  subject: observations.DisturbedSubject,
  index: number | undefined,
  from: number,
  until: number,
): boolean {
  return disturbances.some((each) => {
    const isOverlapping = each.from <= until && each.until >= from;
    const isSubject = each.subject === subject && (index === undefined || each.index === index);
    return isOverlapping && (isSubject || each.subject === 'network');
  });
}

export function isUndisturbed(
  observed: Observations,
  entry: number,
  from: number,
  until: number,
): boolean {
  const isEntryCalm = !isDisturbed(observed, 'entry', entry, from - UNDISTURBED_MS, until);
  return isEntryCalm && !isDisturbed(observed, 'keeper', undefined, from - UNDISTURBED_MS, until);
}

export function isTargetDisturbed(observed: Observations, target: string | undefined): boolean {
  const index = observed.lifetimes.find((each) => each.target === target)?.index;
  return observed.disturbances.some((each) => each.subject === 'target' && each.index === index);
}

/** Whether all links were harmed within a period. */
export function isNetworkDisturbed(
  { disturbances }: Observations,
  from: number,
  until: number,
): boolean {
  return disturbances.some((each) => {
    return each.subject === 'network' && each.from <= until && each.until >= from;
  });
}

/** Whether an entry's paths to targets were severed within a period. */
export function isSevered(
  { severed }: Observations,
  entry: number,
  from: number,
  until: number,
): boolean {
  return severed.some((each) => {
    return each.entries.includes(entry) && each.from <= until && each.until >= from;
  });
}

/**
 * Whether an entry still knows at `at` what it received at `since`: it neither stopped nor was disturbed in between.
 */
export function isUninterrupted(
  observed: Observations,
  entry: number,
  since: number,
  at: number,
): boolean {
  const overlaps = (each: Record<'from' | 'until', number>): boolean =>
    each.from <= at && each.until >= since;
  const isStopped = observed.stopped.some((each) => each.entry === entry && overlaps(each));
  const isEntryDisturbed = observed.disturbances.some((each) => {
    return each.subject === 'entry' && each.index === entry && overlaps(each);
  });
  return !isStopped && !isEntryDisturbed;
}

/**
 * Whether a response that a target sent at a time could reach the entry: not one on a severed path, nor one to a message
 * that the path held back until it was restored, when the entry had given it up.
 */
export function hadPaths({ severed }: Observations, entry: number, at: number): boolean {
  return !severed.some(({ entries, from, until }) => {
    return entries.includes(entry) && at >= from - TRANSIT_MS && at <= until + TRANSIT_MS;
  });
}

/** Whether an entry and enough keepers for a quorum had no fault for the bound at some time between two others. */
export function wasInTouch(
  observed: Observations,
  entry: number,
  from: number,
  until: number,
): boolean {
  const { disturbances } = observed;
  const ends = disturbances.map((each) => each.until).filter((each) => each > from);
  return [from, ...ends].some((start) => {
    const end = start + layout.BOUNDS.evacuationMs;
    if (end > until || isDisturbed(observed, 'entry', entry, start + 1, end)) return false;
    const keepers = disturbances.filter((each) => {
      return each.subject === 'keeper' && each.from <= end && each.until > start;
    });
    return new Set(keepers.map(({ index }) => index)).size <= TOLERATED_LOSSES;
  });
}
