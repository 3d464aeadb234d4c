/** Checks that requests that crash targets are stopped, and that their callers are told the truth. */
import * as endings from './endings';
import * as faults from './faults';
import type * as observations from './observations';
import type * as violation from './violation';

type Observations = observations.Observations;
type Violation = violation.Violation;

/**
 * After three crashes and the settling time, a request may reach at most three more targets from undisturbed entries.
 */
const CRASHES_TO_QUARANTINE = 3;
const MAX_LATER_ARRIVALS = 3;

export function quarantineBypasses(observed: Observations): Violation[] {
  const causes = new Set(observed.crashed.map(({ cause }) => cause));
  return [...causes].flatMap((cause): Violation[] => {
    const crashes = observed.crashed
      .filter((each) => each.cause === cause)
      .sort((a, b) => a.at - b.at);
    if (crashes.length < CRASHES_TO_QUARANTINE) return [];
    const quarantinedAt = crashes[CRASHES_TO_QUARANTINE - 1].at + faults.SETTLING_MS;
    const copies = new Map(
      observed.crashers.filter((each) => each.cause === cause).map((each) => [each.request, each]),
    );
    const later = observed.ran.filter(({ request, at }) => {
      const copy = copies.get(request);
      return (
        copy !== undefined &&
        at > quarantinedAt &&
        faults.isUndisturbed(observed, copy.entry, copy.sentAt, at)
      );
    });
    if (later.length <= MAX_LATER_ARRIVALS) return [];
    const detail = `"${cause}" reached ${later.length} further targets; ${crashes.length} crashed in total`;
    return [{ promise: 'crashedOn', detail }];
  });
}

export function falselyRefusedCrashers({ crashers, ran }: Observations): Violation[] {
  const ranRequests = new Set(ran.map(({ request }) => request));
  return crashers
    .filter(
      ({ ending }) => ending.kind === 'answered' && endings.NOT_RUN_STATUSES.has(ending.status),
    )
    .filter(({ request }) => ranRequests.has(request))
    .map(({ request }) => ({
      promise: 'falseNotRun',
      detail: `${request} ran, crashed its target and was reported as not run`,
    }));
}
