/** Entries that serve their callers while data centres are evacuated. */
import * as chai from 'chai';
import * as clock from '../clock';
import * as fleetPool from './__fixtures__/fleetPool';
import * as smallFleet from './__fixtures__/smallFleet';

const { expect } = chai;

const LOAD_MS = 1_000;

/** Less than the time for which entries accept keys without a leader. */
const LEADERLESS_LOAD_MS = 1_500;

/** Time in which a message that was admitted just before the order reaches its target. */
const IN_FLIGHT_MS = 300;

/** Names of the targets that got requests after `since`, sorted. */
function targetsOfRequests({ messages }: smallFleet.SmallFleet, since: number): string[] {
  const requests = messages.filter(({ isRequest, at }) => isRequest && at > since);
  return [...new Set(requests.map(({ name }) => name))].sort();
}

/** The targets of the second data centre. */
const IN_DC1 = ['t1', 't3', 't5', 't7'];

describe('a fleet with evacuated data centres', () => {
  const pool = new fleetPool.FleetPool({ engines: 2, plain: 1 }, ['dc0', 'dc1']);

  (['engines', 'plain'] as const).forEach((service) => {
    /** Guards against requests to evacuated targets, failed requests meanwhile, and targets that stay unused. */
    it(`serves all requests elsewhere until the evacuation ends, then refuses all at once (${service})`, async () => {
      const fleet = await pool.take(service);
      const options = { service, kind: 'safe' } as const;
      const before = fleet.sendLoad(options, LOAD_MS);
      await clock.sleep(LOAD_MS / 2);
      await fleet.evacuate('dc0');
      const since = clock.steady() + IN_FLIGHT_MS;
      const replies = [...(await before), ...(await fleet.sendLoad(options, LOAD_MS))];
      expect(new Set(replies.map(({ status }) => status))).to.deep.equal(new Set([200]));
      expect(targetsOfRequests(fleet, since)).to.not.be.empty;
      expect(IN_DC1).to.include.members(targetsOfRequests(fleet, since));

      await fleet.evacuate('dc0', 'dc1');
      const refused = await fleet.send(0, { ...options, body: 'x' });
      expect([refused.status, refused.retryAfter !== undefined]).to.deep.equal([503, true]);
      expect(refused.tookMs).to.be.below(200);

      await fleet.evacuate('dc1');
      const endedAt = clock.steady();
      await fleet.sendLoad(options, LOAD_MS);
      const used = targetsOfRequests(fleet, endedAt);
      expect(used).to.not.be.empty;
      expect(used.filter((name) => IN_DC1.includes(name))).to.deep.equal([]);
    });
  });

  /** Guards against an entry that forgets the evacuations with its leader, or whose own allocator ignores them. */
  it('keeps the evacuations at entries that are cut off from the leader', async () => {
    const fleet = await pool.take('engines');
    await fleet.evacuate('dc0');
    const since = clock.steady() + IN_FLIGHT_MS;
    await Promise.all([0, 1].map((i) => fleet.stopKeeper(i)));
    await smallFleet.until('no leader', () => fleet.leader < 0);
    const options = { service: 'engines', kind: 'streaming' } as const;
    const replies = await fleet.sendLoad(options, LEADERLESS_LOAD_MS);
    expect(new Set(replies.map(({ status }) => status))).to.deep.equal(new Set([200]));
    expect(targetsOfRequests(fleet, since)).to.not.be.empty;
    expect(IN_DC1).to.include.members(targetsOfRequests(fleet, since));
  });
});
