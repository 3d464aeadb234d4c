/** Errors of calls to targets, with what they prove about whether the call ran. */
import type * as domain from '@celerydrift/domain';
import type * as agedLoad from './agedLoad';

export interface TargetError {
  /** How far the call certainly got. */
  progress: domain.request.outcome.Progress;
  fault: domain.request.outcome.Fault;
  detail: string;
  /** Delay that the target asked for before a retry; 0 if none. */
  retryAfterMs: number;
  /** Load of the engine when it refused for lack of memory; otherwise undefined. */
  noRoom?: agedLoad.AgedLoad;
}
