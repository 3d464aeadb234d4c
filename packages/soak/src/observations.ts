/** What callers, targets and the operator saw during a run, with the times of the harm that was done. Milliseconds. */

/** How a request ended for its caller. */
export type Ending =
  /** A whole answer in the protocol. */
  | { kind: 'answered'; status: number; isSigned: boolean; body: string }
  /** The answer broke off, or the connection ended without one. */
  | { kind: 'broken' }
  /** No answer, well after the caller's time was over. */
  | { kind: 'hung' };

export type RequestKind = 'safe' | 'unsafe' | 'stream';

export interface Asked {
  request: string;
  kind: RequestKind;
  path: string;
  /** Entry that took it, and that entry's incarnation when it was sent. */
  entry: number;
  incarnation: number;
  key: string;
  sentAt: number;
  endedAt: number;
  ending: Ending;
}

/** A request to a route that only one version of the catalogue has. */
export interface Probe extends Asked {
  version: number;
  /** Which of two documents with that version has the route. */
  label: string;
}

/** A request under which targets end. */
export interface Crasher extends Asked {
  body: string;
}

/** A target that ended under a request with this body. */
export interface Crashed {
  target: string;
  body: string;
  at: number;
}

export interface Ran {
  request: string;
  target: string;
  bornAt?: number;
  at: number;
}

/** A message that a target got from an entry, or what it said in an answer to that entry. */
export interface Exchanged {
  target: string;
  /** Tells lifetimes with one id apart. */
  bornAt?: number;
  entry: number;
  at: number;
  /** For how long it is to be left alone, where it asked for that. */
  backOffSeconds?: number;
}

/** A span in which a target names its limit. */
export interface LimitedSpan {
  /** Number of the target. */
  index: number;
  perSecond: number;
  from: number;
  /** Infinite while it lasts. */
  until: number;
}

/** A document that the operator sent. */
export interface Sent {
  version: number;
  label: string;
  keys: string[];
  sentAt: number;
  /** Undefined while no acknowledgement came. */
  ackedAt: number | undefined;
}

/** A key that an acknowledged document no longer has. */
export interface Revoked {
  key: string;
  ackedAt: number;
}

export interface Drained {
  target: string;
  /** When its announcement was acknowledged. */
  at: number;
}

export type Subject = 'entry' | 'keeper' | 'target' | 'network';

/** Harm to one process, or to the ways between all of them. */
export interface Disturbance {
  subject: Subject;
  /** Number of the entry, keeper or target. */
  index: number;
  what: string;
  from: number;
  /** Infinite while it lasts. */
  until: number;
}

/** A planned stop of an entry. */
export interface Stopped {
  entry: number;
  incarnation: number;
  from: number;
  until: number;
}

/** A document as it is told from others with its version. */
export interface Document {
  version: number;
  label: string;
}

/** Nothing seen yet. */
export function empty() {
  return {
    asked: [] as Asked[],
    probes: [] as Probe[],
    crashers: [] as Crasher[],
    crashed: [] as Crashed[],
    ran: [] as Ran[],
    got: [] as Exchanged[],
    told: [] as Exchanged[],
    saidLeaving: [] as Exchanged[],
    turnedAway: [] as Exchanged[],
    limited: [] as LimitedSpan[],
    sent: [] as Sent[],
    revoked: [] as Revoked[],
    drained: [] as Drained[],
    stopped: [] as Stopped[],
    disturbances: [] as Disturbance[],
    /** Lifetime of each target by its number, with the time of its start. */
    lifetimes: [] as { target: string; index: number }[],
    /** Read back after all keepers had lost their power, before the operator sent anything newer. */
    restartReads: [] as { lostAt: number; document: Document | undefined }[],
    /** The document read back at the end; undefined where no keeper answered. */
    readBack: undefined as Document | undefined,
    /** Reservations that engines still held at the end. */
    reservationsLeft: 0,
    /** When everything was well again. */
    healedAt: Infinity,
  };
}

export type Observations = ReturnType<typeof empty>;
