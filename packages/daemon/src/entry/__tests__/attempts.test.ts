/** Where a request may go after targets that refused it, failed or weren't reached. */
import * as chai from 'chai';
import * as attempts from '../attempts';

const { expect } = chai;

const SENT = { wasSent: true, wasRefused: false, wasHelperAtFault: false };
const REFUSED = { ...SENT, wasRefused: true };

function attemptsAfter(...endings: attempts.AttemptOutcome[]): attempts.Attempts {
  const made = new attempts.Attempts(2);
  endings.forEach((ending) => {
    made.begin(ending.target);
    made.ended(ending);
  });
  return made;
}

describe('attempts of a request', () => {
  it('go to as many targets as the route allows', () => {
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

  it('return to those that refused, a bounded number of times', () => {
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

  it('keep to a target that refused because of its helper', () => {
    const spared = attemptsAfter({ target: 'a', ...REFUSED, wasHelperAtFault: true });
    expect(spared.excluded).to.deep.equal([]);
  });

  it("don't count targets that weren't reached, up to a bound", () => {
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
