/** Errors of the replicated logs. */
import type * as domain from '@celerydrift/domain';

/** After `lost` and `timeout` the command may or may not have taken effect; resending it with its id settles it. */
export type Kind =
  domain.replication.replica.RefusalReason | 'noMajorityOfDaemons' | 'lost' | 'timeout';

export interface LogError {
  kind: Kind;
  log: string;
  /** Peer address of the leader to send the command to, or empty if unknown. */
  leader: string;
}
