/** What callers, targets and the operator saw during a run, with the times of the harm that was done. Milliseconds. */

/** How a request ended for its caller. */
export type RequestOutcome =
  /** A whole answer in the protocol. */
  | { kind: 'answered'; status: number; isSigned: boolean; body: string }
  /** The answer broke off, or the connection ended without one. */
  | { kind: 'broken' }
  /** No answer, well after the caller's time was over. */
  | { kind: 'hung' };

export type RequestKind = 'safe' | 'unsafe' | 'stream';

export interface RequestRecord {
  request: string;
  kind: RequestKind;
  path: string;
  /** Entry that took it, and that entry's incarnation when it was sent. */
  entry: number;
  incarnation: number;
  key: string;
  sentAt: number;
  endedAt: number;
  ending: RequestOutcome;
}

/** A request to a route that only one version of the catalogue has. */
export interface Probe extends RequestRecord {
  version: number;
  /** Which of two documents with that version has the route. */
  label: string;
}

/** A request under which targets end. */
export interface CrashingRequest extends RequestRecord {
  body: string;
}

/** A target that ended under a request with this body. */
export interface TargetCrash {
  target: string;
  body: string;
  at: number;
}

export interface Execution {
  request: string;
  target: string;
  bornAt?: number;
  at: number;
}

/** A message that a target got from an entry, or what it said in an answer to that entry. */
export interface TargetExchange {
  target: string;
  /** Tells lifetimes with one id apart. */
  bornAt?: number;
  entry: number;
  at: number;
  /** For how long it is to be left alone, where it asked for that. */
  backOffSeconds?: number;
}

/** A span in which a target names its limit. */
export interface LimitWindow {
  /** Number of the target. */
  index: number;
  perSecond: number;
  from: number;
  /** Infinite while it lasts. */
  until: number;
}

/** A document that the operator sent. */
export interface SubmittedDocument {
  version: number;
  label: string;
  keys: string[];
  sentAt: number;
  /** Undefined while no acknowledgement came. */
  ackedAt: number | undefined;
}

/** A key that an acknowledged document no longer has. */
export interface RevokedKey {
  key: string;
  ackedAt: number;
}

export interface DrainedTarget {
  target: string;
  /** When its announcement was acknowledged. */
  at: number;
}

export type DisturbedSubject = 'entry' | 'keeper' | 'target' | 'network';

/** Harm to one process, or to the ways between all of them. */
export interface Disturbance {
  subject: DisturbedSubject;
  /** Number of the entry, keeper or target. */
  index: number;
  what: string;
  from: number;
  /** Infinite while it lasts. */
  until: number;
}

/** A planned stop of an entry. */
export interface PlannedStop {
  entry: number;
  incarnation: number;
  from: number;
  until: number;
}

/** A document as it is told from others with its version. */
export interface DocumentIdentity {
  version: number;
  label: string;
}

/** Nothing seen yet. */
export function empty() {
  return {
    asked: [] as RequestRecord[],
    probes: [] as Probe[],
    crashers: [] as CrashingRequest[],
    crashed: [] as TargetCrash[],
    ran: [] as Execution[],
    got: [] as TargetExchange[],
    told: [] as TargetExchange[],
    saidLeaving: [] as TargetExchange[],
    turnedAway: [] as TargetExchange[],
    limited: [] as LimitWindow[],
    sent: [] as SubmittedDocument[],
    revoked: [] as RevokedKey[],
    drained: [] as DrainedTarget[],
    stopped: [] as PlannedStop[],
    disturbances: [] as Disturbance[],
    /** Lifetime of each target by its number, with the time of its start. */
    lifetimes: [] as { target: string; index: number }[],
    /** Read back after all keepers had lost their power, before the operator sent anything newer. */
    restartReads: [] as { lostAt: number; document: DocumentIdentity | undefined }[],
    /** The document read back at the end; undefined where no keeper answered. */
    readBack: undefined as DocumentIdentity | undefined,
    /** Reservations that engines still held at the end. */
    reservationsLeft: 0,
    /** When everything was well again. */
    healedAt: Infinity,
  };
}

export type Observations = ReturnType<typeof empty>;
