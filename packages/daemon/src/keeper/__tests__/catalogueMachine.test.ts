import * as chai from 'chai';
import * as stateMachine from '../../replicas/stateMachine';
import * as catalogueMachine from '../catalogueMachine';

const { expect } = chai;

const CATALOGUE = { version: 7, packed: new Uint8Array([1]) };

const ORDER = {
  kind: 'evacuate',
  evacuation: { dataCentre: 'a', startedAt: 1, requestedBy: '10.0.0.1' },
};

function machineWith(...commands: object[]): catalogueMachine.CatalogueMachine {
  const machine = new catalogueMachine.CatalogueMachine(() => undefined);
  commands.forEach((command, i) => machine.apply(command, i + 1));
  return machine;
}

function restored(snapshot: unknown): catalogueMachine.CatalogueMachine {
  const machine = machineWith();
  machine.restore(snapshot);
  return machine;
}

describe('CatalogueMachine', () => {
  // Guards against a keeper of the previous version that can't read the snapshots of a fleet without evacuations.
  it('makes snapshots of the previous version before the first evacuation', () => {
    expect(machineWith().snapshot()).to.equal(undefined);
    expect(machineWith(CATALOGUE).snapshot()).to.deep.equal(CATALOGUE);
  });

  // Guards against stored data that this version no longer reads.
  it('reads snapshots of the previous version', () => {
    expect(restored(CATALOGUE).catalogue.newest).to.deep.equal(CATALOGUE);
    expect(restored(undefined).evacuations.revision).to.equal(0);
  });

  // Guards against evacuations that a snapshot loses, or that it puts among the catalogues that followers receive.
  it('keeps catalogue and evacuations in a snapshot', () => {
    const machine = restored(machineWith(CATALOGUE, ORDER).snapshot());
    expect(machine.catalogue.newest).to.deep.equal(CATALOGUE);
    expect(machine.evacuations.state).to.deep.equal({
      revision: 2,
      evacuations: [ORDER.evacuation],
    });
  });

  // Guards against a catalogue of version 0 that comes into force because there was none at the time of the snapshot.
  it('keeps evacuations without a catalogue', () => {
    const machine = restored(machineWith(ORDER).snapshot());
    expect(machine.catalogue.newest).to.equal(undefined);
    expect(machine.evacuations.isEvacuated('a')).to.equal(true);
  });

  // Guards against a first catalogue of version 0 that a snapshot or a repeated submission loses.
  it('keeps a catalogue of version 0, and the first one of that version', () => {
    const first = { ...CATALOGUE, version: 0 };
    const machine = machineWith(first, ORDER);
    const repeated = machine.apply({ version: 0, packed: new Uint8Array([2]) }, 3);
    expect(repeated).to.deep.equal({ version: 0, changed: false });
    expect(restored(machine.snapshot()).catalogue.newest).to.deep.equal(first);
  });

  // Guards against replicas that diverge because one of them skips a command of a newer program.
  it('refuses a command of an unknown kind', () => {
    expect(() => machineWith(CATALOGUE, { kind: 'later', version: 9 })).to.throw(
      stateMachine.UnknownCommand,
      'unknown kind "later" at index 2',
    );
  });
});
