/** Announcements that reach the leader from other programs and from targets that restarted. */
import * as chai from 'chai';
import * as packedCatalogue from '../../fleet/packedCatalogue';
import * as fixture from './__fixtures__/leaderFixture';

const { expect } = chai;

const { announcement } = fixture;

const CATALOGUE = {
  version: 2,
  routes: [],
  services: [{ name: 's', healthPath: '/', maxConnections: 9, engine: undefined }],
  limits: { maxHeaderBytes: 1, maxBodyBytes: 1, headerTimeoutMs: 1, idleTimeoutMs: 1 },
};

describe('announcements at the leader', () => {
  let setup: fixture.LeaderFixture;

  beforeEach(async () => {
    setup = await fixture.leaderWithFollowers({ followers: 1, answerMs: 1 });
    const document = Buffer.from(JSON.stringify(CATALOGUE));
    setup.fleet.applyCatalogue(packedCatalogue.pack(CATALOGUE.version, document));
  });

  /** Guards against another program that takes a working target out of use by announcing its id or its address. */
  it('with an unknown service change nothing that is known of a target', async () => {
    const { leader, fleet } = setup;
    await leader.announce(announcement(1));
    const before = fleet.registry.records();
    const foreign = { ...announcement(1), service: 'of another program', bornAt: 9, sequence: 9 };
    await leader.announce(foreign);
    await leader.announce({ ...foreign, id: 'other' });
    expect(fleet.registry.records()).to.deep.equal(before);
  });

  /** Guards against a target that never drains because its service was removed before. */
  it('are applied to a known target whose service has left the catalogue', async () => {
    const { leader, fleet } = setup;
    const known = { ...announcement(1), service: 'removed' };
    fleet.mergeRecords([known]);
    await leader.announce({ ...known, state: 'draining', sequence: 2 });
    expect(fleet.registry.get(known.id)?.state).to.equal('draining');
  });

  /** Guards against entries that keep the former lifetime until their next poll: it counted as confirmed from disk. */
  it('of a restarted target are pushed although its former lifetime was loaded from disk', async () => {
    const { leader, fleet, pushes } = setup;
    fleet.loadRecords([announcement(1)]);
    await leader.announce({ ...announcement(1), bornAt: 2 });
    const pushed = pushes.flatMap(({ update }) => update.records);
    expect(pushed.map(({ state, bornAt }) => [state, bornAt])).to.deep.equal([
      ['gone', 1],
      ['ready', 2],
    ]);
  });

  /** Guards against a restarted target out of use because another one answers at its former address. */
  it('of a restarted target outlast a late report that its former lifetime was replaced', async () => {
    const { leader, fleet } = setup;
    await leader.announce({ ...announcement(1), bornAt: 2 });
    const dispatch = { id: 'r', ending: 'replaced', target: announcement(1).id } as const;
    leader.ended({ dispatches: [{ ...dispatch, bornAt: 1 }] });
    expect(fleet.registry.get(dispatch.target)?.state).to.equal('ready');
    leader.ended({ dispatches: [{ ...dispatch, bornAt: 2 }] });
    expect(fleet.registry.get(dispatch.target)?.state).to.equal('gone');
  });
});
