/** Errors of calls between daemons. Higher layers map them to their own errors. */

export type Kind = 'unreachable' | 'timeout' | 'rejected' | 'failed';

export interface CallError {
  kind: Kind;
  address: string;
  method: string;
  /** Whether the callee may have received the call. */
  mayHaveArrived: boolean;
  detail: string;
}
