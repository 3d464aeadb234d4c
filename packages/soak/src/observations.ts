/**
 * What callers, targets and the operator observe during a run, and when which fault was active. All times are in
 * milliseconds. The fields are written to `seen.json` under their own names.
 */
import type * as lateCopies from './lateCopies';

/** Outcome of a request for its caller. */
export type RequestOutcome =
  /** A complete HTTP response; `isSigned` if it carries the signature header of the target that produced it. */
  | { kind: 'answered'; status: number; isSigned: boolean; body: string }
  /** The response was truncated, or the connection closed without one; `hasBegun` if it was a successful one. */
  | { kind: 'broken'; hasBegun?: boolean }
  /** No response well after the caller's timeout. */
  | { kind: 'hung' };

export type RequestKind = 'safe' | 'unsafe' | 'stream';

export interface RequestRecord {
  request: string;
  kind: RequestKind;
  path: string;
  /** Index of the entry it was sent to, and that entry's incarnation at that time. */
  entry: number;
  incarnation: number;
  key: string;
  sentAt: number;
  endedAt: number;
  ending: RequestOutcome;
}

/** A request to a route that exists in only one document of the catalogue. */
export interface Probe extends RequestRecord {
  version: number;
  /** Tells apart documents that were submitted concurrently with the same version. */
  label: string;
}

/** A request that crashes the target that runs it, by its body or a part of its prompt. */
export interface CrashingRequest extends RequestRecord {
  cause: string;
}

/** The crash of a target because of this body, or this part of a prompt. */
export interface TargetCrash {
  target: string;
  cause: string;
  at: number;
}

export interface Execution {
  request: string;
  target: string;
  bornAt?: number;
  at: number;
}

/** A message that a target received from an entry, or a report in the target's response to that entry. */
export interface TargetExchange {
  target: string;
  /** Start time of the target process; distinguishes lifetimes with the same id. */
  bornAt?: number;
  entry: number;
  at: number;
  /** The back-off period that the target requested, if any, and the request that it rejected with it. */
  backOffSeconds?: number;
  rejected?: string;
}

/** A second copy of an answer, sent late. */
export interface SentCopy {
  form: lateCopies.Form;
  at: number;
  /** The request whose answer was due where the copy was sent. */
  request: string | undefined;
}

/** A period in which a target reports a rate limit. */
export interface LimitWindow {
  /** Index of the target. */
  index: number;
  perSecond: number;
  from: number;
  /** Infinity while the period lasts. */
  until: number;
}

/** A catalogue document that the operator submitted. */
export interface SubmittedDocument {
  version: number;
  label: string;
  keys: string[];
  sentAt: number;
  /** Undefined until a keeper acknowledges it. */
  ackedAt: number | undefined;
}

/** An API key that an acknowledged document no longer contains. */
export interface RevokedKey {
  key: string;
  ackedAt: number;
}

export interface DrainedTarget {
  target: string;
  /** When a keeper acknowledged the announcement that the target is draining. */
  at: number;
}

/** A period in which a data centre is evacuated. */
export interface EvacuationWindow {
  dataCentre: string;
  /** When a keeper acknowledged the evacuation. */
  ackedAt: number;
  /** When the operator first ordered its end. */
  endedAt: number;
  /** Whether the keepers listed it just before that; undefined if none answered. */
  isListed: boolean | undefined;
}

/** A period in which entries have no path to any target. */
export interface SeveredWindow {
  /** Indexes of the entries. */
  entries: number[];
  from: number;
  /** Infinity while the period lasts. */
  until: number;
}

export type DisturbedSubject = 'entry' | 'keeper' | 'target' | 'network';

/** A fault of one process, or of the network between all processes. */
export interface Disturbance {
  subject: DisturbedSubject;
  /** Index of the entry, keeper or target. */
  index: number;
  what: string;
  from: number;
  /** Infinity while the fault lasts. */
  until: number;
}

/** A planned stop of an entry. */
export interface PlannedStop {
  entry: number;
  incarnation: number;
  from: number;
  until: number;
}

/** Identifies a catalogue document; the label tells apart documents with the same version. */
export interface DocumentIdentity {
  version: number;
  label: string;
}

/** Observations at the start of a run. */
export function empty() {
  return {
    /** Requests of ordinary callers. */
    asked: [] as RequestRecord[],
    probes: [] as Probe[],
    /** Requests of callers whose requests crash targets. */
    crashers: [] as CrashingRequest[],
    crashed: [] as TargetCrash[],
    /** Requests that targets ran. */
    ran: [] as Execution[],
    /** Messages that targets received. */
    got: [] as TargetExchange[],
    /** Responses in which a target reported its rate limit. */
    told: [] as TargetExchange[],
    /** Responses in which a target reported that it is draining. */
    saidLeaving: [] as TargetExchange[],
    /** Responses in which a target rejected a request and requested back-off. */
    turnedAway: [] as TargetExchange[],
    /** Requests that targets refused as not run. */
    refused: [] as Omit<Execution, 'bornAt'>[],
    copied: [] as SentCopy[],
    limited: [] as LimitWindow[],
    /** Documents that the operator submitted. */
    sent: [] as SubmittedDocument[],
    revoked: [] as RevokedKey[],
    drained: [] as DrainedTarget[],
    evacuated: [] as EvacuationWindow[],
    severed: [] as SeveredWindow[],
    /** Periods in which sound targets, by index, were silent, which is no fault. */
    silenced: [] as { targets: number[]; from: number; until: number }[],
    /** Memory that the processes of entries occupied. */
    memory: [] as { entry: number; bytes: number; at: number }[],
    stopped: [] as PlannedStop[],
    disturbances: [] as Disturbance[],
    /** Ids that each target, by index, has run under. */
    lifetimes: [] as { target: string; index: number }[],
    /** Documents read back after a power loss of all keepers, before the operator submitted newer ones. */
    restartReads: [] as { lostAt: number; document: DocumentIdentity | undefined }[],
    /** Newest document read back at the end; undefined if no keeper answered. */
    readBack: undefined as DocumentIdentity | undefined,
    /** Memory reservations that engines still held at the end. */
    reservationsLeft: 0,
    /** When all faults had ended. */
    healedAt: Infinity,
  };
}

export type Observations = ReturnType<typeof empty>;
