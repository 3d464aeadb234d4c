/** What a process does with updates that it can't use. */
import * as chai from 'chai';
import type * as protocols from '../../edges/protocols';
import * as observer from '../../observability/observer';
import * as fleetState from '../fleetState';

const { expect } = chai;

describe('the state of the fleet', () => {
  // Guards against a catalogue in the log that ends all keepers, and again each time they replay it.
  it('stays as it is at a catalogue that can’t be unpacked', () => {
    const state = new fleetState.FleetState({
      protocol: {} as protocols.ControlProtocol,
      observer: new observer.Observer('test', 'fatal', undefined),
      now: () => 0,
      onCatalogue: () => expect.fail(),
      onRecord: () => expect.fail(),
    });
    state.applyCatalogue({ version: 7, packed: new Uint8Array([1, 2, 3]) });
    expect(state.version).to.equal(undefined);
  });
});
