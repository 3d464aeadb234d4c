/**
 * Messages between a follower and its upstream. The follower reports the index of its view and its recent
 * contacts; the upstream answers with deltas, or with a digest to compare if the follower is too far behind.
 */
import type * as domain from '@celerydrift/domain';
import type * as contacts from './contacts';

export interface FollowRequest {
  index: number;
  contacts: contacts.Contact[];
  /** How long the upstream may hold the call until its view changes, in milliseconds. */
  waitMs: number;
}

/** Age of the upstream's view, and the leader from which a fresher one is available. */
export interface FreshnessInfo {
  /** Milliseconds before the answer at which the upstream's view was last known to match the leader's. */
  ageMs: number;
  /** How long the upstream held the call before it answered. */
  heldMs: number;
  /** Peer address of the leader as the upstream knows it, or empty. */
  leader: string;
}

export type FollowResponse =
  | ({ kind: 'deltas'; index: number; deltas: domain.control.state.Delta[] } & FreshnessInfo)
  | ({ kind: 'digest'; digest: domain.control.view.Digest } & FreshnessInfo)
  /** The upstream's view is older than the follower's; another upstream may be newer. */
  | { kind: 'stale'; index: number };

export interface PartsRequest {
  buckets: number[];
}

export interface PartsResponse {
  index: number;
  parts: domain.control.view.ViewItem[];
}

/** Longest wait of a follow call in milliseconds; also how often freshness and contacts update when idle. */
export const MAX_FOLLOW_WAIT_MS = 1_000;

/** Delay within which several contact reports are combined into one, in milliseconds. */
export const REPORT_DELAY_MS = 20;
