/** What a replicated log drives: a deterministic machine whose state can be snapshotted. */
export interface Machine {
  /** Applies one committed command; the result answers its proposer. */
  apply(command: unknown, index: number): unknown;
  snapshot(): unknown;
  restore(state: unknown): void;
}
