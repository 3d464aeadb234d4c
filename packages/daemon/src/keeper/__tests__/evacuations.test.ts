/** Evacuations at keepers with real sockets and disks. */
import * as childProcess from 'node:child_process';
import * as chai from 'chai';
import * as clock from '../../clock';
import type * as fleetState from '../../fleet/fleetState';
import type * as leaderLink from '../../fleet/leaderLink';
import * as messages from '../../fleet/messages';
import * as peerClient from '../../rpc/peerClient';
import * as peerServer from '../../rpc/peerServer';
import * as evacuationStore from '../evacuationStore';
import * as keeperFleet from './__fixtures__/keeperFleet';
import * as leaderFixture from './__fixtures__/leaderFixture';

const { expect } = chai;

const { until } = keeperFleet;

const SETTINGS = `
[daemon]
data-centres = dc0,dc1,dc2
[bounds]
evacuation-ms = 5000
`;

/** More commands than the log holds before they are replaced by a snapshot. */
const MORE_THAN_LOG = 70;

/** Time that a frozen entry takes to answer a push, in milliseconds. */
const ANSWER_MS = 2_000;

/** Sends an order to any keeper until one acknowledges it, as operators do. */
async function order(fleet: keeperFleet.Fleet, method: string, dataCentre: string): Promise<void> {
  await until(`${method} ${dataCentre}`, async () => {
    for (const i of fleet.running.keys()) {
      const [status] = await fleet.call(i, method, `/evacuations/${dataCentre}`);
      if (status === 200) return true;
    }
    return false;
  });
}

/** What the first keeper lists. A follower that has just started refuses until it has found the leader. */
async function listing(fleet: keeperFleet.Fleet): Promise<messages.EvacuationListing> {
  const [first] = fleet.running.keys();
  let status = 0;
  let body = '';
  await until('a listing', async () => {
    [status, body] = await fleet.call(first, 'GET', '/evacuations');
    return status !== 503;
  });
  expect(status, body).to.equal(200);
  return JSON.parse(body) as messages.EvacuationListing;
}

function evacuated(state: fleetState.FleetState): string[] {
  return ['dc0', 'dc1', 'dc2'].filter((name) => state.evacuations.isEvacuated(name));
}

describe('keepers: evacuations', () => {
  let fleet: keeperFleet.Fleet;

  async function start(settings: string): Promise<void> {
    fleet = await keeperFleet.Fleet.make(4, settings);
    for (let i = 0; i < 3; i++) await fleet.start(i);
    await until('a leader', () => fleet.leader >= 0);
  }

  /** The parts of a keeper that a test replaces by those of the previous version. */
  function partsOf(i: number): {
    fleetState: fleetState.FleetState;
    link: leaderLink.LeaderLink;
    server: { methods: { removeMethod: (name: string) => void } };
    host: { replica: { durable: { snapshot: { index: number } } } };
  } {
    return fleet.running.get(i) as never;
  }

  afterEach(async () => fleet.stopAll());

  // Guards against an evacuation in a fleet that has the part turned off.
  it('are not found while the part is off', async () => {
    await start('');
    const answers = [
      await fleet.call(0, 'POST', '/evacuations/dc0'),
      await fleet.call(0, 'GET', '/evacuations'),
    ];
    expect(answers).to.deep.equal([
      [404, ''],
      [404, ''],
    ]);
  });

  /*
   * Guards against an order that is lost, or counted twice, because the leader stops right after the commit: the
   * operator sends it again to any keeper.
   */
  it('survive a change of leader right after the commit', async () => {
    await start(SETTINGS);
    const { state, link } = await fleet.follow();
    await until('a confirmation', () => link.confirmationAgeMs < 700);
    await order(fleet, 'POST', 'dc2');
    const { leader } = fleet;
    const unanswered = fleet.call(leader, 'POST', '/evacuations/dc1').catch(() => undefined);
    await until('the commit', () => fleet.running.get(leader)?.gauges().evacuations === 2);
    await fleet.stop(leader);
    await unanswered;
    const commits = (await listingOnceLed()).evacuations;
    await order(fleet, 'POST', 'dc1');
    await order(fleet, 'DELETE', 'dc2');
    await until('the follower to have them', () => evacuated(state).join() === 'dc1');
    expect((await listing(fleet)).evacuations).to.deep.equal(commits.slice(1));
    await until('the entry in the listing', async () => {
      const { inForce } = await listing(fleet);
      return inForce.entries === 1 && inForce.of === 1;
    });
  });

  async function listingOnceLed(): Promise<messages.EvacuationListing> {
    await until('a successor', async () => {
      const [status] = await fleet.call([...fleet.running.keys()][0], 'GET', '/evacuations');
      return status === 200;
    });
    return listing(fleet);
  }

  /*
   * Guards against an evacuation that a power loss of all keepers ends: it may be in a snapshot or in the journal. An
   * entry must not serve with the catalogue before it knows the evacuations.
   */
  it('survive a restart of all keepers, in a snapshot and in the journal', async () => {
    await start(SETTINGS);
    await order(fleet, 'POST', 'dc0');
    await order(fleet, 'POST', 'dc1');
    for (let version = 1; version <= MORE_THAN_LOG; version++) await fleet.submit(version);
    await order(fleet, 'DELETE', 'dc1');
    await order(fleet, 'POST', 'dc2');
    expect(partsOf(fleet.leader).host.replica.durable.snapshot.index).to.be.greaterThan(0);
    for (const i of [0, 1, 2]) await fleet.stop(i);
    for (const i of [0, 1, 2]) await fleet.start(i, false);
    const { state } = await fleet.follow();
    await until('the catalogue', () => state.version === MORE_THAN_LOG);
    expect(evacuated(state)).to.deep.equal(['dc0', 'dc2']);
  });

  /*
   * Guards against orders that are refused because a keeper of the failed data centre doesn't come back after a loss of
   * all keepers.
   */
  it('are taken while a voter that announced itself before is down', async () => {
    await start(SETTINGS);
    await order(fleet, 'POST', 'dc0');
    const files = [0, 1].map((i) => fleet.configurations[i].folder);
    await until('the replicas on the disks', async () => {
      const stored = await Promise.all(files.map((folder) => evacuationStore.read(folder)));
      return stored.every((each) => each.unwrapOr([]).length >= 2);
    });
    for (const i of [0, 1, 2]) await fleet.stop(i);
    for (const i of [0, 1]) await fleet.start(i, false);
    await until('a leader', () => fleet.leader >= 0);
    await order(fleet, 'POST', 'dc2');
    expect((await listing(fleet)).evacuations).to.have.length(2);
  });

  // Guards against a voter that stores snapshots without the evacuations that were acknowledged.
  it('are refused while a voter has not announced that it knows them', async () => {
    await start(SETTINGS);
    await order(fleet, 'DELETE', 'dc0');
    const old = (fleet.leader + 1) % 3;
    const { evacuations } = partsOf(old).fleetState;
    Object.defineProperty(evacuations, 'revision', { get: () => undefined });
    await until('a refusal', async () => {
      const [status, body] = await fleet.call(fleet.leader, 'DELETE', '/evacuations/dc0');
      return status === 503 && body.includes('voters that have not announced');
    });
    expect((await fleet.call(fleet.leader, 'POST', '/evacuations/dc0'))[0]).to.equal(503);
    expect((await listing(fleet)).evacuations).to.deep.equal([]);
  });

  // Guards against a keeper that gives up its leader because that runs the previous version during an upgrade.
  it('are refused by a leader of the previous version, which is not given up', async () => {
    await start(SETTINGS);
    const { leader } = fleet;
    const other = (leader + 1) % 3;
    await until('its follower', () => partsOf(other).link.leader !== '');
    partsOf(leader).server.methods.removeMethod('evacuate');
    const { port } = fleet.configurations[other].settings.control as { port: number };
    const url = `http://127.0.0.1:${port}/evacuations/dc0`;
    const answer = await fetch(url, { method: 'POST' });
    expect([answer.status, answer.headers.get('retry-after')]).to.deep.equal([503, '1']);
    expect(partsOf(other).link.leader).to.not.equal('');
  });

  /*
   * Guards against orders that each wait for a frozen entry, and against an entry of the previous version that gets
   * no catalogues any more or counts as informed.
   */
  it('are acknowledged in time beside a frozen entry of the previous version', async () => {
    await start(SETTINGS);
    const address = `127.0.0.1:${fleet.followerPort}`;
    const client = new peerClient.PeerClient(keeperFleet.SECRET, undefined, fleet.observer);
    const server = new peerServer.PeerServer(keeperFleet.SECRET, undefined, fleet.observer);
    server.add('learn', () => clock.sleep(ANSWER_MS));
    await server.listen({ host: '127.0.0.1', port: fleet.followerPort });
    const request = { ...leaderFixture.followRequest(0), address, version: 0 };
    const { peers } = fleet.configurations[fleet.leader].settings;
    const leader = `127.0.0.1:${peers.port}`;
    await order(fleet, 'POST', 'dc0');
    await fleet.submit(1);
    const follow = { timeoutMs: 2_000 };
    const polled = await client.call<messages.Confirmation>(leader, 'follow', request, follow);
    const { news } = polled.unwrap();
    expect([news.edition?.version, news.evacuations?.evacuations.length]).to.deep.equal([1, 1]);
    const startedAt = Date.now();
    await order(fleet, 'POST', 'dc1');
    expect(Date.now() - startedAt).to.be.lessThan(300);
    const { inForce } = await listing(fleet);
    expect(inForce).to.deep.equal({ entries: 0, of: 1, behind: ['e0'] });
    client.close();
    await server.close();
  });

  // Guards against an order that a cut held up on its way to the leader and that undoes a later one when it arrives.
  it('are not undone by an order that reaches the leader after a later one', async () => {
    await start(SETTINGS);
    await order(fleet, 'POST', 'dc1');
    const cutOff = (fleet.leader + 1) % 3;
    await until('its follower', () => partsOf(cutOff).link.leader !== '');
    const cut = fleet.holdCalls(cutOff, 'evacuate');
    const late = fleet.call(cutOff, 'DELETE', '/evacuations/dc1');
    await until('the order to be held up', () => cut.held() > 0);
    const { leader } = fleet;
    expect((await fleet.call(leader, 'DELETE', '/evacuations/dc1'))[0]).to.equal(200);
    expect((await fleet.call(leader, 'POST', '/evacuations/dc1'))[0]).to.equal(200);
    cut.deliver();
    expect((await late)[0]).to.equal(503);
    expect((await listing(fleet)).evacuations.map(({ dataCentre }) => dataCentre)).to.deep.equal([
      'dc1',
    ]);
  });

  /*
   * Guards against an order that takes effect after a later one: a keeper that was frozen reads calls whose operators
   * have given them up and sent them to another keeper.
   */
  it('are not taken from an operator that has closed the connection', async () => {
    await start(SETTINGS);
    await order(fleet, 'DELETE', 'dc0');
    const { port } = fleet.configurations[0].settings.control as { port: number };
    const abandoned = `const socket = require('net').connect(${port}, '127.0.0.1', () => {
      socket.write('POST /evacuations/dc0 HTTP/1.1\\r\\nHost: k\\r\\n\\r\\n', () => socket.destroy());
    });`;
    // Keepers run in this process, so none runs until the operator is gone.
    childProcess.execFileSync(process.execPath, ['-e', abandoned]);
    await order(fleet, 'POST', 'dc1');
    await order(fleet, 'POST', 'dc2');
    const names = (await listing(fleet)).evacuations.map(({ dataCentre }) => dataCentre);
    expect(names).to.deep.equal(['dc1', 'dc2']);
  });

  // Guards against orders and a revoked key that are lost with their leader, and with what a stalled disk hadn't written.
  it('and catalogues survive the loss of their leader and of a keeper whose disk had stalled', async () => {
    await start(SETTINGS);
    await order(fleet, 'POST', 'dc0');
    await until('a leader', () => fleet.leader >= 0);
    const { leader } = fleet;
    const stalled = (leader + 1) % 3;
    const disk = fleet.stallDisk(stalled);
    await Promise.all([
      fleet.submit(7),
      order(fleet, 'DELETE', 'dc0'),
      order(fleet, 'POST', 'dc1'),
    ]);
    const losses = [fleet.stop(leader), fleet.stop(stalled)];
    await losses[0];
    disk.lose();
    await losses[1];
    const [last] = fleet.running.values();
    await until('the loss to be noticed', () => last.gauges().withoutLeaderMs > 0);
    await fleet.start(stalled, false);
    const { state } = await fleet.follow();
    await until('the catalogue', () => state.version === 7);
    expect(evacuated(state)).to.deep.equal(['dc1']);
    expect(await fleet.version()).to.equal(7);
    expect((await listing(fleet)).evacuations.map(({ dataCentre }) => dataCentre)).to.deep.equal([
      'dc1',
    ]);
  });

  // Guards against an order or a catalogue that overwrites the other, and against an order that undoes another.
  it('and catalogues may be submitted at once', async () => {
    await start(SETTINGS);
    const { state } = await fleet.follow();
    await order(fleet, 'POST', 'dc0');
    await Promise.all([
      fleet.submit(5),
      order(fleet, 'POST', 'dc1'),
      fleet.submit(6),
      order(fleet, 'DELETE', 'dc0'),
      order(fleet, 'POST', 'dc2'),
    ]);
    await until('all of it', () => state.version === 6 && evacuated(state).join() === 'dc1,dc2');
    expect((await fleet.call(1, 'POST', '/evacuations/dc9'))[0]).to.equal(404);
    expect((await fleet.call(1, 'POST', '/evacuations/DC'))[0]).to.equal(400);
  });
});

describe('leader: evacuations', () => {
  // Guards against a follower that misses the push after an order and then learns of a catalogue without it.
  it('go out with each push until they are acknowledged', async () => {
    const setup = { followers: 1, answerMs: 1 };
    const { leader, fleet, pushes } = await leaderFixture.leaderWithFollowers(setup);
    await leader.follow({ ...leaderFixture.followRequest(0), evacuationRevision: 0 });
    const state = { revision: 4, evacuations: [] };
    fleet.applyEvacuations(state);
    const edition = { version: 2, packed: new Uint8Array() };
    await leader.publishCatalogue(edition);
    await leader.publishCatalogue(edition);
    expect(pushes.map(({ update }) => update.evacuations)).to.deep.equal([state, undefined]);
  });
});
