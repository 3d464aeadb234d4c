/** Checks that callers are served while paths are lost, and after all faults. */
import * as availability from './availability';
import * as endings from './endings';
import * as faults from './faults';
import type * as observations from './observations';
import type * as violation from './violation';

type Observations = observations.Observations;
type RequestRecord = observations.RequestRecord;
type Violation = violation.Violation;

/** Callers there may be served this share as often as those of other entries, or fail in the given number. */
const MIN_SHARE_WITHOUT_PATHS = 2 / 3;
const UNSERVED_WITHOUT_PATHS = { base: 10, share: 1 / 50 } as const;

/** Share of requests that must succeed after recovery. */
const MIN_RECOVERED_SHARE = 0.95;

/** The fleet must have recovered this long after all faults ended. */
export const RECOVERY_MS = 8_000;

/**
 * Compares the callers of severed entries with those of the others, where nothing else happened to their entries,
 * some entry that could relay for them was undisturbed as well, and some target could take their requests.
 */
export function unservedWithoutPaths(observed: Observations): Violation[] {
  const { asked, severed } = observed;
  const allEntries = [...new Set(asked.map(({ entry }) => entry))];
  return severed.flatMap(({ entries, from, until }): Violation[] => {
    const relays = allEntries.filter((each) => !entries.includes(each));
    const sent = asked.filter((request) => {
      const { sentAt, endedAt, entry, key } = request;
      const isDuring = sentAt >= from + faults.PATH_LOSS_MS && endedAt <= until;
      if (!isDuring || endedAt >= keyWithdrawnAt(observed, key)) return false;
      const isCalm = (each: number): boolean =>
        faults.isUninterrupted(observed, each, from, endedAt);
      const isNetworkCalm = !faults.isNetworkDisturbed(
        observed,
        sentAt - faults.SETTLING_MS,
        endedAt,
      );
      const isComparable = isCalm(entry) && relays.some(isCalm) && isNetworkCalm;
      return isComparable && availability.hadAvailableTarget(observed, request);
    });
    const atSevered = sent.filter(({ entry }) => entries.includes(entry));
    const others = sent.filter(({ entry }) => !entries.includes(entry));
    const failed = atSevered.filter((each) => !endings.isServed(each)).length;
    const { base, share } = UNSERVED_WITHOUT_PATHS;
    const isFew = failed <= base + share * sent.length;
    const expected = MIN_SHARE_WITHOUT_PATHS * expectedToBeServed(atSevered, others);
    if (isFew || atSevered.length - failed >= expected) return [];
    const elsewhere = servedShare(others).toFixed(2);
    const detail = `entries ${entries.join(', ')} from ${from}: ${failed} of ${atSevered.length} failed, share elsewhere ${elsewhere}`;
    return [{ promise: 'unservedWithoutPaths', detail }];
  });
}

/** When the first document without a key that is revoked was submitted; infinite if it isn't. */
function keyWithdrawnAt({ sent, revoked }: Observations, key: string): number {
  if (!revoked.some((each) => each.key === key)) return Infinity;
  const versions = sent.filter(({ keys }) => keys.includes(key)).map(({ version }) => version);
  const first = Math.min(...versions);
  const later = sent.filter(({ version, keys }) => version > first && !keys.includes(key));
  return Math.min(Infinity, ...later.map(({ sentAt }) => sentAt));
}

/** How many requests would be served if those of each kind were as often as others of it, or as all others. */
function expectedToBeServed(
  requests: readonly RequestRecord[],
  others: readonly RequestRecord[],
): number {
  const shares = requests.map((request) => {
    const sameKind = others.filter(({ kind }) => kind === request.kind);
    return servedShare(sameKind.length > 0 ? sameKind : others);
  });
  return shares.reduce((sum, share) => sum + share, 0);
}

function servedShare(requests: readonly RequestRecord[]): number {
  return requests.length === 0 ? 0 : requests.filter(endings.isServed).length / requests.length;
}

export function unrecoveredService({ asked, revoked, healedAt }: Observations): Violation[] {
  const revokedKeySet = new Set(revoked.map(({ key }) => key));
  const late = asked.filter(
    ({ sentAt, key }) => sentAt > healedAt + RECOVERY_MS && !revokedKeySet.has(key),
  );
  const served = late.filter(endings.isServed).length;
  if (late.length > 0 && served >= MIN_RECOVERED_SHARE * late.length) return [];
  return [{ promise: 'notRecovered', detail: `${served} of ${late.length} served` }];
}
