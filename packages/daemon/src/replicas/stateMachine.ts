/** A deterministic state machine, driven by a replicated log, whose state can be snapshotted. */
export interface StateMachine {
  /** Applies one committed command; the result is returned to its proposer. */
  apply(command: unknown, index: number): unknown;
  snapshot(): unknown;
  restore(state: unknown): void;
}
