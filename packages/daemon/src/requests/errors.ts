/** Errors of requests that did not complete, as they are returned to the caller. */
import type * as domain from '@celerydrift/domain';

export type ErrorKind =
  | 'unauthorized'
  | 'notFound'
  | 'badRequest'
  | 'tooLarge'
  | 'overLimit'
  | 'notReady'
  | 'overloaded'
  | 'deadlineInfeasible'
  | 'noTarget'
  | 'tooLong'
  | 'deadline'
  | 'failed'
  | 'outcomeUnknown'
  | 'keyMismatch'
  | 'keyExpired'
  | 'callerGone';

export interface RequestError {
  kind: ErrorKind;
  outcome: domain.request.outcome.Outcome;
  message: string;
  /** Suggested delay before a retry; 0 if there is no suggestion. */
  retryAfterMs: number;
}

/** HTTP status by kind of error. */
export const STATUS_BY_KIND: Record<ErrorKind, number> = {
  unauthorized: 401,
  notFound: 404,
  badRequest: 400,
  tooLarge: 413,
  overLimit: 429,
  notReady: 503,
  overloaded: 503,
  deadlineInfeasible: 503,
  noTarget: 503,
  tooLong: 400,
  deadline: 504,
  failed: 502,
  outcomeUnknown: 502,
  keyMismatch: 422,
  keyExpired: 410,
  callerGone: 499,
};

/** The error of a request that was refused before anything reached a target. */
export function notRun(kind: ErrorKind, message: string, retryAfterMs = 0): RequestError {
  return { kind, outcome: 'notRun', message, retryAfterMs };
}

/** The error of a request of which nobody knows how far it got. */
export function unknown(message: string): RequestError {
  return { kind: 'outcomeUnknown', outcome: 'unknown', message, retryAfterMs: 0 };
}
