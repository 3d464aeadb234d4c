/**
 * Decides which request bodies to give up while they are still arriving, and when. The load is a
 * crowd whose bodies fill the memory and then stand still or creep, beside callers who would be done
 * in a moment. A body that is given up has certainly not run, so its caller may return.
 *
 * Bodies that move go before those that don't, and among those that move the ones that have most
 * already: giving up the most advanced would let none be complete under a steady load.
 */
import type * as pressure from './pressure';

/** Memory that one body takes, and how it moves. */
export interface IncompleteBody {
  heldBytes: number;
  /** Bytes that arrived lately, per second. */
  bytesPerSecond: number;
  /** Time since its request arrived, milliseconds. */
  ageMs: number;
  /** Time since a part of it arrived, milliseconds. */
  silentMs: number;
}

/** How long a body may take, milliseconds. */
export interface BodyTimes {
  /** Whole. */
  totalMs: number;
  /** Between two of its parts. */
  silentMs: number;
}

/** Why a body is given up. */
export type Reason = 'memory' | 'silent' | 'slow';

/** Share of the bound that all incomplete bodies may take together. */
const BODY_SHARE = 0.5;

/** Share of the bound beyond which incomplete bodies make room for what is held besides. */
const TOTAL_SHARE = 0.75;

/**
 * A body that takes no more than this is given up only when the whole bound is reached, bytes: the
 * crowd's memory is elsewhere.
 */
const SMALL_BODY_BYTES = 65_536;

/** A body slower than this doesn't move, bytes a second. */
const MOVING_BYTES_PER_SECOND = 16_384;

/** A body is taken to move for this time after its request arrived, milliseconds. */
const GRACE_MS = 250;

function isMoving({ bytesPerSecond, ageMs }: IncompleteBody): boolean {
  return ageMs < GRACE_MS || bytesPerSecond >= MOVING_BYTES_PER_SECOND;
}

/** The order in which bodies are given up: those that stand still by what they free, the others by what is lost. */
function compare(a: IncompleteBody, b: IncompleteBody): number {
  if (isMoving(a) !== isMoving(b)) return isMoving(a) ? 1 : -1;
  return isMoving(a) ? a.heldBytes - b.heldBytes : b.heldBytes - a.heldBytes;
}

/** Whether bodies take so much together that some may have to be given up. */
export function areCrowded(bodyBytes: number, { totalBytes, boundBytes }: pressure.Held): boolean {
  return bodyBytes > boundBytes * BODY_SHARE || totalBytes > boundBytes * TOTAL_SHARE;
}

/**
 * The bodies to give up for want of memory, in that order. One always remains: if all were given up
 * under a bound that is too small for one, none would ever be complete.
 */
export function bodiesToGiveUp<T extends IncompleteBody>(
  bodies: readonly T[],
  { totalBytes, boundBytes }: pressure.Held,
): T[] {
  const bodyBytes = bodies.reduce((sum, { heldBytes }) => sum + heldBytes, 0);
  let freed = 0;
  const ranked = [...bodies].sort(compare).slice(0, -1);
  return ranked.filter(({ heldBytes }) => {
    const left = { totalBytes: totalBytes - freed, boundBytes };
    const isSmall = heldBytes <= SMALL_BODY_BYTES;
    const mustGo = isSmall ? left.totalBytes > boundBytes : areCrowded(bodyBytes - freed, left);
    if (!mustGo || heldBytes === 0) return false;
    freed += heldBytes;
    return true;
  });
}

/** Whether a body has taken too long, and how; undefined if it may go on. */
export function overdue(
  { ageMs, silentMs }: IncompleteBody,
  times: BodyTimes,
): 'silent' | 'slow' | undefined {
  if (ageMs >= times.totalMs) return 'slow';
  return silentMs >= times.silentMs ? 'silent' : undefined;
}
