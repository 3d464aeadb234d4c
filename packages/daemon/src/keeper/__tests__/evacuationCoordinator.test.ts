import * as chai from 'chai';
import * as evacuationCoordinator from '../evacuationCoordinator';

const { expect } = chai;

function member(id: string, role: 'voter' | 'learner' = 'voter') {
  return { id, address: `${id}:1`, dataCentre: 'a', role };
}

const MEMBERS = [member('own'), member('r1'), member('r2'), member('learner', 'learner')];

function coordinatorAt(revision: number): evacuationCoordinator.EvacuationCoordinator {
  const state = { revision, evacuations: [] };
  return new evacuationCoordinator.EvacuationCoordinator({
    ownReplica: () => 'own',
    state: () => state,
    onInformed: () => undefined,
  });
}

describe('EvacuationCoordinator', () => {
  // Guards against a voter of the previous version that drops evacuations from its snapshots.
  it('names the members that have not announced that they know evacuations', () => {
    const coordinator = coordinatorAt(0);
    ['r1', 'r2'].forEach((replica) => coordinator.recordPoll({ replica, evacuationRevision: 0 }));
    expect(coordinator.uninformedMembers(MEMBERS)).to.deep.equal(['learner:1']);
    coordinator.recordPoll({ replica: 'learner', evacuationRevision: 0 });
    expect(coordinator.uninformedMembers(MEMBERS)).to.deep.equal([]);
    coordinator.recordPoll({ replica: 'r2', evacuationRevision: undefined });
    expect(coordinator.uninformedMembers(MEMBERS)).to.deep.equal(['r2:1']);
  });

  // Guards against orders that are refused after a change of leader because a keeper of the failed data centre is down.
  it('hands what the voters announced to the next leader', () => {
    const leader = coordinatorAt(0);
    ['r1', 'r2', 'learner'].forEach((replica) => {
      leader.recordPoll({ replica, evacuationRevision: 0 });
    });
    const next = coordinatorAt(0);
    next.replaceInformed(leader.informedReplicas(MEMBERS));
    expect(next.uninformedMembers(MEMBERS)).to.deep.equal([]);
  });

  // Guards against a spare of the previous version that becomes a voter while a data centre is evacuated.
  it('lets a replica that does not know evacuations vote only before the first one', () => {
    expect([coordinatorAt(0).mayVote('r9'), coordinatorAt(3).mayVote('r9')]).to.deep.equal([
      true,
      false,
    ]);
  });

  // Guards against a listing that counts entries of the previous version as ready.
  it('lists the entries that lack the last change', () => {
    const entry = (name: string, evacuationRevision: number | undefined) => {
      return { name, role: 'entry' as const, replica: undefined, evacuationRevision };
    };
    const followers = [entry('e1', 3), entry('e2', 2), entry('e3', undefined)];
    const keeper = { ...entry('k', 0), role: 'keeper' as const };
    const { inForce } = coordinatorAt(3).listing([...followers, keeper]);
    expect(inForce).to.deep.equal({ entries: 1, of: 3, behind: ['e2', 'e3'] });
    expect(coordinatorAt(3).missingAt(3)).to.equal(undefined);
    expect(coordinatorAt(3).missingAt(undefined)?.revision).to.equal(3);
  });
});
