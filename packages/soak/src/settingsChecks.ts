/** Checks that settings come into force in time and in order, and are kept. */
import * as endings from './endings';
import * as faults from './faults';
import * as layout from './layout';
import type * as observations from './observations';
import type * as violation from './violation';

type Observations = observations.Observations;
type RequestRecord = observations.RequestRecord;
type Probe = observations.Probe;
type Violation = violation.Violation;

/** The response to a probe may reflect the state this long before the probe was sent. */
const PROBE_TOLERANCE_MS = 500;

const DENIAL_STATUSES = new Set([401, 403, 404]);

/**
 * Base routes are in every document. An entry may therefore reject a request only for its key, and only if a document
 * that may be in force doesn't contain that key.
 */
export function deniedRequests(observed: Observations): Violation[] {
  return observed.asked.flatMap((asked) => {
    const { request, key, ending, entry } = asked;
    if (ending.kind !== 'answered' || !DENIAL_STATUSES.has(ending.status)) return [];
    const possible = possibleDocuments(observed, asked);
    if (possible.some(({ keys }) => !keys.includes(key))) return [];
    return [
      { promise: 'denied', detail: `${request} received ${ending.status} at entry ${entry}` },
    ];
  });
}

/**
 * Documents that an entry may have in force for a request. A disturbed entry may have any document submitted so far.
 */
function possibleDocuments(
  observed: Observations,
  asked: RequestRecord,
): observations.SubmittedDocument[] {
  const sent = observed.sent.filter(({ sentAt }) => sentAt < asked.endedAt);
  if (!faults.isUndisturbed(observed, asked.entry, asked.sentAt, asked.endedAt)) return sent;
  const bound = asked.sentAt - layout.BOUNDS.applyMs;
  const settled = sent.filter(({ ackedAt }) => (ackedAt ?? Infinity) < bound);
  const oldest = Math.max(0, ...settled.map(({ version }) => version));
  return sent.filter(({ version }) => version >= oldest);
}

function isUnknownRoute({ ending }: RequestRecord): boolean {
  return ending.kind === 'answered' && ending.status === 404;
}

export function versionRegressions({ probes }: Observations): Violation[] {
  const served = probes.filter(endings.isServed);
  return served.flatMap((later) => {
    const earlier = served.find(
      (each) =>
        each.entry === later.entry &&
        each.incarnation === later.incarnation &&
        each.version > later.version &&
        each.endedAt + PROBE_TOLERANCE_MS < later.sentAt,
    );
    if (earlier === undefined) return [];
    const detail = `entry ${later.entry}: ${later.request} was served by ${later.version} after ${earlier.version}`;
    return [{ promise: 'wentBack', detail }];
  });
}

export function staleCatalogues(observed: Observations): Violation[] {
  return observed.probes.flatMap((probe) => {
    const { entry, sentAt, endedAt } = probe;
    if (!faults.isUndisturbed(observed, entry, sentAt, endedAt)) return [];
    const bound = sentAt - layout.BOUNDS.applyMs;
    const newer = observed.sent.find(
      ({ version, ackedAt }) => version > probe.version && (ackedAt ?? Infinity) < bound,
    );
    if (endings.isServed(probe) && newer !== undefined) return [staleness(probe, 'still served')];
    return isUnknownRoute(probe) && mustBeInForce(observed, probe, bound)
      ? [staleness(probe, 'unknown')]
      : [];
  });
}

/** Whether the probed document is acknowledged and the only one that may be in force. */
function mustBeInForce({ sent }: Observations, probe: Probe, bound: number): boolean {
  const isOvertaken = sent.some(({ version, label, sentAt }) => {
    const isOther = version > probe.version || (version === probe.version && label !== probe.label);
    return isOther && sentAt < probe.endedAt;
  });
  if (isOvertaken) return false;
  return sent.some(({ version, label, ackedAt }) => {
    return version === probe.version && label === probe.label && (ackedAt ?? Infinity) < bound;
  });
}

function staleness({ entry, version, request }: Probe, what: string): Violation {
  return { promise: 'notInForce', detail: `entry ${entry}: ${version} ${what} (${request})` };
}

export function conflictingDocuments({ probes }: Observations): Violation[] {
  const labels = new Map<number, Set<string>>();
  probes.filter(endings.isServed).forEach(({ version, label }) => {
    labels.set(version, (labels.get(version) ?? new Set()).add(label));
  });
  return [...labels]
    .filter(([, served]) => served.size > 1)
    .map(([version]) => ({ promise: 'twoContents', detail: `version ${version}` }));
}

export function lostDocuments({ sent, readBack, restartReads }: Observations): Violation[] {
  const reads = [...restartReads, { lostAt: Infinity, document: readBack }];
  return reads.flatMap(({ lostAt, document }): Violation[] => {
    const acked = sent.filter(({ ackedAt = Infinity }) => ackedAt < lostAt);
    const newest = Math.max(0, ...acked.map(({ version }) => version));
    if (document === undefined) return [{ promise: 'lost', detail: 'no document read back' }];
    const { version, label } = document;
    const isSent = sent.some((each) => each.version === version && each.label === label);
    const detail = `read back ${version}${label}, ${newest} was acknowledged`;
    return version >= newest && isSent ? [] : [{ promise: 'lost', detail }];
  });
}

export function revokedKeyRuns({ asked, ran, revoked }: Observations): Violation[] {
  const ranRequests = new Set(ran.map(({ request }) => request));
  return asked.flatMap(({ key, request, sentAt }) => {
    const revocation = revoked.find((each) => each.key === key);
    const isLate = revocation !== undefined && sentAt > revocation.ackedAt + layout.BOUNDS.revokeMs;
    if (!isLate || !ranRequests.has(request)) return [];
    return [{ promise: 'revokedKeyRan', detail: `${request} with ${key}` }];
  });
}
