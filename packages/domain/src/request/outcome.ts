/**
 * Outcomes of requests and attempts. "Not run" is reported only on proof: no byte of the request
 * reached a target, or the target itself reported that it did not run it.
 */

export type Outcome = 'completed' | 'notRun' | 'failed' | 'unknown';

/** How far an attempt got, which determines the proof. */
export type Progress = 'notSent' | 'refusedByTarget' | 'sent' | 'answering';

export type Fault =
  | 'connectFailed'
  | 'connectionLost'
  /** Nothing arrived in time, and a probe of the request or the resumption of its stream failed. */
  | 'silent'
  /** A response to another message or a frame of another request arrived, or frames are missing. */
  | 'crossed'
  /** The stream broke off and could not be resumed. */
  | 'cutShort'
  | 'refused'
  | 'deadline'
  | 'callerGone'
  /** A planned stop of the target. */
  | 'targetStopped';

export interface Attempt {
  target: string;
  progress: Progress;
  fault: Fault;
}

/** What one attempt proves about whether the call ran. */
export function proof({ progress }: Attempt): 'notRun' | 'mayHaveRun' {
  return progress === 'notSent' || progress === 'refusedByTarget' ? 'notRun' : 'mayHaveRun';
}

/** The outcome of a request none of whose attempts completed. */
export function outcomeOf(attempts: readonly Attempt[], repeatable: boolean): Outcome {
  if (attempts.every((attempt) => proof(attempt) === 'notRun')) return 'notRun';
  return repeatable ? 'failed' : 'unknown';
}
