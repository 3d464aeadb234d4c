/**
 * What travels between a follower and its upstream: the follower says where it stands and whom it has
 * heard; the upstream answers with deltas, or with a digest to compare when it is too far behind.
 */
import type * as domain from '@celerydrift/domain';
import type * as contacts from './contacts';

export interface FollowRequest {
  index: number;
  contacts: contacts.Contact[];
  /** How long to wait for something new, in milliseconds. */
  waitMs: number;
}

/** How old the upstream's word is, and how to get a fresher one. */
export interface FreshnessInfo {
  /** Milliseconds before the answer at which its view was surely the leader's. */
  ageMs: number;
  /** How long the upstream held the call before it answered. */
  heldMs: number;
  /** Peer address of the leader as the upstream knows it, or empty. */
  leader: string;
}

export type FollowResponse =
  | ({ kind: 'deltas'; index: number; deltas: domain.control.state.Delta[] } & FreshnessInfo)
  | ({ kind: 'digest'; digest: domain.control.view.Digest } & FreshnessInfo)
  /** The upstream knows no more than the follower and isn't fresh; another may be. */
  | { kind: 'stale'; index: number };

export interface PartsRequest {
  buckets: number[];
}

export interface PartsResponse {
  index: number;
  parts: domain.control.view.Part[];
}

/** Longest wait of a follow call; also the pace of freshness and contacts when nothing changes. */
export const MAX_FOLLOW_WAIT_MS = 1_000;

/** Delay that gathers several reports into one, in milliseconds. */
export const REPORT_DELAY_MS = 20;
