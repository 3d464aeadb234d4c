/** All attempts to deliver one request, and whether any target may have run it. */
import * as notRunGuarantee from './notRunGuarantee';
import type * as targetAttempt from './targetAttempt';
import type * as targetClient from './targetClient';
import type * as targetMessage from './targetMessage';

export class Deliveries {
  private readonly attempts: targetAttempt.Attempt[] = [];

  private isRunPresumed = false;

  constructor(private readonly targets: Pick<targetClient.TargetClient, 'send'>) {}

  send(
    message: targetMessage.TargetMessage,
    handler: targetMessage.ResponseHandler,
  ): targetAttempt.Attempt {
    try {
      const attempt = this.targets.send(message, handler);
      this.attempts.push(attempt);
      return attempt;
    } catch (error) {
      // How far a send got that failed unexpectedly isn't known.
      this.isRunPresumed = true;
      throw error;
    }
  }

  /** Takes the request for run although no attempt shows it, as a copy of it under another id ran. */
  presumeRun(): void {
    this.isRunPresumed = true;
  }

  get mayHaveRun(): boolean {
    return this.isRunPresumed || this.attempts.some(({ mayHaveRun }) => mayHaveRun);
  }

  /** When bytes of the last target's response last arrived, on the steady clock, milliseconds; 0 for never. */
  get lastHeardAt(): number {
    return this.attempts.findLast(({ isWithheld }) => !isWithheld)?.lastHeardAt ?? 0;
  }

  /** Cancels what isn't over; undefined if a target may have run the request. */
  end(): notRunGuarantee.NotRunGuarantee | undefined {
    const guarantee = notRunGuarantee.NotRunGuarantee.of(this.attempts);
    return this.isRunPresumed ? undefined : guarantee;
  }
}
