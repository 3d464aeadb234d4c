/** Errors of the control layer: changes, stops and claims that could not be carried out. */

export type Kind =
  /** No leader answered; the change may be sent again with the same id. */
  | 'noLeader'
  /** The leader refused before anything was logged. */
  | 'refused'
  /** It was sent, and nobody knows yet whether it took effect; send it again with the same id. */
  | 'outcomeUnknown';

export interface ControlError {
  kind: Kind;
  detail: string;
}
