/** Errors of the calls between daemons. Layers above turn them into their own. */

export type Kind = 'unreachable' | 'timeout' | 'rejected' | 'failed';

export interface CallError {
  kind: Kind;
  address: string;
  method: string;
  detail: string;
}
