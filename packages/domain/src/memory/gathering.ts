/**
 * Memory of several engines for one prompt that no single engine can hold: all of it or none. Engines
 * are asked in the order of their names, by every daemon, and a daemon that is refused gives back
 * everything before it tries again. So two daemons never each hold what the other waits for.
 */
import * as target from '../target/target';

export interface Part {
  target: string;
  tokens: number;
}

/** Largest share of a helper's memory that one prompt may take. */
export const HELPER_SHARE = 0.8;

/**
 * The parts to reserve beside the primary engine, in the order of asking, or undefined when the
 * fleet can't hold the prompt at all.
 */
export function plan(
  tokens: number,
  primary: target.Target,
  others: readonly target.Target[],
  freeTokens: (name: string) => number,
): Part[] | undefined {
  let missingTokens = tokens - Math.floor(primary.memoryTokens * HELPER_SHARE);
  const parts: Part[] = [];
  const ranked = [...others].sort((a, b) => freeTokens(b.name) - freeTokens(a.name));
  ranked.forEach(({ name, memoryTokens }) => {
    if (missingTokens <= 0) return;
    const partTokens = Math.min(missingTokens, Math.floor(memoryTokens * HELPER_SHARE));
    parts.push({ target: name, tokens: partTokens });
    missingTokens -= partTokens;
  });
  if (missingTokens > 0) return undefined;
  return parts.sort((a, b) => (a.target < b.target ? -1 : 1));
}
