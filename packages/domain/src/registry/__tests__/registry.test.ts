/** The registry of targets under announcements that come late, twice and from other copies. */
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
   * Callers would see requests refused by a server that announced it leaves. Its draining overtakes an
   * older announcement on the way; the older one comes last and says ready.
   */
  it('never takes a lifetime back from draining to ready', () => {
    const made = new registry.Registry();
    made.announce(announcement('a', { state: 'draining', sequence: 5 }), 0);
    expect(made.announce(announcement('a', { sequence: 4 }), 10)).to.deep.equal([]);
    expect(made.announce(announcement('a', { sequence: 9 }), 20)).to.deep.equal([]);
    expect(states(made)).to.deep.equal({ a: 'draining' });
  });

  /** Guards against a target that is used again for what it announced before it left, or that was read from a disk before. */
  it('never takes a lifetime back that said in an answer that it leaves', () => {
    const made = new registry.Registry();
    made.remember([announcement('a', { sequence: 4 })], 0);
    expect(made.leave('a', 0).map(({ state }) => state)).to.deep.equal(['draining']);
    made.announce(announcement('a', { sequence: 9 }), 20);
    made.merge([announcement('a', { sequence: 10 })], 30);
    made.follow([announcement('a', { sequence: 11 })], 40);
    expect([states(made), made.leave('a', 0), made.leave('b', 0)]).to.deep.equal([
      { a: 'draining' },
      [],
      [],
    ]);
    made.announce(announcement('a', { bornAt: 5, sequence: 1 }), 50);
    expect([made.leave('a', 0), states(made)]).to.deep.equal([[], { a: 'ready' }]);
  });

  /*
   * Requests would go to a dead server's id at an address that serves another one by now. The old lifetime
   * crashed behind a partition; its last announcement was held up there and comes after the new one's.
   */
  it('ends the lifetime that another one replaced, and ignores its late announcement', () => {
    const made = new registry.Registry();
    made.announce(announcement('old'), 0);
    made.announce(announcement('new'), 1_000);
    made.announce(announcement('old', { sequence: 2 }), 1_100);
    expect(states(made)).to.deep.equal({ old: 'gone', new: 'ready' });
  });

  /*
   * A plain target got no calls from any entry for the rest of the day. The leader took it for ended, told the entries
   * so, and revived it when it went on announcing itself; the entries held that a lifetime that is gone never returns.
   */
  it('revives it at followers too, and only by a later word', () => {
    const leader = new registry.Registry();
    const follower = new registry.Registry();
    const propagate = (changed: registry.Announcement[]): void => {
      follower.merge(changed, 0);
    };
    propagate(leader.announce(announcement('a', { sequence: 7 }), 0));
    propagate(leader.presumeEnded('a', 100));
    expect(states(follower)).to.deep.equal({ a: 'gone' });
    // Another copy of the registry that hasn't heard of the end says nothing new.
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
   * A living target would lose its requests to a dead one at its address. A keeper that missed the end of the old lifetime
   * meets a new leader, and its copy says that the old one is ready, with a later number than the leader heard.
   */
  it('lets no copy revive a lifetime whose address another one has', () => {
    const leader = new registry.Registry();
    leader.announce(announcement('old', { sequence: 7 }), 0);
    leader.announce(announcement('new'), 100);
    leader.merge([announcement('old', { sequence: 9 })], 200);
    expect(states(leader)).to.deep.equal({ old: 'gone', new: 'ready' });
  });

  /*
   * A live server would get no work for ever. The late announcement of a dead lifetime is the first that a
   * new leader hears, so it takes the live one for replaced; the live one goes on announcing itself.
   */
  it('revives a lifetime that was wrongly presumed dead', () => {
    const made = new registry.Registry();
    made.announce(announcement('live', { sequence: 7 }), 0);
    made.announce(announcement('dead', { sequence: 3 }), 100);
    expect(states(made)).to.deep.equal({ live: 'gone', dead: 'ready' });
    made.announce(announcement('live', { sequence: 8 }), 1_200);
    made.announce(announcement('live', { sequence: 9 }), 2_400);
    expect(states(made)).to.deep.equal({ live: 'ready', dead: 'gone' });
  });

  it('lets no copy of another registry end a target that is known here', () => {
    const made = new registry.Registry();
    made.announce(announcement('live'), 0);
    expect(made.merge([announcement('dead')], 10)).to.deep.equal([]);
    expect(states(made)).to.deep.equal({ live: 'ready', dead: 'gone' });
  });

  /*
   * Each request would learn by itself that a server is gone. It crashed and sent nothing, and at its address
   * another one refuses what is meant for it; after the first refusal everybody should know.
   */
  it('ends a lifetime that others answer for, until it announces itself again', () => {
    const made = new registry.Registry();
    made.announce(announcement('a'), 0);
    made.presumeEnded('a', 100);
    expect(states(made)).to.deep.equal({ a: 'gone' });
    made.announce(announcement('a', { sequence: 2 }), 200);
    made.announce(announcement('a', { sequence: 3 }), 1_400);
    expect(states(made)).to.deep.equal({ a: 'ready' });
  });

  it('remembers an end that came before the first announcement', () => {
    const made = new registry.Registry();
    made.depart('a', 0);
    made.announce(announcement('a'), 10);
    expect(states(made)).to.deep.equal({ a: 'gone' });
    made.forget(registry.GONE_RETENTION_MS + 1);
    expect(states(made)).to.deep.equal({});
  });

  /*
   * An engine that crashed and came back under its id would get no work for ever: it had said that it leaves, or
   * others had answered at its address, and its counts begin anew below those of its former life.
   */
  it('takes a target back that started again under its id', () => {
    const made = new registry.Registry();
    made.announce(announcement('a', { bornAt: 100, sequence: 9, state: 'draining' }), 0);
    made.depart('a', 10);
    made.announce(announcement('a', { bornAt: 200, sequence: 1 }), 20);
    expect(states(made)).to.deep.equal({ a: 'ready' });
  });

  /*
   * Work of the former life would count against the new one: those who keep it hear only that the target is ready,
   * as it was before. They must hear of the end in between.
   */
  it('ends the former life where a target starts again unnoticed, here and in copies', () => {
    const made = new registry.Registry();
    const copy = new registry.Registry();
    copy.merge(made.announce(announcement('a', { bornAt: 100, sequence: 9 }), 0), 0);
    const changes = made.announce(announcement('a', { bornAt: 200 }), 10);
    const summary = (each: registry.Announcement): string => `${each.state} ${each.bornAt}`;
    expect(changes.map(summary)).to.deep.equal(['gone 100', 'ready 200']);
    expect(copy.merge(made.records(), 20).map(summary)).to.deep.equal(['gone 100', 'ready 200']);
  });

  /*
   * A running engine would get no more work. Reports of its former life, that it leaves and that it is gone, were
   * held up by a cut and come after it started again.
   */
  it('ignores late reports of a former life', () => {
    const made = new registry.Registry();
    made.announce(announcement('a', { bornAt: 200 }), 0);
    const late = announcement('a', { bornAt: 100, state: 'draining', sequence: 9 });
    expect(made.announce(late, 10)).to.deep.equal([]);
    expect(made.merge([{ ...late, state: 'gone' }], 20)).to.deep.equal([]);
    expect(made.depart('a', 30, 100)).to.deep.equal([]);
    expect(states(made)).to.deep.equal({ a: 'ready' });
    made.depart('a', 40, 200);
    expect(states(made)).to.deep.equal({ a: 'gone' });
  });
});

describe('a registry that missed something', () => {
  /** Guards against a target that is unknown for minutes, as its former life left before the leader had heard of it. */
  it('takes a lifetime whose predecessor left before it announced itself', () => {
    const made = new registry.Registry();
    made.depart('a', 0, 1);
    made.announce(announcement('a', { bornAt: 1 }), 10);
    expect(states(made)).to.deep.equal({ a: 'gone' });
    made.announce(announcement('a', { bornAt: 2 }), 20);
    expect(states(made)).to.deep.equal({ a: 'ready' });
  });

  /** Guards against work for a target that left: the leader knew only its former life when it did. */
  it('never takes back a lifetime that left before it announced itself', () => {
    const made = new registry.Registry();
    made.announce(announcement('a', { bornAt: 1 }), 0);
    made.depart('a', 10, 2);
    made.announce(announcement('a', { bornAt: 2 }), 20);
    expect(states(made)).to.deep.equal({ a: 'gone' });
  });

  /**
   * Guards against an entry that has no work for a target for good: it held on to the former one at that address, of which the new
   * leader never heard.
   */
  it('follows a leader that has another lifetime at an address', () => {
    const leader = new registry.Registry();
    const follower = new registry.Registry();
    follower.announce(announcement('old', { sequence: 5 }), 0);
    follower.follow(leader.announce(announcement('new'), 1_000), 1_000);
    expect(states(follower)).to.deep.equal({ old: 'gone', new: 'ready' });
  });
});

describe('an announcement', () => {
  /*
   * Each request would fail that is sent to an address that is none, and other programs announce themselves too. What
   * can't be used is refused with the field's name.
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
