import * as chai from 'chai';
import * as orderSequence from '../orderSequence';

const { expect } = chai;

const END = { kind: 'endEvacuation', dataCentre: 'west' } as const;

const START = {
  kind: 'evacuate',
  evacuation: { dataCentre: 'west', startedAt: 1, requestedBy: '10.0.0.1' },
} as const;

describe('OrderSequence', () => {
  // Guards against a late order that undoes a repeated one: that changes nothing, but is acknowledged after it was sent.
  it('drops an order that is older than a repetition of the opposite one', () => {
    const sequence = new orderSequence.OrderSequence();
    expect(sequence.take(START, sequence.position(3), 3)).to.equal(true);
    const late = sequence.position(3);
    expect(sequence.take(START, sequence.position(3), 3)).to.equal(true);
    expect(sequence.take(END, late, 3)).to.equal(false);
    expect(sequence.take(END, sequence.position(3), 3)).to.equal(true);
  });

  // Guards against an order from before a change of leader that undoes one that the new leader took.
  it('drops an order of another term', () => {
    const sequence = new orderSequence.OrderSequence();
    const late = sequence.position(3);
    expect(sequence.take(START, sequence.position(4), 4)).to.equal(true);
    expect(sequence.take(END, late, 4)).to.equal(false);
  });

  // Guards against orders that hold each other up although they concern different data centres or are alike.
  it('takes orders at once about other data centres and of the same kind', () => {
    const sequence = new orderSequence.OrderSequence();
    const position = sequence.position(3);
    expect(sequence.take(START, position, 3)).to.equal(true);
    expect(sequence.take(START, position, 3)).to.equal(true);
    expect(sequence.take({ ...END, dataCentre: 'east' }, position, 3)).to.equal(true);
  });

  // Guards against keepers of an earlier version, which send no position, whose orders are refused for good.
  it('takes an order without a position', () => {
    const sequence = new orderSequence.OrderSequence();
    sequence.take(START, undefined, 3);
    expect(sequence.take(END, undefined, 3)).to.equal(true);
  });
});
