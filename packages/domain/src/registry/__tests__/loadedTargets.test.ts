/**
 * Targets that a keeper loads from its disk after a restart of all VMs, until they announce
 * themselves.
 */
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
  const tested = new registry.Registry();
  tested.loadFromDisk(records, 0);
  return tested;
}

/** Ids of the ready targets; a question mark marks those that were only loaded from disk. */
function readyTargets(of: registry.Registry): string[] {
  return of.ready('engines').map(({ id, isRemembered }) => (isRemembered === true ? `${id}?` : id));
}

describe('targets loaded from disk', () => {
  /*
   * Guards against refused requests after a power loss of all VMs: a new leader knew no targets for
   * a second, until each announced itself. Targets loaded from disk are usable at once, and their
   * announcements confirm them one by one.
   */
  it('are used at once, and confirmed by their next announcement', () => {
    const tested = loadedRegistry(announcement('a'), announcement('bb'));
    expect(readyTargets(tested)).to.deep.equal(['a?', 'bb?']);
    const changed = tested.announce(announcement('a', { sequence: 6 }), 300);
    expect(changed.map(({ id }) => id)).to.deep.equal(['a']);
    expect(readyTargets(tested)).to.deep.equal(['a', 'bb?']);
  });

  /*
   * Guards against prompts for an engine that was removed while the keepers were down. It is given
   * up after two missed announcements; one that was merely late returns with its next announcement.
   */
  it('are given up without an announcement, and return with a later one', () => {
    const tested = loadedRegistry(announcement('a'));
    expect(tested.expireLoaded(registry.LOADED_TIMEOUT_MS - 1)).to.deep.equal([]);
    const expired = tested.expireLoaded(registry.LOADED_TIMEOUT_MS + 1);
    expect(expired.map(({ id, state }) => `${id} ${state}`)).to.deep.equal(['a gone']);
    expect(readyTargets(tested)).to.deep.equal([]);
    tested.announce(announcement('a', { sequence: 9 }), registry.LOADED_TIMEOUT_MS + 50);
    expect(readyTargets(tested)).to.deep.equal(['a']);
  });

  /*
   * Guards against requests to a draining server: its announcement was acknowledged, all VMs lost
   * power, and a delayed older announcement that says ready arrives after the restart.
   */
  it('stay draining or gone after a late announcement', () => {
    const tested = loadedRegistry(
      announcement('a', { state: 'draining' }),
      announcement('bb', { state: 'gone' }),
    );
    tested.announce(announcement('a', { sequence: 4 }), 10);
    tested.announce(announcement('bb', { sequence: 9 }), 20);
    expect(readyTargets(tested)).to.deep.equal([]);
  });

  /*
   * Guards against requests for a dead engine that reach another server at its address and are
   * refused. A target that announces itself replaces one loaded from disk at its address, also when
   * a copy of the registry reports it.
   */
  it('yield to a target that announces their address', () => {
    const tested = loadedRegistry(announcement('a'));
    tested.announce(announcement('new', { address: '10.0.0.1:80', bornAt: 2 }), 100);
    expect(readyTargets(tested)).to.deep.equal(['new']);
    const copy = loadedRegistry(announcement('a'));
    copy.merge([announcement('new', { address: '10.0.0.1:80', bornAt: 2 })], 100);
    expect(readyTargets(copy)).to.deep.equal(['new']);
  });

  /*
   * Guards against wrong confirmations when copies of the registry are merged: a record that a
   * keeper only loaded from disk must not replace what another one received from the target.
   */
  it('are replaced by announcements that another copy of the registry received', () => {
    const tested = loadedRegistry(announcement('a'));
    tested.merge([announcement('a', { sequence: 7 })], 100);
    expect(readyTargets(tested)).to.deep.equal(['a']);
    tested.merge([announcement('a', { isRemembered: true })], 200);
    tested.merge([announcement('a', { isRemembered: true, state: 'gone' })], 300);
    expect(readyTargets(tested)).to.deep.equal(['a']);
  });

  /*
   * A follower accepts a target that the leader gave up for its silence when it announces itself to
   * the leader again.
   */
  it('return at followers too after the leader gave them up', () => {
    const leader = loadedRegistry(announcement('a'));
    const follower = new registry.Registry();
    follower.merge(leader.records(), 0);
    follower.merge(leader.expireLoaded(registry.LOADED_TIMEOUT_MS + 1), 2_500);
    expect(readyTargets(follower)).to.deep.equal([]);
    follower.merge(leader.announce(announcement('a', { sequence: 9 }), 2_600), 2_600);
    expect(readyTargets(follower)).to.deep.equal(['a']);
  });

  /*
   * Guards against a live engine that never gets requests again: its end was only inferred, from
   * silence after a restart or a replacement in error, and the disk says gone at the next restart.
   */
  it('are stored without ends that were only inferred', () => {
    const tested = loadedRegistry(announcement('a'));
    tested.expireLoaded(registry.LOADED_TIMEOUT_MS + 1);
    tested.announce(announcement('bb'), 3_000);
    tested.reportReplaced('bb', 3_100);
    tested.announce(announcement('ccc', { state: 'gone' }), 3_200);
    expect(tested.durableRecords().map(({ id, state }) => `${id} ${state}`)).to.deep.equal([
      'ccc gone',
    ]);
  });

  /*
   * Guards against refused requests with all targets up: the targets restarted while no keeper ran,
   * and the keepers loaded the former lifetimes from disk and accepted the new ones. Entries that
   * had received announcements of the former lifetimes ignored an end marked as loaded from disk,
   * so the addresses of the new ones counted as taken.
   */
  it('end at followers that received their announcements when another lifetime has their address', () => {
    const follower = new registry.Registry();
    follower.announce(announcement('old'), 0);
    const leader = loadedRegistry(announcement('old'));
    leader.announce(announcement('new', { bornAt: 5 }), 1_000);
    // A full copy may list them in any order.
    follower.merge([...leader.records()].reverse(), 1_100);
    expect(readyTargets(follower)).to.deep.equal(['new']);
  });
});
