/** When a daemon takes itself for the leader. */
import * as chai from 'chai';
import * as controlPlane from '../controlPlane';

const { expect } = chai;

const NOW = 50_000;

describe('ControlPlane', () => {
  // Guards against orders that overtake those of a former leader: a new one counted its wait from the start of its process.
  it('leads only once the start of its term is recorded', () => {
    const options = { configuration: { staleness: 'majority', name: 'd' }, now: () => NOW };
    const plane = new controlPlane.ControlPlane(options as unknown as controlPlane.Options);
    const replica = { term: 3, hasLease: () => true };
    const internals = plane as unknown as {
      replicas: object;
      areDutiesRunning: boolean;
      runDuties: () => Promise<void>;
    };
    internals.replicas = { hosts: new Map([['settings', { replica, hasFreshState: () => true }]]) };
    internals.areDutiesRunning = true;
    expect(plane.leadership()).to.equal(undefined);
    void internals.runDuties();
    expect(plane.leadership()).to.deep.equal({ term: 3, since: NOW });
    replica.term = 5;
    expect(plane.leadership()).to.equal(undefined);
  });
});
