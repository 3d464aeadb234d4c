/** Whose reports of failed dispatches count against the targets. */
import * as chai from 'chai';
import * as reporterStanding from '../reporterStanding';

const { expect } = chai;

describe('standing of reporters', () => {
  let standing: reporterStanding.ReporterStanding;

  beforeEach(() => {
    standing = new reporterStanding.ReporterStanding();
  });

  /** Reports a failure at each of `count` targets; returns which of them counted. */
  const fail = (reporter: string, count: number, now: number): boolean[] => {
    return Array.from({ length: count }, (_, i) =>
      standing.record(reporter, `t${i}`, 'unreachable', now + i),
    );
  };

  /** Guards against sound targets that are ejected for all VMs by one that reaches none. */
  it('is doubted if several targets fail for one reporter only', () => {
    standing.record('b', 't9', 'done', 100);
    expect(fail('a', 5, 90)).to.deep.equal([true, true, false, false, false]);
  });

  /** Guards against a majority without paths that is believed because it is a majority. */
  it('is doubted for most reporters if one of the others succeeds', () => {
    standing.record('e', 't9', 'done', 100);
    ['a', 'b', 'c', 'd'].forEach((each) => fail(each, 4, 95));
    const doubted = ['a', 'b', 'c', 'd', 'e'].filter((each) => standing.isDoubted(each, 110));
    expect(doubted).to.deep.equal(['a', 'b', 'c', 'd']);
  });

  /** Guards against targets that are down and stay in use because nobody's reports count. */
  it('is not doubted while no other reporter succeeds', () => {
    standing.record('b', 't9', 'done', 10);
    expect(fail('a', 4, 100)).to.deep.equal([true, true, true, true]);
  });

  /** Guards against a reporter whose failures never count again after its paths are back. */
  it('is restored by a success, and by time', () => {
    standing.record('b', 't9', 'done', 110);
    fail('a', 4, 100);
    expect(standing.isDoubted('a', 120)).to.equal(true);
    expect(standing.isDoubted('a', 5_000)).to.equal(false);
    standing.record('a', 't5', 'done', 130);
    expect(standing.isDoubted('a', 140)).to.equal(false);
  });

  /** Guards against the first failures of a VM that already knows that it reaches nothing. */
  it('is doubted as long as the reporter states that it reaches no target', () => {
    standing.setIsolated('a', true);
    expect(fail('a', 1, 10)).to.deep.equal([false]);
    standing.setIsolated('a', false);
    expect(fail('a', 1, 20)).to.deep.equal([true]);
  });

  /** Guards against answers of a target itself that are doubted because of the reporter's paths. */
  it('does not matter for what only an answer of the target can show', () => {
    standing.setIsolated('a', true);
    expect(standing.record('a', 't0', 'full', 10)).to.equal(true);
    expect(standing.record('a', 't0', 'replaced', 10)).to.equal(true);
  });
});
