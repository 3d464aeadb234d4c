import * as chai from 'chai';
import * as evacuations from '../evacuations';

const { expect } = chai;

function order(dataCentre: string): evacuations.EvacuationCommand {
  return { kind: 'evacuate', evacuation: { dataCentre, startedAt: 1, requestedBy: '10.0.0.1' } };
}

describe('Evacuations', () => {
  // Guards against an order that is sent again, as its acknowledgement was lost, counting as a change.
  it('applies each order once', () => {
    const state = new evacuations.Evacuations();
    expect([state.apply(order('a'), 3), state.apply(order('a'), 4)]).to.deep.equal([true, false]);
    expect(state.apply({ kind: 'endEvacuation', dataCentre: 'b' }, 5)).to.equal(false);
    expect(state.state).toMatchSnapshot();
  });

  // Guards against a delayed message that brings back an evacuation that has ended.
  it('never goes back to an older copy', () => {
    const state = new evacuations.Evacuations();
    state.apply(order('a'), 3);
    const older = state.state;
    state.apply({ kind: 'endEvacuation', dataCentre: 'a' }, 4);
    expect(state.replace(older)).to.equal(false);
    expect(state.isEvacuated('a')).to.equal(false);
  });
});
