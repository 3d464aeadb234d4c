/** What engines report of their load, in frames and in refusals. */

/** Load report of an engine, measured `ageMs` before it was sent. */
export interface AgedLoad {
  queuedTokens: number;
  streams: number;
  freeTokens: number;
  ageMs: number;
}
