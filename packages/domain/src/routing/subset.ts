/**
 * The targets one daemon uses. With thousands of targets each daemon keeps connections and beliefs
 * for a bounded subset, chosen by rendezvous hashing so that it moves little when targets come and
 * go, and so that each target is used by about the same number of daemons.
 */
import * as hashing from '../shared/hashing';

/** Targets per daemon and model. All of today's 20 to 25 servers fit. */
export const DEFAULT_SUBSET = 32;

export function subset(
  hash: hashing.Hash,
  daemon: string,
  targets: readonly string[],
  size: number = DEFAULT_SUBSET,
): string[] {
  if (targets.length <= size) return [...targets];
  return hashing.rendezvous(hash, `subset/${daemon}`, targets).slice(0, size);
}
