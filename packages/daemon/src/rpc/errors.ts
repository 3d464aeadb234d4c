/** Errors of calls between daemons. Higher layers map them to their own errors. */

export type Kind = 'unreachable' | 'timeout' | 'rejected' | 'failed';

export interface CallError {
  kind: Kind;
  address: string;
  method: string;
  detail: string;
}
