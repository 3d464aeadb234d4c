/** The registry of targets with late and duplicate announcements and updates from other copies. */
import * as chai from 'chai';
import * as registry from '../registry';
import * as validity from '../validity';
import * as fixture from './__fixtures__/announcement';

const { expect } = chai;

const { announcement } = fixture;

function states(of: registry.Registry): Record<string, string> {
  return Object.fromEntries(of.records().map(({ id, state }) => [id, state]));
}

describe('registry', () => {
  /*
   * Guards against requests to a draining server, which refuses them: its announcement that it
   * drains overtakes an older one that says ready.
   */
  it('never returns a lifetime from draining to ready', () => {
    const tested = new registry.Registry();
    tested.announce(announcement('a', { state: 'draining', sequence: 5 }), 0);
    expect(tested.announce(announcement('a', { sequence: 4 }), 10)).to.deep.equal([]);
    expect(tested.announce(announcement('a', { sequence: 9 }), 20)).to.deep.equal([]);
    expect(states(tested)).to.deep.equal({ a: 'draining' });
  });

  /**
   * Guards against a draining target that is used again because of its earlier announcements or a
   * record from disk.
   */
  it('never returns a lifetime to ready that announced in a response that it drains', () => {
    const tested = new registry.Registry();
    tested.loadFromDisk([announcement('a', { sequence: 4 })], 0);
    expect(tested.reportDraining('a', 0).map(({ state }) => state)).to.deep.equal(['draining']);
    tested.announce(announcement('a', { sequence: 9 }), 20);
    tested.merge([announcement('a', { sequence: 10 })], 30);
    tested.follow([announcement('a', { sequence: 11 })], 40);
    expect([
      states(tested),
      tested.reportDraining('a', 0),
      tested.reportDraining('b', 0),
    ]).to.deep.equal([{ a: 'draining' }, [], []]);
    tested.announce(announcement('a', { bornAt: 5, sequence: 1 }), 50);
    expect([tested.reportDraining('a', 0), states(tested)]).to.deep.equal([[], { a: 'ready' }]);
  });

  /*
   * Guards against requests for a dead server at an address that serves another one by now: the old
   * lifetime crashed behind a partition, and its last announcement arrives after the new one's.
   */
  it('presumes a replaced lifetime dead, and ignores its late announcement', () => {
    const tested = new registry.Registry();
    tested.announce(announcement('old'), 0);
    tested.announce(announcement('new'), 1_000);
    tested.announce(announcement('old', { sequence: 2 }), 1_100);
    expect(states(tested)).to.deep.equal({ old: 'gone', new: 'ready' });
  });

  /*
   * Guards against a target without requests for good: the leader presumed it dead, reported that
   * to the entries, and revived it when it announced itself again, but for the entries a lifetime
   * that was gone never returned.
   */
  it('revives it at followers too, and only by a later announcement', () => {
    const leader = new registry.Registry();
    const follower = new registry.Registry();
    const propagate = (changed: registry.Announcement[]): void => {
      follower.merge(changed, 0);
    };
    propagate(leader.announce(announcement('a', { sequence: 7 }), 0));
    propagate(leader.reportReplaced('a', 100));
    expect(states(follower)).to.deep.equal({ a: 'gone' });
    // A copy of the registry that hasn't received the end yet changes nothing.
    propagate([announcement('a', { sequence: 7 })]);
    expect(states(follower)).to.deep.equal({ a: 'gone' });
    propagate(leader.announce(announcement('a', { sequence: 8 }), 200));
    propagate(leader.announce(announcement('a', { sequence: 9 }), 1_000));
    expect(states(follower)).to.deep.equal({ a: 'ready' });
    propagate(leader.depart('a', 1_100));
    propagate([announcement('a', { sequence: 10 })]);
    expect(states(follower)).to.deep.equal({ a: 'gone' });
  });

  /*
   * Guards against a live target that loses its requests to a dead one at its address: a keeper
   * that missed the end of the old lifetime sends a new leader a record that says ready, with a
   * later sequence than the leader received.
   */
  it('revives no lifetime from a copy when another one has its address', () => {
    const leader = new registry.Registry();
    leader.announce(announcement('old', { sequence: 7 }), 0);
    leader.announce(announcement('new'), 100);
    leader.merge([announcement('old', { sequence: 9 })], 200);
    expect(states(leader)).to.deep.equal({ old: 'gone', new: 'ready' });
  });

  /*
   * Guards against a live server without requests for good: a new leader first receives a late
   * announcement of a dead lifetime and presumes the live one replaced, which goes on announcing
   * itself.
   */
  it('revives a lifetime that was presumed dead in error', () => {
    const tested = new registry.Registry();
    tested.announce(announcement('live', { sequence: 7 }), 0);
    tested.announce(announcement('dead', { sequence: 3 }), 100);
    expect(states(tested)).to.deep.equal({ live: 'gone', dead: 'ready' });
    tested.announce(announcement('live', { sequence: 8 }), 1_200);
    tested.announce(announcement('live', { sequence: 9 }), 2_400);
    expect(states(tested)).to.deep.equal({ live: 'ready', dead: 'gone' });
  });

  it('keeps a target that announced itself when a copy reports another one at its address', () => {
    const tested = new registry.Registry();
    tested.announce(announcement('live'), 0);
    expect(tested.merge([announcement('dead')], 10)).to.deep.equal([]);
    expect(states(tested)).to.deep.equal({ live: 'ready', dead: 'gone' });
  });

  /*
   * Guards against each request finding out for itself that a server is gone: it crashed without an
   * announcement, and another server at its address refuses its requests. The first refusal updates
   * the registry.
   */
  it('presumes a lifetime dead when another one answers for it, until it announces itself again', () => {
    const tested = new registry.Registry();
    tested.announce(announcement('a'), 0);
    tested.reportReplaced('a', 100);
    expect(states(tested)).to.deep.equal({ a: 'gone' });
    tested.announce(announcement('a', { sequence: 2 }), 200);
    tested.announce(announcement('a', { sequence: 3 }), 1_400);
    expect(states(tested)).to.deep.equal({ a: 'ready' });
  });

  it('keeps an end that was reported before the first announcement', () => {
    const tested = new registry.Registry();
    tested.depart('a', 0);
    tested.announce(announcement('a'), 10);
    expect(states(tested)).to.deep.equal({ a: 'gone' });
    tested.forgetGone(registry.GONE_RETENTION_MS + 1);
    expect(states(tested)).to.deep.equal({});
  });

  /*
   * Guards against a restarted engine without requests for good: its former lifetime drained or was
   * presumed dead, and the sequences of the new one start below those of the former.
   */
  it('accepts a target that restarted under its id', () => {
    const tested = new registry.Registry();
    tested.announce(announcement('a', { bornAt: 100, sequence: 9, state: 'draining' }), 0);
    tested.depart('a', 10);
    tested.announce(announcement('a', { bornAt: 200, sequence: 1 }), 20);
    expect(states(tested)).to.deep.equal({ a: 'ready' });
  });

  /*
   * Guards against dispatches of the former lifetime that count against the new one: a copy that
   * only sees the target ready before and after must receive the end in between.
   */
  it('ends the former lifetime when a target restarts unnoticed, here and in copies', () => {
    const tested = new registry.Registry();
    const copy = new registry.Registry();
    copy.merge(tested.announce(announcement('a', { bornAt: 100, sequence: 9 }), 0), 0);
    const changes = tested.announce(announcement('a', { bornAt: 200 }), 10);
    const summary = (each: registry.Announcement): string => `${each.state} ${each.bornAt}`;
    expect(changes.map(summary)).to.deep.equal(['gone 100', 'ready 200']);
    expect(copy.merge(tested.records(), 20).map(summary)).to.deep.equal(['gone 100', 'ready 200']);
  });

  /*
   * Guards against a running engine without requests: reports that its former lifetime drains and
   * is gone were delayed by a partition and arrive after its restart.
   */
  it('ignores late reports of a former lifetime', () => {
    const tested = new registry.Registry();
    tested.announce(announcement('a', { bornAt: 200 }), 0);
    const lateReport = announcement('a', { bornAt: 100, state: 'draining', sequence: 9 });
    expect(tested.announce(lateReport, 10)).to.deep.equal([]);
    expect(tested.merge([{ ...lateReport, state: 'gone' }], 20)).to.deep.equal([]);
    expect(tested.depart('a', 30, 100)).to.deep.equal([]);
    expect(states(tested)).to.deep.equal({ a: 'ready' });
    tested.depart('a', 40, 200);
    expect(states(tested)).to.deep.equal({ a: 'gone' });
  });
});

describe('a registry that missed an announcement', () => {
  /**
   * Guards against a target that is unknown for minutes: its former lifetime was gone before the
   * leader received an announcement of it.
   */
  it('accepts a lifetime whose predecessor was gone before its first announcement', () => {
    const tested = new registry.Registry();
    tested.depart('a', 0, 1);
    tested.announce(announcement('a', { bornAt: 1 }), 10);
    expect(states(tested)).to.deep.equal({ a: 'gone' });
    tested.announce(announcement('a', { bornAt: 2 }), 20);
    expect(states(tested)).to.deep.equal({ a: 'ready' });
  });

  /**
   * Guards against requests to a target that is gone: the leader knew only its former lifetime when
   * the end was reported.
   */
  it('ignores announcements of a lifetime that was reported gone before', () => {
    const tested = new registry.Registry();
    tested.announce(announcement('a', { bornAt: 1 }), 0);
    tested.depart('a', 10, 2);
    tested.announce(announcement('a', { bornAt: 2 }), 20);
    expect(states(tested)).to.deep.equal({ a: 'gone' });
  });

  /**
   * Guards against an entry that never uses a target: it kept the former one at that address, of
   * which the new leader never received an announcement.
   */
  it('applies a record of the leader with another lifetime at an address', () => {
    const leader = new registry.Registry();
    const follower = new registry.Registry();
    follower.announce(announcement('old', { sequence: 5 }), 0);
    follower.follow(leader.announce(announcement('new'), 1_000), 1_000);
    expect(states(follower)).to.deep.equal({ old: 'gone', new: 'ready' });
  });
});

describe('an announcement', () => {
  /*
   * Guards against requests to invalid addresses, which all fail: other programs announce
   * themselves too. An invalid announcement is refused with the name of the field.
   */
  it('must name a target that can be used', () => {
    const problems = [
      {},
      { id: 'a b' },
      { id: '' },
      { service: '' },
      { dataCentre: '' },
      { address: '10.0.0.1' },
      { address: '10.0.0.1:0' },
      { address: 'host:80' },
      { address: '10.0.0.1:80:1' },
      { slots: 1.5 },
      { slots: -1 },
      { sequence: 2 ** 60 },
      { bornAt: 0.5 },
    ].map((more) => [more, validity.problemOf(announcement('a', more)) ?? 'none']);
    expect(problems).toMatchSnapshot();
  });
});
