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
  at: number;
}

/** A message that a target got from an entry, or an answer by which it told that entry its limit. */
export interface Exchanged {
  target: string;
  entry: number;
  at: number;
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

export interface Observations {
  asked: Asked[];
  probes: Probe[];
  crashers: Crasher[];
  crashed: Crashed[];
  ran: Ran[];
  got: Exchanged[];
  told: Exchanged[];
  limited: LimitedSpan[];
  sent: Sent[];
  revoked: Revoked[];
  drained: Drained[];
  stopped: Stopped[];
  disturbances: Disturbance[];
  /** Lifetime of each target by its number, with the time of its start. */
  lifetimes: { target: string; index: number }[];
  /** Read back after all keepers had lost their power, before the operator sent anything newer. */
  restartReads: { lostAt: number; document: Observations['readBack'] }[];
  /** The document read back at the end; undefined where no keeper answered. */
  readBack: { version: number; label: string } | undefined;
  /** Reservations that engines still held at the end. */
  reservationsLeft: number;
  /** When everything was well again. */
  healedAt: number;
}

export function empty(): Observations {
  return {
    asked: [],
    probes: [],
    crashers: [],
    crashed: [],
    ran: [],
    got: [],
    told: [],
    limited: [],
    sent: [],
    revoked: [],
    drained: [],
    stopped: [],
    disturbances: [],
    lifetimes: [],
    restartReads: [],
    readBack: undefined,
    reservationsLeft: 0,
    healedAt: Infinity,
  };
}
