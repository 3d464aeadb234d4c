/**
 * Reserves memory on several engines for a prompt that no single engine can hold: all parts or
 * none. Every daemon reserves in the order of the engines' names, and a daemon that is refused
 * releases everything before it retries, so two daemons never wait for each other's memory.
 */
import * as target from '../target/target';

export interface MemoryPart {
  target: string;
  tokens: number;
}

/** Maximum fraction of an engine's memory that one prompt may take. */
export const HELPER_SHARE = 0.8;

/**
 * The parts to reserve besides the primary engine, in the order of reservation; undefined when the
 * engines together can't hold the prompt.
 */
export function plan(
  tokens: number,
  primary: target.Target,
  others: readonly target.Target[],
  freeTokens: (name: string) => number,
): MemoryPart[] | undefined {
  let missingTokens = tokens - Math.floor(primary.memoryTokens * HELPER_SHARE);
  const parts: MemoryPart[] = [];
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
