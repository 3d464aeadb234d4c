/** The guarantees of the fleet that are checked, and how a breach of one is reported. */
import type * as observations from './observations';

export type Guarantee =
  /** A successful response that isn't the complete response to the caller's own request. */
  | 'wrongAnswer'
  /** A request that must run at most once ran more than once. */
  | 'ranTwice'
  /** A request that ran was answered with a status that guarantees that it didn't. */
  | 'falseNotRun'
  /** A request had no outcome well after its caller's timeout. */
  | 'hung'
  /** A request with a valid route and key was rejected for one of them. */
  | 'denied'
  /** A process served an older version of the catalogue after a newer one. */
  | 'wentBack'
  /** A document wasn't in force within the bound after its acknowledgement. */
  | 'notInForce'
  /** Two documents with the same version were both in force. */
  | 'twoContents'
  /** An acknowledged document was missing from what was read back. */
  | 'lost'
  /** A request with a revoked key ran after the bound. */
  | 'revokedKeyRan'
  /** A target ran a request after the bound on draining targets. */
  | 'drainedTargetRan'
  /** A target in an evacuated data centre ran a request after the bound. */
  | 'evacuatedTargetRan'
  /** An acknowledged evacuation no longer held before its end was ordered. */
  | 'evacuationLost'
  /** A planned stop truncated the response to a request that the entry had accepted. */
  | 'cutByStop'
  /** A stream that had begun ended before its last event and its time, although its entry and targets had no fault but silence. */
  | 'streamCut'
  /** A request that had crashed three targets kept reaching further ones. */
  | 'crashedOn'
  /** A target got more messages than the limit it reported. */
  | 'overLimit'
  /** An entry kept sending to a target during the back-off that it had requested. */
  | 'notLeftAlone'
  /** Callers of entries without a path to targets were served far less often than those of the others. */
  | 'unservedWithoutPaths'
  /** While entries had no path to targets, most messages that limited targets got were no requests of callers. */
  | 'limitsTaken'
  /** The process of an entry occupied more memory than its VM has. */
  | 'memoryExceeded'
  /** Engines still held memory reservations at the end. */
  | 'memoryLeft'
  /** Too few requests succeeded after all faults had ended. */
  | 'notRecovered';

export interface Violation {
  promise: Guarantee;
  detail: string;
}

/** Finds the breaches of one guarantee in what was observed. */
export type Check = (observed: observations.Observations) => Violation[];
