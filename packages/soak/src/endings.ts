/** What a caller is told by the status of its response. */
import type * as observations from './observations';

type RequestRecord = observations.RequestRecord;

/** Statuses that guarantee that a request didn't run. */
export const NOT_RUN_STATUSES = new Set([408, 421, 429, 503]);

export function isServed({ ending }: RequestRecord): boolean {
  return ending.kind === 'answered' && ending.status === 200;
}
