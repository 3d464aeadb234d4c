/**
 * Hashing of names, by xxHash. Rendezvous hashing gives every daemon the same ranking of candidates
 * for a subject without any exchange, and moves only the share of a candidate that comes or goes.
 */
export type Hash = (text: string) => number;

/** Loads the hash; a daemon does it once at its start. */
export async function load(): Promise<Hash> {
  const { default: xxhash } = await import('xxhash-wasm');
  const library = await xxhash();
  return (text) => library.h32(text);
}

/** The candidates ranked for `subject`, highest first; ties fall to the name. */
export function rendezvous(hash: Hash, subject: string, candidates: readonly string[]): string[] {
  const scored = candidates.map((name) => ({ name, score: hash(`${subject}\u0000${name}`) }));
  scored.sort((a, b) => b.score - a.score || (a.name < b.name ? -1 : 1));
  return scored.map(({ name }) => name);
}
