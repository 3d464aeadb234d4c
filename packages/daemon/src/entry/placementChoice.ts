/** A request that needs a target, and the choice that is made for it. */
import type * as domain from '@celerydrift/domain';

type DispatchOutcome = domain.allocation.targetHealth.DispatchOutcome;
type Placement = domain.allocation.allocator.Placement;

/** A request that needs a target. Sent to the leader as it is, in `messages.PlaceRequest`. */
export interface PlacementRequest {
  id: string;
  service: string;
  tokens: number;
  answerTokens: number;
  objectiveMs: number;
  pauseMs: number;
  /** How long the caller has already waited, milliseconds. */
  waitedMs: number;
  excluded: readonly string[];
  /** The only targets that may serve the request; undefined for any. */
  writers?: readonly string[];
  /** How many targets crashed while running a request with the same fingerprint; undefined for none. */
  endings?: number;
  /** How long the request may wait for a placement, milliseconds. */
  patienceMs: number;
  organisation?: string;
  urgency?: number;
  content?: string;
  /** Time until the caller leaves, milliseconds; the leader may use all of it. */
  leavesInMs?: number;
  /** Time that the caller has left, also for a return after a refusal, milliseconds. */
  timeLeftMs?: number;
}

/** What an entry observed of a dispatch besides its outcome. */
export interface DispatchObservations {
  /** The target that caused the failure, if it isn't the selected one. */
  faulty?: string;
  /** Typical inter-token gap, milliseconds. */
  gapMs?: number;
}

/** Releases a placement and reports the outcome of its dispatch. */
export type Release = (outcome: DispatchOutcome, observed?: DispatchObservations) => void;

/**
 * Why there is no placement; `unavailable` if all targets are in back-off, draining or out of connections for this VM,
 * `evacuated` if all that would accept the request are in evacuated data centres.
 */
export type NoPlaceReason = 'full' | 'limited' | 'unavailable' | 'evacuated';

/** No target can take the request; `reason` is absent for the usual one, that all targets are full or gone. */
export interface NoPlace {
  kind: 'noPlace';
  retryAfterMs: number;
  reason?: NoPlaceReason;
}

export type Choice = { kind: 'placed'; placement: Placement; release: Release } | NoPlace;

/**
 * Interval between placement attempts for a prompt while there is no leader, milliseconds: about one engine step.
 * Refused at once, long prompts came back to the same full engines although their callers had seconds left.
 */
export const PLACEMENT_RETRY_MS = 50;

/** Until when a request waits for a placement, and until when for targets that are unavailable to this VM. */
export interface WaitDeadlines {
  until: number;
  /** When the caller leaves; infinite where that isn't known. */
  leavesAt: number;
  backOffUntil: number;
}
