/** Targets that report in their responses that they drain, while their announcements still say that they are ready. */
import * as chai from 'chai';
import * as clock from '../clock';
import * as fleetPool from './__fixtures__/fleetPool';
import * as smallFleet from './__fixtures__/smallFleet';

const { expect } = chai;

const LOAD_MS = 1_000;

/** Three times this is less than the time for which entries accept keys without a leader. */
const LEADERLESS_LOAD_MS = 800;
const LEADERLESS_INTERVAL_MS = 20;

/** Time in which an entry reads its own target's response, or learns from the leader what another entry read. */
const PROPAGATION_MS = 300;

/** Source addresses of the entries that sent a request to the first target after `since`. */
function sendersToFirstTarget(
  { targets, messages }: smallFleet.SmallFleet,
  since: number,
): string[] {
  const requests = messages.filter(({ name, isRequest, at }) => {
    return isRequest && at > since && targets[0].id.startsWith(`${name}-`);
  });
  return [...new Set(requests.map(({ source }) => source))].sort();
}

describe('targets that report in a response that they drain', () => {
  const pool = new fleetPool.FleetPool({ engines: 2, plain: 1 });

  /** Guards against entries that keep sending to a draining target until each has received a response itself. */
  (['engines', 'plain'] as const).forEach((service) => {
    it(`get no new request from any entry, as ${service} targets, even if they announce later that they are ready`, async () => {
      const fleet = await pool.take(service);
      const options = { service, kind: 'safe' } as const;
      await fleet.sendLoad(options, LOAD_MS);
      fleet.targets[0].isDraining = true;
      // One entry receives such a response; the others learn it from the leader.
      while (sendersToFirstTarget(fleet, 0).length === 0 || fleet.drainingSince === undefined) {
        await fleet.send(0, { ...options, body: 'x' });
      }
      const since = fleet.drainingSince + PROPAGATION_MS;
      const replies = await fleet.sendLoad(options, 3 * LOAD_MS);
      expect(sendersToFirstTarget(fleet, since)).to.deep.equal([]);
      expect(new Set(replies.map(({ status }) => status))).to.deep.equal(new Set([200]));

      // The next lifetime of the target is used again, and serves everything when all others drain.
      fleet.targets.forEach((target) => Object.assign(target, { isDraining: true }));
      fleet.targets[0].isDraining = false;
      await fleet.targets[0].restart();
      await fleet.sendLoad(options, 2 * LOAD_MS);
      const before = fleet.arrivals.length;
      await fleet.sendLoad(options, LOAD_MS);
      const arrived = fleet.arrivals.slice(before).map(({ target }) => target);
      expect(new Set(arrived)).to.deep.equal(new Set([fleet.targets[0].id]));
    });
  });

  /** Guards against an entry that waits for an update from the leader while there is no leader. */
  it('get no new request from an entry that received the response, without a leader, and finish their streams', async () => {
    const fleet = await pool.take('engines');
    const options = { service: 'engines', kind: 'streaming' } as const;
    await Promise.all([0, 1].map((i) => fleet.stopKeeper(i)));
    await smallFleet.until('no leader', () => fleet.leader < 0);
    const first = await fleet.sendLoad(options, LEADERLESS_LOAD_MS, LEADERLESS_INTERVAL_MS);
    const draining = fleet.targets.slice(0, -1);
    draining.forEach((target) => Object.assign(target, { isDraining: true }));
    const since = clock.steady();
    const later = await fleet.sendLoad(options, 2 * LEADERLESS_LOAD_MS, LEADERLESS_INTERVAL_MS);
    const toDraining = fleet.messages.filter(({ at, name }) => at > since && name !== 't7');
    const late = toDraining.filter(({ at, source, name }) => {
      const earliest = toDraining.find((each) => each.source === source && each.name === name);
      return at > (earliest?.at ?? Infinity) + PROPAGATION_MS;
    });
    expect(late).to.deep.equal([]);
    const replies = [...first, ...later];
    expect(replies.every(({ status, isComplete }) => status === 200 && isComplete)).to.equal(true);
  });
});
