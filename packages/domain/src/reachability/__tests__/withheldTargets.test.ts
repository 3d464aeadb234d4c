/** What a VM without paths believes of the targets that its relays withhold. */
import * as chai from 'chai';
import * as withheldTargets from '../withheldTargets';

const { expect } = chai;

const { WithheldTargets } = withheldTargets;

describe('targets that relays withhold', () => {
  /** Guards against targets that are left out for longer than they asked for, as the answer of a busy relay was late. */
  it('are left out until the stated time is over, counted from the question', () => {
    const relay = new WithheldTargets();
    relay.stated([{ target: 'a', forMs: 1_000 }], 0);
    expect([400, 1_000].map((now) => relay.waitMs('a', now))).to.deep.equal([600, 0]);
    expect(relay.waitMs('b', 400)).to.equal(0);
  });

  /** Guards against a target that stays left out after it restarted or recovered. */
  it('are used again once a statement no longer names them, but not by an older one', () => {
    const relay = new WithheldTargets();
    relay.stated([{ target: 'a' }], 300);
    relay.stated([], 0);
    expect(relay.targets(310)).to.deep.equal(['a']);
    relay.stated([], 600);
    expect(relay.targets(610)).to.deep.equal([]);
  });

  /** Guards against requests that are offered in a loop to a relay that refuses what its statements don't name. */
  it('are left out after a refusal, which a statement replaces only after a while', () => {
    const relay = new WithheldTargets();
    relay.refused('a', undefined, 0);
    relay.refused('b', 0, 0);
    relay.stated([], 10);
    expect(relay.targets(40)).to.deep.equal(['a', 'b']);
    expect(relay.targets(60)).to.deep.equal(['a']);
    relay.stated([], 400);
    expect(relay.targets(400)).to.deep.equal([]);
  });

  /** Guards against an entry that fails on what relays of earlier or later versions state. */
  it('are none if a statement is absent, and those that are readable otherwise', () => {
    const relay = new WithheldTargets();
    relay.stated(undefined, 0);
    relay.stated([null, 5, { forMs: 1 }, { target: 'a', forMs: 'long', more: 1 }], 1);
    expect(relay.targets(1)).to.deep.equal(['a']);
  });

  /** Guards against status calls that grow with the fleet where most targets ask to back off. */
  it('are named up to a bound, those that are withheld the longest', () => {
    const all = Array.from({ length: 500 }, (_, i) => ({ target: `t${i}`, forMs: i }));
    const named = withheldTargets.statementOf([...all, { target: 'draining' }]);
    expect([named.length, named[0].target, named[1].target]).to.deep.equal([
      withheldTargets.MAX_STATED,
      'draining',
      't499',
    ]);
  });

  /** Guards against a target that gets nothing although one of several relays may send to it. */
  it('are left out only while all relays that reach them withhold them', () => {
    const [first, second] = [new WithheldTargets(), new WithheldTargets()];
    const waitMs = (): number => withheldTargets.leastWaitMs([first, second], 'a', 0);
    first.stated([{ target: 'a', forMs: 900 }], 0);
    expect([waitMs(), withheldTargets.leastWaitMs([], 'a', 0)]).to.deep.equal([0, 0]);
    second.stated([{ target: 'a', forMs: 500 }], 0);
    expect(waitMs()).to.equal(500);
  });
});
