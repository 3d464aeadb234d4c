/**
 * Seeded randomness. Every choice in the domain that needs chance takes a `Random`, so that a
 * schedule or an experiment can be had again from its seed.
 */
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus';
import { uniformFloat64 } from 'pure-rand/distribution/uniformFloat64';

export interface Random {
  /** A number in [0, 1). */
  uniform(): number;
}

/** A generator whose whole sequence follows from `seed`. */
export function seeded(seed: number): Random {
  const generator = xoroshiro128plus(seed);
  return { uniform: () => uniformFloat64(generator) };
}

/** A whole number in [0, bound). */
export function below(random: Random, bound: number): number {
  return Math.floor(random.uniform() * bound);
}

/** One element of a non-empty list. */
export function pick<T>(random: Random, items: readonly T[]): T {
  return items[below(random, items.length)];
}

/** An exponentially distributed time with the given mean. */
export function exponential(random: Random, mean: number): number {
  return -Math.log(1 - random.uniform()) * mean;
}

/** The same elements in an order of chance. */
export function shuffled<T>(random: Random, items: readonly T[]): T[] {
  const shuffling = [...items];
  for (let i = shuffling.length - 1; i > 0; i--) {
    const other = below(random, i + 1);
    [shuffling[i], shuffling[other]] = [shuffling[other], shuffling[i]];
  }
  return shuffling;
}
