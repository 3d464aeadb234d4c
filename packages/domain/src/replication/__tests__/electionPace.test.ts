/** How long election timeouts become on slow VMs. */
import * as chai from 'chai';
import * as electionPace from '../electionPace';

const { expect } = chai;

const ELECTION_MIN_MS = 450;
const VOTERS = ['a', 'b', 'c'];

/** The factor of a replica after what its peers took to answer, and after some quick answers. */
function factorAfter(roundTripMs: number, quickAnswers: number): number {
  const pace = new electionPace.ElectionPace(ELECTION_MIN_MS);
  ['b', 'c'].forEach((id) => pace.observe(id, roundTripMs));
  for (let i = 0; i < quickAnswers; i++) ['b', 'c'].forEach((id) => pace.observe(id, 2));
  return pace.factor('a', () => VOTERS);
}

describe('election pace', () => {
  it('grows with the round trip of a quorum, up to a bound', () => {
    const factors = [2, 225, 450, 1e9, -5, NaN].map((ms) => factorAfter(ms, 0));
    expect(factors).to.deep.equal([1, 1, 2, 8, 1, 1]);
  });

  // Guards against a lost leader that is noticed late, as an answer that a cut had held counts for long.
  it('returns as soon after a message that was held for a minute as after a slow one', () => {
    expect(factorAfter(60_000, 20)).to.equal(factorAfter(1_800, 20));
    expect(factorAfter(60_000, 20)).to.equal(1);
  });

  // Guards against a follower that waits for ever on the word of a faulty leader.
  it('takes no impossible time from a leader', () => {
    const factors = [NaN, -1, Infinity].map((ms) => {
      const pace = new electionPace.ElectionPace(ELECTION_MIN_MS);
      pace.follow(ms);
      return pace.factor('a', () => VOTERS);
    });
    expect(factors).to.deep.equal([1, 1, 8]);
  });
});
