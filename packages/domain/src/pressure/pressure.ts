/**
 * Decides what a process does while it holds many bytes for its callers: bodies that it read,
 * responses that it buffers, and response bytes that callers haven't taken. The load is a few
 * callers that read or send slowly while hundreds keep up; without a bound they hold all memory,
 * and every caller loses the process.
 *
 * Before the bound is reached, reading stops where it adds to what is held. If the bound is reached
 * all the same, the callers that read slowest and hold most are cut. One that reads as fast as its
 * stream is produced has nearly nothing waiting and is never cut.
 */

/** What is held for one caller, and how fast it takes it. */
export interface CallerLoad {
  heldBytes: number;
  /** Bytes of its response that it hasn't taken. */
  unsentBytes: number;
  /** Bytes that it recently took, per second. */
  takenPerSecond: number;
  /**
   * How long it has had bytes of its response to take, milliseconds; 0 while it waits for this
   * process.
   */
  behindMs: number;
}

/**
 * Shares of the bound at which reading stops and continues. The quarter above the first is for what
 * is being read at that time; the distance between both avoids a stop for each chunk.
 */
const STOP_SHARE = 0.75;
const CONTINUE_SHARE = 0.6;

/**
 * A caller that is this far behind doesn't keep up, milliseconds. A lost packet delays one by a
 * few hundred.
 */
const MIN_LAG_MS = 1_000;

/**
 * How long reading may be stopped before callers are cut below the bound too, milliseconds: those
 * that keep up would wait for the slow ones for good. Callers of streams leave after two seconds.
 */
const MAX_STOP_MS = 1_500;

/** What a process holds in all. */
export interface Held {
  totalBytes: number;
  boundBytes: number;
}

/** Whether reading stops, given whether it is stopped already. */
export function mustStopReading({ totalBytes, boundBytes }: Held, isStopped: boolean): boolean {
  return totalBytes > boundBytes * (isStopped ? CONTINUE_SHARE : STOP_SHARE);
}

/**
 * Time by which a caller is behind, milliseconds: how long it needs for the unsent bytes at its
 * rate, but no longer than it has been behind at all.
 */
export function lagMs({ unsentBytes, takenPerSecond, behindMs }: CallerLoad): number {
  if (unsentBytes === 0) return behindMs;
  const drainMs = takenPerSecond > 0 ? (unsentBytes / takenPerSecond) * 1_000 : Infinity;
  return Math.min(behindMs, drainMs);
}

/**
 * The callers to cut, worst first, for as many bytes as are held too many after reading was stopped
 * for `stoppedMs`.
 */
export function callersToCut<T extends CallerLoad>(
  callers: readonly T[],
  { totalBytes, boundBytes }: Held,
  stoppedMs: number,
): T[] {
  // Between the two shares reading stays stopped, so the lower one has to be reached to continue.
  const limit = stoppedMs > MAX_STOP_MS ? boundBytes * CONTINUE_SHARE : boundBytes;
  if (totalBytes <= limit) return [];
  const behind = callers
    .map((caller) => ({ caller, lag: lagMs(caller) }))
    .filter(({ caller, lag }) => lag >= MIN_LAG_MS && caller.heldBytes > 0)
    .sort((a, b) => b.lag * b.caller.heldBytes - a.lag * a.caller.heldBytes);
  let excess = totalBytes - limit;
  return behind
    .filter(({ caller: { heldBytes } }) => {
      const isCut = excess > 0;
      excess -= heldBytes;
      return isCut;
    })
    .map(({ caller }) => caller);
}
