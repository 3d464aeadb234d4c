/** Seeded randomness of processes that start together. */
import * as chai from 'chai';
import * as random from '../random';

const { expect } = chai;

const SEEDS = 200;

/** How many of the first draws of neighbouring and of distant seeds fall into each tenth of [0, 1). */
function countByTenth(of: (seed: number) => number): number[] {
  const counts = new Array<number>(10).fill(0);
  for (let i = 0; i < SEEDS; i++) {
    const seed = i % 2 === 0 ? i : Math.imul(i, 2_654_435_761) >>> 1;
    counts[Math.floor(of(seed) * 10)] += 1;
  }
  return counts;
}

describe('independent randomness', () => {
  /*
   * Callers were refused for a second and more after a loss of all: the keepers started together, drew the same election
   * timeout, each voted for itself, and again for the next two elections. The first draw hardly depended on the seed.
   */
  it('differs between processes from the first draw on', () => {
    const first = countByTenth((seed) => random.independent(seed).uniform());
    expect(Math.min(...first)).to.be.greaterThan(8);
    expect(Math.max(...first)).to.be.lessThan(34);
  });

  it('differs in how much apart two neighbours draw', () => {
    const apart = countByTenth((seed) => {
      return Math.abs(random.independent(seed).uniform() - random.independent(seed + 1).uniform());
    });
    expect(apart[0]).to.be.lessThan(60);
  });
});
