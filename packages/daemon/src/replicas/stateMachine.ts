/** A deterministic state machine, driven by a replicated log, whose state can be snapshotted. */
export interface StateMachine {
  /**
   * Applies one committed command; the result is returned to its proposer. Throws `UnknownCommand` for a command that
   * this program doesn't know.
   */
  apply(command: unknown, index: number): unknown;
  snapshot(): unknown;
  restore(state: unknown): void;
}

/**
 * A committed command was written by a newer program. A replica that skipped it would have another state than the
 * others and would store that in its snapshots, so it must stop.
 */
export class UnknownCommand extends Error {
  constructor(kind: unknown, index: number) {
    super(`command of unknown kind ${JSON.stringify(kind)} at index ${index}: run a newer program`);
    this.name = 'UnknownCommand';
  }
}
