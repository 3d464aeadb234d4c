/** Checks that targets that drain or are evacuated get no more requests. */
import * as faults from './faults';
import * as layout from './layout';
import type * as observations from './observations';
import type * as violation from './violation';

type Observations = observations.Observations;
type RequestRecord = observations.RequestRecord;
type Violation = violation.Violation;

export function drainedTargetRuns(observed: Observations): Violation[] {
  const byRequest = new Map(observed.asked.map((each) => [each.request, each]));
  return observed.ran.flatMap(({ request, target, at }) => {
    const drained = observed.drained.find((each) => each.target === target);
    const asked = byRequest.get(request);
    if (drained === undefined || asked === undefined) return [];
    if (at < drained.at + layout.BOUNDS.drainMs + faults.TRANSIT_MS) return [];
    if (!faults.isUndisturbed(observed, asked.entry, drained.at, at)) return [];
    return [{ promise: 'drainedTargetRan', detail: `${request} at ${target}` }];
  });
}

/** Requests that ran on targets which had reported to the same entry that they were draining. */
export function drainingTargetRuns(observed: Observations): Violation[] {
  const asked = new Map(observed.asked.map((each) => [each.request, each]));
  return observed.ran.flatMap(({ request, target, bornAt, at }): Violation[] => {
    const { entry, sentAt } = asked.get(request) ?? { entry: -1, sentAt: 0 };
    const isLate = observed.saidLeaving.some((report) => {
      const isSamePair =
        report.target === target && report.bornAt === bornAt && report.entry === entry;
      const isPastBound = report.at < sentAt - layout.BOUNDS.drainMs;
      const isHeard = faults.hadPaths(observed, entry, report.at);
      return (
        isSamePair &&
        isPastBound &&
        isHeard &&
        faults.isUninterrupted(observed, entry, report.at, at)
      );
    });
    return isLate ? [{ promise: 'drainedTargetRan', detail: `${request} at ${target}` }] : [];
  });
}

/** Whether a severed path held a request back until it was restored; its entry can't recall it. */
function wasHeldBack(
  { severed }: Observations,
  { entry, sentAt }: RequestRecord,
  ranAt: number,
): boolean {
  return severed.some(({ entries, from, until }) => {
    const wasSentMeanwhile = sentAt >= from - faults.TRANSIT_MS && sentAt <= until;
    const ranOnceRestored = ranAt >= until && ranAt <= until + faults.TRANSIT_MS;
    return entries.includes(entry) && wasSentMeanwhile && ranOnceRestored;
  });
}

/**
 * An entry knows an evacuation at the latest once it has been in touch with a leader for the bound, and keeps it
 * through later faults.
 */
export function evacuatedTargetRuns(observed: Observations): Violation[] {
  const requests = new Map(
    [...observed.asked, ...observed.crashers].map((each) => [each.request, each]),
  );
  const indexes = new Map(observed.lifetimes.map(({ target, index }) => [target, index]));
  return observed.ran.flatMap(({ request, target, at }): Violation[] => {
    const index = indexes.get(target);
    const record = requests.get(request);
    if (index === undefined || record === undefined) return [];
    if (wasHeldBack(observed, record, at)) return [];
    const { entry } = record;
    const evacuation = observed.evacuated.find(({ dataCentre, ackedAt, endedAt }) => {
      const isHere = dataCentre === layout.dataCentreOf(index);
      return (
        isHere && at > ackedAt + layout.BOUNDS.evacuationMs + faults.TRANSIT_MS && at < endedAt
      );
    });
    if (evacuation === undefined || !faults.wasInTouch(observed, entry, evacuation.ackedAt, at))
      return [];
    return [{ promise: 'evacuatedTargetRan', detail: `${request} at ${target}` }];
  });
}

export function lostEvacuations({ evacuated }: Observations): Violation[] {
  return evacuated
    .filter(({ isListed }) => isListed !== true)
    .map(({ dataCentre, isListed }) => {
      const detail =
        isListed === undefined ? `${dataCentre}: no listing` : `${dataCentre}: not listed`;
      return { promise: 'evacuationLost', detail };
    });
}
