/** When a service had a target that could take requests, as far as that was observed from outside. */
import * as layout from './layout';
import type * as observations from './observations';

type Observations = observations.Observations;

/** Whether some target that serves requests of this kind was available when a request was sent. */
export function hadAvailableTarget(
  observed: Observations,
  { kind, sentAt }: observations.RequestRecord,
): boolean {
  const indexes = targetIndexes(observed, kind);
  return indexes.size === 0 || [...indexes].some((each) => isAvailable(observed, each, sentAt));
}

/** Indexes of the targets that ran requests of a kind. */
export function targetIndexes(observed: Observations, kind: observations.RequestKind): Set<number> {
  const kinds = new Map(observed.asked.map((each) => [each.request, each.kind]));
  const ran = observed.ran.filter(({ request }) => kinds.get(request) === kind);
  return new Set(ran.flatMap(({ target }) => indexOf(observed, target) ?? []));
}

function indexOf({ lifetimes }: Observations, target: string): number | undefined {
  return lifetimes.find((each) => each.target === target)?.index;
}

/** Whether a target had no fault, wasn't evacuated and asked no entry, which may be a relay, to back off. */
export function isAvailable(observed: Observations, index: number, at: number): boolean {
  const isFaulty = observed.disturbances.some((each) => {
    return each.subject === 'target' && each.index === index && each.from <= at && each.until >= at;
  });
  const isEvacuated = observed.evacuated.some(({ dataCentre, ackedAt, endedAt }) => {
    return dataCentre === layout.dataCentreOf(index) && ackedAt <= at && endedAt >= at;
  });
  const isBackingOff = observed.turnedAway.some((each) => {
    const until = each.at + 1_000 * (each.backOffSeconds ?? 0);
    return indexOf(observed, each.target) === index && each.at <= at && until >= at;
  });
  return !isFaulty && !isEvacuated && !isBackingOff;
}
