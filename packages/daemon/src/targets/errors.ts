/** Errors of calls to targets, with what they prove about whether the call ran. */
import type * as domain from '@celerydrift/domain';
import type * as adapter from './adapter';

export interface TargetError {
  progress: domain.request.outcome.Progress;
  fault: domain.request.outcome.Fault;
  detail: string;
  /** What the target asked to wait, in milliseconds; 0 if it said nothing. */
  retryAfterMs: number;
  /** Set when an engine refused for lack of memory: its load at that moment. */
  noRoom?: adapter.AgedLoad;
}
