/**
 * The guarantee that no target ran a request and none will, which a 503 gives to its caller. It follows from what each
 * attempt itself recorded, and nothing else can make one, so no path to a refusal can forget that the request was sent.
 */
import type * as targetAttempt from './targetAttempt';

export class NotRunGuarantee {
  /** `refusals` are the statements of targets that it rests on; empty if the request was sent to none. */
  private constructor(readonly refusals: readonly targetAttempt.Refusal[]) {}

  /**
   * Cancels the attempts that aren't over, so that none is sent later. Undefined if a target may have run the request.
   */
  static of(attempts: readonly targetAttempt.Attempt[]): NotRunGuarantee | undefined {
    attempts.forEach((attempt) => attempt.cancel());
    if (attempts.some(({ mayHaveRun }) => mayHaveRun)) return undefined;
    return new NotRunGuarantee(attempts.flatMap(({ refusal }) => refusal ?? []));
  }
}
