/**
 * Checks the guarantees of the fleet against what was observed from outside. Guarantees without a time bound always
 * hold; those with one hold only for processes that weren't disturbed, which each check takes into account.
 */
import * as answers from './answers';
import * as availability from './availability';
import * as cutStreams from './cutStreams';
import * as layout from './layout';
import * as limitUse from './limitUse';
import type * as observations from './observations';

type RequestRecord = observations.RequestRecord;
type Observations = observations.Observations;
type Probe = observations.Probe;

export type Guarantee =
  /** A successful response that isn't the complete response to the caller's own request. */
  | 'wrongAnswer'
  /** A request that must run at most once ran more than once. */
  | 'ranTwice'
  /** A request that ran was answered with a status that guarantees that it didn't. */
  | 'falseNotRun'
  /** A request had no outcome well after its caller's timeout. */
  | 'hung'
  /** A request with a valid route and key was rejected for one of them. */
  | 'denied'
  /** A process served an older version of the catalogue after a newer one. */
  | 'wentBack'
  /** A document wasn't in force within the bound after its acknowledgement. */
  | 'notInForce'
  /** Two documents with the same version were both in force. */
  | 'twoContents'
  /** An acknowledged document was missing from what was read back. */
  | 'lost'
  /** A request with a revoked key ran after the bound. */
  | 'revokedKeyRan'
  /** A target ran a request after the bound on draining targets. */
  | 'drainedTargetRan'
  /** A target in an evacuated data centre ran a request after the bound. */
  | 'evacuatedTargetRan'
  /** An acknowledged evacuation no longer held before its end was ordered. */
  | 'evacuationLost'
  /** A planned stop truncated the response to a request that the entry had accepted. */
  | 'cutByStop'
  /** A stream that had begun ended before its last event and its time, although its entry and targets had no fault but silence. */
  | 'streamCut'
  /** A request that had crashed three targets kept reaching further ones. */
  | 'crashedOn'
  /** A target got more messages than the limit it reported. */
  | 'overLimit'
  /** An entry kept sending to a target during the back-off that it had requested. */
  | 'notLeftAlone'
  /** Callers of entries without a path to targets were served far less often than those of the others. */
  | 'unservedWithoutPaths'
  /** While entries had no path to targets, most messages that limited targets got were no requests of callers. */
  | 'limitsTaken'
  /** The process of an entry occupied more memory than its VM has. */
  | 'memoryExceeded'
  /** Engines still held memory reservations at the end. */
  | 'memoryLeft'
  /** Too few requests succeeded after all faults had ended. */
  | 'notRecovered';

export interface Violation {
  promise: Guarantee;
  detail: string;
}

/** An entry counts as undisturbed when neither it nor any keeper had a fault for this long. */
const UNDISTURBED_MS = 5_000;

/**
 * A planned stop guarantees the responses only to requests sent this long after any other fault. A process that is
 * frozen when it is told to stop resumes with only the remainder of its stop timeout, and can't know that. Quarantines
 * and limits must also hold after this time.
 */
const SETTLING_MS = 3_000;

/** The response to a probe may reflect the state this long before the probe was sent. */
const PROBE_TOLERANCE_MS = 500;

/** Number of keepers that may have faults while the others serve; equals `tolerated-losses` in their settings. */
const TOLERATED_LOSSES = 2;

/** Maximum transit time of a request from an entry to a target. */
const TRANSIT_MS = 150;

/** Statuses that guarantee that a request didn't run. */
export const NOT_RUN_STATUSES = new Set([408, 421, 429, 503]);

const DENIAL_STATUSES = new Set([401, 403, 404]);

/** Share of requests that must succeed after recovery. */
const MIN_RECOVERED_SHARE = 0.95;

/** An entry without paths to targets must serve its callers this long after the loss. */
const PATH_LOSS_MS = 3_000;

/** Callers there may be served this share as often as those of other entries, or fail in the given number. */
const MIN_SHARE_WITHOUT_PATHS = 2 / 3;
const UNSERVED_WITHOUT_PATHS = { base: 10, share: 1 / 50 } as const;

/** Of the messages that limited targets get, this share are requests of callers, but for a few. */
const MIN_LIMIT_USE = { share: 1 / 2, base: 3 } as const;

/** The fleet must have recovered this long after all faults ended. */
export const RECOVERY_MS = 8_000;

type Check = (observed: Observations) => Violation[];

const CHECKS: Check[] = [
  wrongAnswers,
  executions,
  hungRequests,
  deniedRequests,
  versionRegressions,
  staleCatalogues,
  conflictingDocuments,
  lostDocuments,
  revokedKeyRuns,
  drainedTargetRuns,
  evacuatedTargetRuns,
  lostEvacuations,
  requestsCutByStops,
  streamsCut,
  quarantineBypasses,
  falselyRefusedCrashers,
  limitOverruns,
  backOffBreaches,
  drainingTargetRuns,
  unservedWithoutPaths,
  takenLimits,
  exceededMemory,
  leftReservations,
  unrecoveredService,
];

export function violations(observed: Observations): Violation[] {
  return CHECKS.flatMap((check) => check(observed));
}

function wrongAnswers({ asked }: Observations): Violation[] {
  return asked.flatMap(({ request, path, ending }) => {
    if (ending.kind !== 'answered' || ending.status !== 200) return [];
    if (ending.isSigned && ending.body === answers.fullAnswer(request, path)) return [];
    const detail = `${request} ${path} received ${JSON.stringify(ending.body.slice(0, 200))}`;
    return [{ promise: 'wrongAnswer', detail }];
  });
}

function executions({ asked, ran }: Observations): Violation[] {
  const counts = new Map<string, number>();
  ran.forEach(({ request }) => counts.set(request, (counts.get(request) ?? 0) + 1));
  return asked
    .filter(({ kind }) => kind === 'unsafe')
    .flatMap(({ request, ending }): Violation[] => {
      const count = counts.get(request) ?? 0;
      if (count > 1) return [{ promise: 'ranTwice', detail: `${request} ran ${count} times` }];
      const isReportedNotRun = ending.kind === 'answered' && NOT_RUN_STATUSES.has(ending.status);
      return isReportedNotRun && count > 0
        ? [{ promise: 'falseNotRun', detail: `${request} ran and received ${ending.status}` }]
        : [];
    });
}

function hungRequests(observed: Observations): Violation[] {
  return [...observed.asked, ...observed.crashers]
    .filter(({ ending }) => ending.kind === 'hung')
    .filter((each) => !isDisturbed(observed, 'entry', each.entry, each.sentAt, each.endedAt))
    .map(({ request, entry }) => ({ promise: 'hung', detail: `${request} at entry ${entry}` }));
}

/**
 * Base routes are in every document. An entry may therefore reject a request only for its key, and only if a document
 * that may be in force doesn't contain that key.
 */
function deniedRequests(observed: Observations): Violation[] {
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
  if (!isUndisturbed(observed, asked.entry, asked.sentAt, asked.endedAt)) return sent;
  const bound = asked.sentAt - layout.BOUNDS.applyMs;
  const settled = sent.filter(({ ackedAt }) => (ackedAt ?? Infinity) < bound);
  const oldest = Math.max(0, ...settled.map(({ version }) => version));
  return sent.filter(({ version }) => version >= oldest);
}

function isServed({ ending }: RequestRecord): boolean {
  return ending.kind === 'answered' && ending.status === 200;
}

function isUnknownRoute({ ending }: RequestRecord): boolean {
  return ending.kind === 'answered' && ending.status === 404;
}

function versionRegressions({ probes }: Observations): Violation[] {
  const served = probes.filter(isServed);
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

function staleCatalogues(observed: Observations): Violation[] {
  return observed.probes.flatMap((probe) => {
    const { entry, sentAt, endedAt } = probe;
    if (!isUndisturbed(observed, entry, sentAt, endedAt)) return [];
    const bound = sentAt - layout.BOUNDS.applyMs;
    const newer = observed.sent.find(
      ({ version, ackedAt }) => version > probe.version && (ackedAt ?? Infinity) < bound,
    );
    if (isServed(probe) && newer !== undefined) return [staleness(probe, 'still served')];
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

function conflictingDocuments({ probes }: Observations): Violation[] {
  const labels = new Map<number, Set<string>>();
  probes.filter(isServed).forEach(({ version, label }) => {
    labels.set(version, (labels.get(version) ?? new Set()).add(label));
  });
  return [...labels]
    .filter(([, served]) => served.size > 1)
    .map(([version]) => ({ promise: 'twoContents', detail: `version ${version}` }));
}

function lostDocuments({ sent, readBack, restartReads }: Observations): Violation[] {
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

function revokedKeyRuns({ asked, ran, revoked }: Observations): Violation[] {
  const ranRequests = new Set(ran.map(({ request }) => request));
  return asked.flatMap(({ key, request, sentAt }) => {
    const revocation = revoked.find((each) => each.key === key);
    const isLate = revocation !== undefined && sentAt > revocation.ackedAt + layout.BOUNDS.revokeMs;
    if (!isLate || !ranRequests.has(request)) return [];
    return [{ promise: 'revokedKeyRan', detail: `${request} with ${key}` }];
  });
}

function drainedTargetRuns(observed: Observations): Violation[] {
  const byRequest = new Map(observed.asked.map((each) => [each.request, each]));
  return observed.ran.flatMap(({ request, target, at }) => {
    const drained = observed.drained.find((each) => each.target === target);
    const asked = byRequest.get(request);
    if (drained === undefined || asked === undefined) return [];
    if (at < drained.at + layout.BOUNDS.drainMs + TRANSIT_MS) return [];
    if (!isUndisturbed(observed, asked.entry, drained.at, at)) return [];
    return [{ promise: 'drainedTargetRan', detail: `${request} at ${target}` }];
  });
}

/** Whether a severed path held a request back until it was restored; its entry can't recall it. */
function wasHeldBack(
  { severed }: Observations,
  { entry, sentAt }: RequestRecord,
  ranAt: number,
): boolean {
  return severed.some(({ entries, from, until }) => {
    const wasSentMeanwhile = sentAt >= from - TRANSIT_MS && sentAt <= until;
    const ranOnceRestored = ranAt >= until && ranAt <= until + TRANSIT_MS;
    return entries.includes(entry) && wasSentMeanwhile && ranOnceRestored;
  });
}

/**
 * An entry knows an evacuation at the latest once it has been in touch with a leader for the bound, and keeps it
 * through later faults.
 */
function evacuatedTargetRuns(observed: Observations): Violation[] {
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
      return isHere && at > ackedAt + layout.BOUNDS.evacuationMs + TRANSIT_MS && at < endedAt;
    });
    if (evacuation === undefined || !wasInTouch(observed, entry, evacuation.ackedAt, at)) return [];
    return [{ promise: 'evacuatedTargetRan', detail: `${request} at ${target}` }];
  });
}

/** Whether an entry and enough keepers for a quorum had no fault for the bound at some time between two others. */
function wasInTouch(observed: Observations, entry: number, from: number, until: number): boolean {
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

function lostEvacuations({ evacuated }: Observations): Violation[] {
  return evacuated
    .filter(({ isListed }) => isListed !== true)
    .map(({ dataCentre, isListed }) => {
      const detail =
        isListed === undefined ? `${dataCentre}: no listing` : `${dataCentre}: not listed`;
      return { promise: 'evacuationLost', detail };
    });
}

/** Whether an entry's paths to targets were severed within a period. */
function isSevered({ severed }: Observations, entry: number, from: number, until: number): boolean {
  return severed.some((each) => {
    return each.entries.includes(entry) && each.from <= until && each.until >= from;
  });
}

/** A request that a stopping entry had forwarded must get its complete response, unless its target was disturbed. */
function requestsCutByStops(observed: Observations): Violation[] {
  const ran = new Map(observed.ran.map((each) => [each.request, each]));
  return observed.stopped.flatMap(({ entry, incarnation, from, until }) => {
    const cut = observed.asked.filter((each) => {
      const isSameProcess = each.entry === entry && each.incarnation === incarnation;
      return isSameProcess && each.ending.kind === 'broken' && each.endedAt > from;
    });
    return cut
      .filter(
        ({ request }) => ran.has(request) && !isTargetDisturbed(observed, ran.get(request)?.target),
      )
      .filter(({ sentAt }) => !isDisturbed(observed, 'entry', entry, sentAt - SETTLING_MS, until))
      .filter(({ sentAt }) => !isSevered(observed, entry, sentAt - SETTLING_MS, until))
      .map(({ request }) => ({ promise: 'cutByStop', detail: `${request} at entry ${entry}` }));
  });
}

function streamsCut(observed: Observations): Violation[] {
  return cutStreams.find(observed).map(({ request, entry, sentAt, endedAt }) => {
    const detail = `${request} at entry ${entry} after ${endedAt - sentAt} ms`;
    return { promise: 'streamCut', detail };
  });
}

/**
 * After three crashes and the settling time, a request may reach at most three more targets from undisturbed entries.
 */
const CRASHES_TO_QUARANTINE = 3;
const MAX_LATER_ARRIVALS = 3;

function quarantineBypasses(observed: Observations): Violation[] {
  const causes = new Set(observed.crashed.map(({ cause }) => cause));
  return [...causes].flatMap((cause): Violation[] => {
    const crashes = observed.crashed
      .filter((each) => each.cause === cause)
      .sort((a, b) => a.at - b.at);
    if (crashes.length < CRASHES_TO_QUARANTINE) return [];
    const quarantinedAt = crashes[CRASHES_TO_QUARANTINE - 1].at + SETTLING_MS;
    const copies = new Map(
      observed.crashers.filter((each) => each.cause === cause).map((each) => [each.request, each]),
    );
    const later = observed.ran.filter(({ request, at }) => {
      const copy = copies.get(request);
      return (
        copy !== undefined &&
        at > quarantinedAt &&
        isUndisturbed(observed, copy.entry, copy.sentAt, at)
      );
    });
    if (later.length <= MAX_LATER_ARRIVALS) return [];
    const detail = `"${cause}" reached ${later.length} further targets; ${crashes.length} crashed in total`;
    return [{ promise: 'crashedOn', detail }];
  });
}

function falselyRefusedCrashers({ crashers, ran }: Observations): Violation[] {
  const ranRequests = new Set(ran.map(({ request }) => request));
  return crashers
    .filter(({ ending }) => ending.kind === 'answered' && NOT_RUN_STATUSES.has(ending.status))
    .filter(({ request }) => ranRequests.has(request))
    .map(({ request }) => ({
      promise: 'falseNotRun',
      detail: `${request} ran, crashed its target and was reported as not run`,
    }));
}

/** In each window of this length, a target may get at most the limit times a factor, plus a few messages. */
const LIMIT_WINDOW_MS = 4_000;
const LIMIT_FACTOR = 1.5;
const LIMIT_EXTRA_MESSAGES = 5;

/** An entry must respect what a target reports this long after the response that reported it. */
const REPORT_DELAY_MS = 500;

/** Messages that an entry may send to a target during the back-off that it requested. */
const MAX_DURING_BACK_OFF = 2;

function limitOverruns(observed: Observations): Violation[] {
  return observed.limited.flatMap((span): Violation[] => {
    const { index, perSecond, from, until } = span;
    const lifetimes = new Set(
      observed.lifetimes.filter((each) => each.index === index).map(({ target }) => target),
    );
    const concernsSpan = ({ target, at }: observations.TargetExchange): boolean =>
      lifetimes.has(target) && at >= from && at <= until;
    const reports = observed.told.filter(concernsSpan);
    const firstReportAt = Math.min(...reports.map(({ at }) => at));
    const counted = observed.got
      .filter((each) => concernsSpan(each) && each.at >= firstReportAt + SETTLING_MS)
      .filter((each) => mustRespectLimit(observed, reports, each))
      .map(({ at }) => at);
    const counts = counted.map((begin) => {
      return counted.filter((at) => at >= begin && at < begin + LIMIT_WINDOW_MS).length;
    });
    const maxCount = Math.max(0, ...counts);
    const allowed = LIMIT_FACTOR * perSecond * (LIMIT_WINDOW_MS / 1_000) + LIMIT_EXTRA_MESSAGES;
    if (maxCount <= allowed) return [];
    const detail = `target ${index}: limit ${perSecond.toFixed(2)} per second, ${maxCount} messages in 4 s`;
    return [{ promise: 'overLimit', detail }];
  });
}

/** Whether an entry had received a limit and has neither stopped nor been disturbed since. */
function mustRespectLimit(
  observed: Observations,
  reports: readonly observations.TargetExchange[],
  { entry, at }: observations.TargetExchange,
): boolean {
  return reports.some((each) => {
    const isReported = each.entry === entry && each.at <= at - REPORT_DELAY_MS;
    return isReported && isUninterrupted(observed, entry, each.at, at);
  });
}

/**
 * Whether an entry still knows at `at` what it received at `since`: it neither stopped nor was disturbed in between.
 */
function isUninterrupted(
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
function hadPaths({ severed }: Observations, entry: number, at: number): boolean {
  return !severed.some(({ entries, from, until }) => {
    return entries.includes(entry) && at >= from - TRANSIT_MS && at <= until + TRANSIT_MS;
  });
}

/** Whether a target answers what it received while it was paused; its entry has given that up. */
function wasPausedBefore(
  { disturbances, lifetimes }: Observations,
  target: string,
  at: number,
): boolean {
  const index = lifetimes.find((each) => each.target === target)?.index;
  return disturbances.some((each) => {
    const isOfTarget = each.subject === 'target' && each.index === index;
    return isOfTarget && each.what === 'targetPause' && isWithinTransit(each.until, at);
  });
}

function isWithinTransit(end: number, at: number): boolean {
  return Math.abs(at - end) <= TRANSIT_MS;
}

/** Whether the caller had left before its request was rejected: its entry cancels it and reads no response. */
function hadCallerLeft(
  { asked }: Observations,
  { rejected, at }: observations.TargetExchange,
): boolean {
  return asked.some(({ request, endedAt }) => request === rejected && endedAt <= at);
}

function backOffBreaches(observed: Observations): Violation[] {
  return observed.turnedAway.flatMap((rejection): Violation[] => {
    const { target, bornAt, entry, at, backOffSeconds = 0 } = rejection;
    if (wasPausedBefore(observed, target, at) || hadCallerLeft(observed, rejection)) return [];
    const during = observed.got.filter((each) => {
      const isSamePair = each.target === target && each.bornAt === bornAt && each.entry === entry;
      const isDuringBackOff =
        each.at > at + REPORT_DELAY_MS && each.at < at + backOffSeconds * 1_000;
      const isInTouch = isUninterrupted(observed, entry, at, each.at);
      return isSamePair && isDuringBackOff && isInTouch && hadPaths(observed, entry, at);
    });
    if (during.length <= MAX_DURING_BACK_OFF) return [];
    const detail = `${target}: ${during.length} messages from entry ${entry} in a back-off of ${backOffSeconds} s from ${at}`;
    return [{ promise: 'notLeftAlone', detail }];
  });
}

/** Requests that ran on targets which had reported to the same entry that they were draining. */
function drainingTargetRuns(observed: Observations): Violation[] {
  const asked = new Map(observed.asked.map((each) => [each.request, each]));
  return observed.ran.flatMap(({ request, target, bornAt, at }): Violation[] => {
    const { entry, sentAt } = asked.get(request) ?? { entry: -1, sentAt: 0 };
    const isLate = observed.saidLeaving.some((report) => {
      const isSamePair =
        report.target === target && report.bornAt === bornAt && report.entry === entry;
      const isPastBound = report.at < sentAt - layout.BOUNDS.drainMs;
      const isHeard = hadPaths(observed, entry, report.at);
      return (
        isSamePair && isPastBound && isHeard && isUninterrupted(observed, entry, report.at, at)
      );
    });
    return isLate ? [{ promise: 'drainedTargetRan', detail: `${request} at ${target}` }] : [];
  });
}

/**
 * Compares the callers of severed entries with those of the others, where nothing else happened to their entries,
 * some entry that could relay for them was undisturbed as well, and some target could take their requests.
 */
function unservedWithoutPaths(observed: Observations): Violation[] {
  const { asked, severed } = observed;
  const allEntries = [...new Set(asked.map(({ entry }) => entry))];
  return severed.flatMap(({ entries, from, until }): Violation[] => {
    const relays = allEntries.filter((each) => !entries.includes(each));
    const sent = asked.filter((request) => {
      const { sentAt, endedAt, entry, key } = request;
      const isDuring = sentAt >= from + PATH_LOSS_MS && endedAt <= until;
      if (!isDuring || endedAt >= keyWithdrawnAt(observed, key)) return false;
      const isCalm = (each: number): boolean => isUninterrupted(observed, each, from, endedAt);
      const isNetworkCalm = !isNetworkDisturbed(observed, sentAt - SETTLING_MS, endedAt);
      const isComparable = isCalm(entry) && relays.some(isCalm) && isNetworkCalm;
      return isComparable && availability.hadAvailableTarget(observed, request);
    });
    const atSevered = sent.filter(({ entry }) => entries.includes(entry));
    const others = sent.filter(({ entry }) => !entries.includes(entry));
    const failed = atSevered.filter((each) => !isServed(each)).length;
    const { base, share } = UNSERVED_WITHOUT_PATHS;
    const isFew = failed <= base + share * sent.length;
    const expected = MIN_SHARE_WITHOUT_PATHS * expectedToBeServed(atSevered, others);
    if (isFew || atSevered.length - failed >= expected) return [];
    const elsewhere = servedShare(others).toFixed(2);
    const detail = `entries ${entries.join(', ')} from ${from}: ${failed} of ${atSevered.length} failed, share elsewhere ${elsewhere}`;
    return [{ promise: 'unservedWithoutPaths', detail }];
  });
}

/**
 * What plain targets with a rate limit get while entries have no paths are requests of callers, whatever these entries send
 * there meanwhile.
 */
function takenLimits(observed: Observations): Violation[] {
  return observed.severed.flatMap(({ from, until }): Violation[] => {
    const { messages, requests } = limitUse.during(observed, from + PATH_LOSS_MS, until);
    const { share, base } = MIN_LIMIT_USE;
    if (requests >= share * messages - base) return [];
    const detail = `from ${from}: ${requests} of ${messages} messages are requests of callers`;
    return [{ promise: 'limitsTaken', detail }];
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

/** Whether all links were harmed within a period. */
function isNetworkDisturbed({ disturbances }: Observations, from: number, until: number): boolean {
  return disturbances.some((each) => {
    return each.subject === 'network' && each.from <= until && each.until >= from;
  });
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
  return requests.length === 0 ? 0 : requests.filter(isServed).length / requests.length;
}

function exceededMemory({ memory }: Observations): Violation[] {
  const excesses = memory.filter(({ bytes }) => bytes > layout.VM_MEMORY_BYTES);
  return [...new Set(excesses.map(({ entry }) => entry))].map((entry) => {
    const all = excesses.filter((each) => each.entry === entry).map(({ bytes }) => bytes);
    const detail = `entry ${entry}: ${Math.round(Math.max(...all) / 1_024 ** 2)} MB`;
    return { promise: 'memoryExceeded', detail };
  });
}

function leftReservations({ reservationsLeft }: Observations): Violation[] {
  const detail = `${reservationsLeft} reservations left`;
  return reservationsLeft === 0 ? [] : [{ promise: 'memoryLeft', detail }];
}

function unrecoveredService({ asked, revoked, healedAt }: Observations): Violation[] {
  const revokedKeySet = new Set(revoked.map(({ key }) => key));
  const late = asked.filter(
    ({ sentAt, key }) => sentAt > healedAt + RECOVERY_MS && !revokedKeySet.has(key),
  );
  const served = late.filter(isServed).length;
  if (late.length > 0 && served >= MIN_RECOVERED_SHARE * late.length) return [];
  return [{ promise: 'notRecovered', detail: `${served} of ${late.length} served` }];
}

/** Whether a process, or the whole network, had a fault within a period. */
function isDisturbed(
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

function isUndisturbed(
  observed: Observations,
  entry: number,
  from: number,
  until: number,
): boolean {
  const isEntryCalm = !isDisturbed(observed, 'entry', entry, from - UNDISTURBED_MS, until);
  return isEntryCalm && !isDisturbed(observed, 'keeper', undefined, from - UNDISTURBED_MS, until);
}

function isTargetDisturbed(observed: Observations, target: string | undefined): boolean {
  const index = observed.lifetimes.find((each) => each.target === target)?.index;
  return observed.disturbances.some((each) => each.subject === 'target' && each.index === index);
}
