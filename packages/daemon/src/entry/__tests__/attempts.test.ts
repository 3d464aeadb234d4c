/** Where a request may go after targets that refused it, failed or weren't reached. */
import * as chai from 'chai';
import * as attempts from '../attempts';

const { expect } = chai;

const SENT = { wasSent: true, wasRefused: false, wasHelperAtFault: false };
const REFUSED = { ...SENT, wasRefused: true };

function after(...endings: attempts.Ending[]): attempts.Attempts {
  const made = new attempts.Attempts(2);
  endings.forEach((ending) => {
    made.begin(ending.target);
    made.ended(ending);
  });
  return made;
}

describe('attempts of a request', () => {
  it('go to as many targets as the route allows', () => {
    const one = after({ target: 'a', ...SENT });
    expect([one.excluded, one.writers, one.hasLeft(undefined)]).to.deep.equal([
      ['a'],
      undefined,
      true,
    ]);
    expect(one.hasLeft('b')).to.equal(false);
    expect(after({ target: 'a', ...SENT }, { target: 'b', ...SENT }).hasLeft(undefined)).to.equal(
      false,
    );
  });

  it('return to those that refused, a bounded number of times', () => {
    const refused = { target: 'b', ...REFUSED };
    const bound = after({ target: 'a', ...SENT }, refused);
    expect([bound.excluded, bound.writers, bound.hasLeft(undefined)]).to.deep.equal([
      [],
      ['b'],
      true,
    ]);
    expect(after({ target: 'a', ...SENT }, refused, refused, refused).hasLeft(undefined)).to.equal(
      false,
    );
  });

  it('keep to a target that refused because of its helper', () => {
    const spared = after({ target: 'a', ...REFUSED, wasHelperAtFault: true });
    expect(spared.excluded).to.deep.equal([]);
  });

  it("don't count targets that weren't reached, up to a bound", () => {
    const missed = (target: string): attempts.Ending => ({ ...SENT, target, wasSent: false });
    const some = after(missed('a'), missed('b'), missed('c'));
    expect([some.isBound, some.hasLeft(undefined)]).to.deep.equal([false, true]);
    const many = after(...['a', 'b', 'c', 'd', 'e', 'f'].map(missed));
    expect(many.hasLeft(undefined)).to.equal(false);
  });
});
