/**
 * Hashing of names, by xxHash. Rendezvous hashing gives every daemon the same ranking of candidates
 * for a subject without communication, and when a candidate comes or goes only the subjects ranked
 * to it move.
 */
export type Hash = (text: string) => number;

/** Loads the hash function; a daemon does so once when it starts. */
export async function load(): Promise<Hash> {
  const { default: xxhash } = await import('xxhash-wasm');
  const library = await xxhash();
  return (text) => library.h32(text);
}

/** The candidates ranked for `subject`, highest first; ties are broken by name. */
export function rendezvous(hash: Hash, subject: string, candidates: readonly string[]): string[] {
  const scored = candidates.map((name) => ({ name, score: hash(`${subject}\u0000${name}`) }));
  scored.sort((a, b) => b.score - a.score || (a.name < b.name ? -1 : 1));
  return scored.map(({ name }) => name);
}
