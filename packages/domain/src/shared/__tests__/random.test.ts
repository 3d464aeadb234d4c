/** Seeded randomness for processes that start together. */
import * as chai from 'chai';
import * as random from '../random';

const { expect } = chai;

const SEEDS = 200;

/** Counts how many draws for neighbouring and distant seeds fall into each tenth of [0, 1). */
function countByTenth(draw: (seed: number) => number): number[] {
  const counts = new Array<number>(10).fill(0);
  for (let i = 0; i < SEEDS; i++) {
    const seed = i % 2 === 0 ? i : Math.imul(i, 2_654_435_761) >>> 1;
    counts[Math.floor(draw(seed) * 10)] += 1;
  }
  return counts;
}

describe('independent randomness', () => {
  /*
   * Guards against requests that are refused for more than a second after a restart of all: keepers
   * that started together drew the same election timeout and split the vote in three elections, as
   * the first draw hardly depended on the seed.
   */
  it('differs between processes from the first draw on', () => {
    const first = countByTenth((seed) => random.independent(seed).uniform());
    expect(Math.min(...first)).to.be.greaterThan(8);
    expect(Math.max(...first)).to.be.lessThan(34);
  });

  it('differs in the distance between the draws of neighbouring seeds', () => {
    const distances = countByTenth((seed) => {
      return Math.abs(random.independent(seed).uniform() - random.independent(seed + 1).uniform());
    });
    expect(distances[0]).to.be.lessThan(60);
  });
});
