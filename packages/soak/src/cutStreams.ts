/** Streams that ended early although neither their entries nor their targets explain it. Silence of a target doesn't. */
import * as callers from './callers';
import * as layout from './layout';
import type * as observations from './observations';

type Observations = observations.Observations;
type RequestRecord = observations.RequestRecord;
type Period = Record<'from' | 'until', number>;

/** Faults of entries and paths count for requests sent up to this long after them. */
const SETTLING_MS = 3_000;

/** An entry may end a stream this long before the caller's timeout, as the two don't start at the same time. */
const TIMEOUT_TOLERANCE_MS = 100;

/** How long a draining target serves after the acknowledgement at least. */
const DRAINING_MS = 2_900;

export function find(observed: Observations): RequestRecord[] {
  return observed.asked.filter((asked) => {
    const { kind, ending, sentAt, endedAt } = asked;
    if (kind !== 'stream' || ending.kind !== 'broken' || ending.hasBegun !== true) return false;
    if (endedAt - sentAt >= callers.CALLER_TIMEOUT_MS.stream - TIMEOUT_TOLERANCE_MS) return false;
    const during = { from: sentAt - SETTLING_MS, until: endedAt };
    if (hadFault(observed, 'entry', asked.entry, during)) return false;
    return hadPaths(observed, asked.entry, during) && hadSoundTargets(observed, asked);
  });
}

function overlaps(one: Period, other: Period): boolean {
  return one.from <= other.until && one.until >= other.from;
}

/** Whether a process or all links had a fault within a period, or the process a stop that took longer than it may. */
function hadFault(
  { disturbances, stopped }: Pick<Observations, 'disturbances' | 'stopped'>,
  subject: 'entry' | 'target',
  index: number,
  during: Period,
): boolean {
  const isDisturbed = disturbances.some((each) => {
    const isOwn = each.subject === subject && each.index === index;
    return (isOwn || each.subject === 'network') && overlaps(each, during);
  });
  const isOverdue = stopped.some((each) => {
    const isOwn = subject === 'entry' && each.entry === index;
    return isOwn && each.until - each.from >= layout.BOUNDS.stopMs && overlaps(each, during);
  });
  return isDisturbed || isOverdue;
}

/** Whether an entry had its paths to targets, or another one without a fault that could relay for it. */
function hadPaths(observed: Observations, entry: number, during: Period): boolean {
  const severed = new Set(
    observed.severed.filter((each) => overlaps(each, during)).flatMap(({ entries }) => entries),
  );
  if (!severed.has(entry)) return true;
  const others = new Set(observed.asked.map((each) => each.entry));
  return [...others].some((each) => {
    const isStopped = observed.stopped.some((stop) => {
      return stop.entry === each && overlaps(stop, during);
    });
    return !severed.has(each) && !isStopped && !hadFault(observed, 'entry', each, during);
  });
}

/** Whether the targets that ran a stream neither had a fault nor crashed or left meanwhile. */
function hadSoundTargets(
  { crashed, drained, ran, lifetimes, ...observed }: Observations,
  { request, sentAt, endedAt }: RequestRecord,
): boolean {
  const during = { from: sentAt, until: endedAt };
  const isWithin = (at: number): boolean => at >= sentAt && at <= endedAt;
  return ran
    .filter((each) => each.request === request)
    .every(({ target }) => {
      const { index = -1 } = lifetimes.find((each) => each.target === target) ?? {};
      const hasCrashed = crashed.some((each) => each.target === target && isWithin(each.at));
      const hasLeft = drained.some((each) => {
        return each.target === target && isWithin(each.at + DRAINING_MS);
      });
      return !hasCrashed && !hasLeft && !hadFault(observed, 'target', index, during);
    });
}
