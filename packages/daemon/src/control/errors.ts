/** Errors of the control layer: changes, stops and claims that were not executed or whose outcome is unknown. */

export type Kind =
  /** No leader answered; the command may be resent with the same id. */
  | 'noLeader'
  /** The leader refused the command before appending it to the log. */
  | 'refused'
  /** The command was sent and may have taken effect; resend it with the same id to find out. */
  | 'outcomeUnknown';

export interface ControlError {
  kind: Kind;
  detail: string;
}
