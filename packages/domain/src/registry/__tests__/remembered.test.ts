/** Targets that a keeper's disk names after a loss of all, until they speak for themselves. */
import * as chai from 'chai';
import * as registry from '../registry';
import * as fixture from './__fixtures__/announcement';

const { expect } = chai;

function announcement(
  id: string,
  more: Partial<registry.Announcement> = {},
): registry.Announcement {
  return fixture.announcement(id, { address: `10.0.0.${id.length}:80`, sequence: 5, ...more });
}

function loadedRegistry(...records: registry.Announcement[]): registry.Registry {
  const made = new registry.Registry();
  made.remember(records, 0);
  return made;
}

/** What is used, and what of that is only remembered. */
function readyTargets(of: registry.Registry): string[] {
  return of.ready('engines').map(({ id, isRemembered }) => (isRemembered === true ? `${id}?` : id));
}

describe('remembered targets', () => {
  /*
   * Callers were refused for a second after a power loss of all VMs, with every engine idle: the new leader knew no targets
   * until each announced itself. It has them from its disk, and their own word confirms them one by one.
   */
  it('are used at once, and confirmed by their next announcement', () => {
    const made = loadedRegistry(announcement('a'), announcement('bb'));
    expect(readyTargets(made)).to.deep.equal(['a?', 'bb?']);
    const changed = made.announce(announcement('a', { sequence: 6 }), 300);
    expect(changed.map(({ id }) => id)).to.deep.equal(['a']);
    expect(readyTargets(made)).to.deep.equal(['a', 'bb?']);
  });

  /*
   * Prompts would go to an engine that was taken away while the keepers were down. It never speaks again, so it is
   * given up after two announcements that should have come; one that was only late comes back with its next word.
   */
  it('are given up when they stay silent, and return with their own word', () => {
    const made = loadedRegistry(announcement('a'));
    expect(made.endRemembered(registry.LOADED_TIMEOUT_MS - 1)).to.deep.equal([]);
    const ended = made.endRemembered(registry.LOADED_TIMEOUT_MS + 1);
    expect(ended.map(({ id, state }) => `${id} ${state}`)).to.deep.equal(['a gone']);
    expect(readyTargets(made)).to.deep.equal([]);
    made.announce(announcement('a', { sequence: 9 }), registry.LOADED_TIMEOUT_MS + 50);
    expect(readyTargets(made)).to.deep.equal(['a']);
  });

  /*
   * A server that had announced that it leaves would get requests again. The announcement is acknowledged, all lose power,
   * and an older announcement that says ready was held up on the way and comes after the restart.
   */
  it('that were leaving or gone stay so, whatever comes late', () => {
    const made = loadedRegistry(
      announcement('a', { state: 'draining' }),
      announcement('bb', { state: 'gone' }),
    );
    made.announce(announcement('a', { sequence: 4 }), 10);
    made.announce(announcement('bb', { sequence: 9 }), 20);
    expect(readyTargets(made)).to.deep.equal([]);
  });

  /*
   * Requests for a dead engine would reach the server that has its address by now, and be refused there. Whoever
   * speaks for itself ends a remembered one at its address, also where a copy of the registry brings the word.
   */
  it('yield to a target that speaks from their address', () => {
    const made = loadedRegistry(announcement('a'));
    made.announce(announcement('new', { address: '10.0.0.1:80', bornAt: 2 }), 100);
    expect(readyTargets(made)).to.deep.equal(['new']);
    const copy = loadedRegistry(announcement('a'));
    copy.merge([announcement('new', { address: '10.0.0.1:80', bornAt: 2 })], 100);
    expect(readyTargets(copy)).to.deep.equal(['new']);
  });

  /*
   * Entries would go on taking confirmed engines for doubtful, or doubtful ones for confirmed, where copies of the
   * registry meet: a keeper that only remembers a target must not take back what another one heard from it.
   */
  it('are overruled by what another copy of the registry heard', () => {
    const made = loadedRegistry(announcement('a'));
    made.merge([announcement('a', { sequence: 7 })], 100);
    expect(readyTargets(made)).to.deep.equal(['a']);
    made.merge([announcement('a', { isRemembered: true })], 200);
    made.merge([announcement('a', { isRemembered: true, state: 'gone' })], 300);
    expect(readyTargets(made)).to.deep.equal(['a']);
  });

  /* A follower that is told of an end by silence must believe the target when it speaks to the leader again. */
  it('that the leader gave up return at its followers too', () => {
    const leader = loadedRegistry(announcement('a'));
    const follower = new registry.Registry();
    follower.merge(leader.records(), 0);
    follower.merge(leader.endRemembered(registry.LOADED_TIMEOUT_MS + 1), 2_500);
    expect(readyTargets(follower)).to.deep.equal([]);
    follower.merge(leader.announce(announcement('a', { sequence: 9 }), 2_600), 2_600);
    expect(readyTargets(follower)).to.deep.equal(['a']);
  });

  /*
   * A living engine would never get work again. It was silent for too long after one restart, or wrongly taken for replaced,
   * and its end was only concluded; at the next restart the disk says that it is gone.
   */
  it('are written down without ends that were only concluded', () => {
    const made = loadedRegistry(announcement('a'));
    made.endRemembered(registry.LOADED_TIMEOUT_MS + 1);
    made.announce(announcement('bb'), 3_000);
    made.presumeEnded('bb', 3_100);
    made.announce(announcement('ccc', { state: 'gone' }), 3_200);
    expect(made.durable().map(({ id, state }) => `${id} ${state}`)).to.deep.equal(['ccc gone']);
  });

  /*
   * Lookups were refused for good with all three targets well. They crashed and came back while no keeper ran; the keepers
   * remembered the lives before, and took the new ones' word. Entries had lived on and heard the old ones speak, so they
   * didn't believe an end that came with the mark of a memory, and the new ones stood at addresses that were taken.
   */
  it('end at followers that heard them speak when another lifetime has their address', () => {
    const follower = new registry.Registry();
    follower.announce(announcement('old'), 0);
    const leader = loadedRegistry(announcement('old'));
    leader.announce(announcement('new', { bornAt: 5 }), 1_000);
    // A whole copy may name them in any order.
    follower.merge([...leader.records()].reverse(), 1_100);
    expect(readyTargets(follower)).to.deep.equal(['new']);
  });
});
