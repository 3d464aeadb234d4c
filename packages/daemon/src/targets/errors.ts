/** Errors of calls to targets, including how far the call certainly got. */
import type * as domain from '@celerydrift/domain';
import type * as adapter from './adapter';

export interface TargetError {
  progress: domain.request.outcome.Progress;
  fault: domain.request.outcome.Fault;
  detail: string;
  /** Delay that the target asked for before a retry; 0 if none. */
  retryAfterMs: number;
  /** Load of the engine when it refused for lack of memory; otherwise undefined. */
  noRoom?: adapter.AgedLoad;
}
