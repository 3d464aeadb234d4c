/** Errors of the replicated logs. */
import type * as domain from '@celerydrift/domain';

/** `lost` and `timeout` leave open whether the command took effect; a resend with its id settles it. */
export type Kind = domain.replication.replica.Refusal | 'noMajorityOfDaemons' | 'lost' | 'timeout';

export interface LogError {
  kind: Kind;
  log: string;
  /** Peer address of the leader, if known, to turn to. */
  leader: string;
}
