/** The next step of the repair, for members that are gone, silent or succeeded at their address. */
import * as chai from 'chai';
import type * as messages from '../messages';
import * as repair from '../repair';

const { expect } = chai;

function memberAt(id: string, address: string): messages.Member {
  return { id, address, dataCentre: 'east', role: 'voter' };
}

const MEMBERS = ['a', 'b', 'c', 'd', 'e'].map((id) => memberAt(id, `vm-${id}`));

/** What a leader `a` knows, with the silence of the other members in milliseconds. */
function situation(
  silence: Record<string, number>,
  spares: readonly repair.Spare[],
  members: readonly messages.Member[] = MEMBERS,
): repair.Situation {
  const health = members
    .filter(({ id }) => id !== 'a')
    .map(({ id }) => ({ id, silentFor: silence[id] ?? 100, caughtUp: true }));
  return { members, health, spares, size: 5, deadAfterMs: 2_000 };
}

function spareAt(address: string, silentFor?: number): repair.Spare {
  return { id: `new at ${address}`, address, dataCentre: 'east', silentFor };
}

describe('repair of a replica set', () => {
  // Guards against waiting out the timeout for a replica that can't return, while leaders change.
  it('replaces a voter as soon as another replica is heard at its address', () => {
    const spares = [spareAt('vm-c', 50)];
    const removal = repair.nextStep(situation({ c: 500 }, spares));
    expect(removal).to.include({ reason: 'removeDead', subject: 'c' });
    const addition = repair.nextStep(situation({}, spares, removal?.members));
    expect(addition).to.include({ reason: 'addLearner', subject: 'new at vm-c' });
  });

  // Guards against the loss of one VM that costs two votes: its disk is lost again while both its replicas are voters.
  it('never has two voters at one address', () => {
    const members = [...MEMBERS, memberAt('l', 'vm-c')];
    const learning = members.map((each): messages.Member => {
      return each.id === 'l' ? { ...each, role: 'learner' } : each;
    });
    const step = repair.nextStep(situation({ c: 500 }, [], learning));
    expect(step).to.include({ reason: 'removeDead', subject: 'c' });
  });

  // Guards against a set that shrinks to fewer voters than a majority of its size, all of which could be lost at once.
  it('keeps a majority of the size as voters', () => {
    const spares = ['c', 'd', 'e'].map((id) => spareAt(`vm-${id}`, 50));
    let { members } = situation({}, []);
    const reasons = [];
    for (let i = 0; i < 3; i++) {
      const step = repair.nextStep(situation({ c: 500, d: 500, e: 500 }, spares, members));
      reasons.push(step?.reason);
      members = step?.members ?? members;
    }
    expect(reasons).to.deep.equal(['removeDead', 'removeDead', 'addLearner']);
  });

  // Guards against replacing a replica whose disk is back.
  it('keeps a voter that was heard after the other replica at its address', () => {
    expect(repair.nextStep(situation({ c: 100 }, [spareAt('vm-c', 700)]))).to.equal(undefined);
  });

  // Guards against the word of a registry that doesn't know when the replica was heard.
  it('keeps a voter while nothing was heard from its address itself', () => {
    expect(repair.nextStep(situation({ c: 500 }, [spareAt('vm-c')]))).to.equal(undefined);
  });

  // Guards against two replicas at one address, of which the leader would send itself messages for the other.
  it('removes the voter that has a successor, not another one that is silent', () => {
    const members = [...MEMBERS, memberAt('new at vm-e', 'vm-e')];
    const step = repair.nextStep(situation({ b: 9_000, e: 3_000 }, [], members));
    expect(step).to.include({ reason: 'removeDead', subject: 'e' });
  });

  // Guards against giving up a voter that is merely down, while the disk of another one is lost for good.
  it('replaces the voter that has a successor before one that was silent for longer', () => {
    const step = repair.nextStep(situation({ b: 9_000, e: 3_000 }, [spareAt('vm-e', 50)]));
    expect(step).to.include({ reason: 'removeDead', subject: 'e' });
  });

  // Guards against a leader that takes itself for gone, as a stale registration names another replica at its address.
  it('never replaces the leader itself', () => {
    expect(repair.nextStep(situation({}, [spareAt('vm-a', 0)]))).to.equal(undefined);
  });

  // Guards against a learner that waits for ever because its VM lost the disk once more.
  it('drops a learner that has a successor', () => {
    const learner: messages.Member = { ...memberAt('l', 'vm-l'), role: 'learner' };
    const step = repair.nextStep(
      situation({ l: 500, c: 9_000 }, [spareAt('vm-l', 50)], [...MEMBERS, learner]),
    );
    expect(step).to.include({ reason: 'dropLearner', subject: 'l' });
  });
});
