/** Where a request may go after targets that refused it, failed or were unreachable. */
import * as chai from 'chai';
import * as attempts from '../attempts';

const { expect } = chai;

const SENT = { wasSent: true, wasRefused: false, wasHelperAtFault: false };
const REFUSED = { ...SENT, wasRefused: true };

function attemptsAfter(...outcomes: attempts.AttemptOutcome[]): attempts.Attempts {
  const tracked = new attempts.Attempts(2);
  outcomes.forEach((outcome) => {
    tracked.begin(outcome.target);
    tracked.ended(outcome);
  });
  return tracked;
}

describe('attempts of a request', () => {
  it('reach as many targets as the route allows', () => {
    const one = attemptsAfter({ target: 'a', ...SENT });
    expect([one.excluded, one.writers, one.hasAttemptLeft(undefined)]).to.deep.equal([
      ['a'],
      undefined,
      true,
    ]);
    expect(one.hasAttemptLeft('b')).to.equal(false);
    expect(
      attemptsAfter({ target: 'a', ...SENT }, { target: 'b', ...SENT }).hasAttemptLeft(undefined),
    ).to.equal(false);
  });

  it('return to targets that refused, a limited number of times', () => {
    const refused = { target: 'b', ...REFUSED };
    const bound = attemptsAfter({ target: 'a', ...SENT }, refused);
    expect([bound.excluded, bound.writers, bound.hasAttemptLeft(undefined)]).to.deep.equal([
      [],
      ['b'],
      true,
    ]);
    expect(
      attemptsAfter({ target: 'a', ...SENT }, refused, refused, refused).hasAttemptLeft(undefined),
    ).to.equal(false);
  });

  // Guards against a stream that is cut with its time left as each target that its route allows has broken off once.
  it('return to all targets of a stream that has begun, and to no others', () => {
    const begun = attemptsAfter({ target: 'a', ...SENT }, { target: 'b', ...SENT });
    begun.startOver(() => false);
    expect([begun.excluded, begun.writers, begun.hasAttemptLeft(undefined)]).to.deep.equal([
      [],
      ['a', 'b'],
      true,
    ]);
  });

  // Guards against a stream that is cut, or waits until its time is over, as targets that it was sent to have crashed.
  it('reach others in place of targets that are gone', () => {
    const begun = attemptsAfter({ target: 'a', ...SENT }, { target: 'b', ...SENT });
    begun.startOver(({ id }) => id === 'a');
    expect([begun.excluded, begun.writers, begun.hasAttemptLeft(undefined)]).to.deep.equal([
      ['b'],
      undefined,
      true,
    ]);
  });

  // Guards against a stream that no target can go on with, and that spends the retries of all other requests.
  it('return ever more rarely while returns fail, but not while targets refuse', () => {
    const begun = attemptsAfter({ target: 'a', ...SENT }, { target: 'b', ...SENT });
    const pauses = [SENT, REFUSED, SENT, SENT, SENT, SENT, SENT].map((outcome) => {
      begun.startOver(() => false);
      begun.begin('a');
      begun.ended({ target: 'a', ...outcome });
      return begun.returnPauseMs;
    });
    expect(pauses).to.deep.equal([200, 200, 400, 800, 1_600, 1_600, 1_600]);
  });

  it('may stay at a target that refused because of its prefill helper', () => {
    const spared = attemptsAfter({ target: 'a', ...REFUSED, wasHelperAtFault: true });
    expect(spared.excluded).to.deep.equal([]);
  });

  it("don't count unreachable targets, up to a limit", () => {
    const unreachable = (target: string): attempts.AttemptOutcome => ({
      ...SENT,
      target,
      wasSent: false,
    });
    const some = attemptsAfter(unreachable('a'), unreachable('b'), unreachable('c'));
    expect([some.isAtTargetLimit, some.hasAttemptLeft(undefined)]).to.deep.equal([false, true]);
    const many = attemptsAfter(...['a', 'b', 'c', 'd', 'e', 'f'].map(unreachable));
    expect(many.hasAttemptLeft(undefined)).to.equal(false);
  });
});
