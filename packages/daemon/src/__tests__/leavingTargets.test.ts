/** Targets that say in their answers that they leave, and that no announcement says so of. */
import * as chai from 'chai';
import * as clock from '../clock';
import * as fleetPool from './__fixtures__/fleetPool';
import * as smallFleet from './__fixtures__/smallFleet';

const { expect } = chai;

const LOAD_MS = 1_000;

/** Entries serve keys for some seconds without a leader, milliseconds; three of these are less. */
const LEADERLESS_LOAD_MS = 800;
const LEADERLESS_INTERVAL_MS = 20;

/** An entry has read its target's answer, or heard from the leader what another one read, within so long, milliseconds. */
const PROPAGATION_MS = 300;

/** Entries that sent a request to the first target since a time, by their addresses. */
function sendersToFirstTarget(
  { targets, messages }: smallFleet.SmallFleet,
  since: number,
): string[] {
  const ofFirst = messages.filter(({ name, isRequest, at }) => {
    return isRequest && at > since && targets[0].id.startsWith(`${name}-`);
  });
  return [...new Set(ofFirst.map(({ source }) => source))].sort();
}

describe('targets that say in an answer that they leave', () => {
  const started = new fleetPool.FleetPool({ engines: 2, plain: 1 });

  /** Guards against entries that go on sending to a target that leaves until each has met an answer of its own. */
  (['engines', 'plain'] as const).forEach((service) => {
    it(`get no new request from any entry, as ${service}; a later word that they are ready changes nothing`, async () => {
      const fleet = await started.take(service);
      const question = { service, kind: 'safe' } as const;
      await fleet.sendLoad(question, LOAD_MS);
      fleet.targets[0].isDraining = true;
      // One entry meets it; the others hear of that.
      while (sendersToFirstTarget(fleet, 0).length === 0 || fleet.drainingSince === undefined) {
        await fleet.send(0, { ...question, body: 'x' });
      }
      const since = fleet.drainingSince + PROPAGATION_MS;
      const replies = await fleet.sendLoad(question, 3 * LOAD_MS);
      expect(sendersToFirstTarget(fleet, since)).to.deep.equal([]);
      expect(new Set(replies.map(({ status }) => status))).to.deep.equal(new Set([200]));

      // Its next lifetime is as good as any other, and serves all when the others leave.
      fleet.targets.forEach((target) => Object.assign(target, { isDraining: true }));
      fleet.targets[0].isDraining = false;
      await fleet.targets[0].restart();
      await fleet.sendLoad(question, 2 * LOAD_MS);
      const before = fleet.arrivals.length;
      await fleet.sendLoad(question, LOAD_MS);
      const arrived = fleet.arrivals.slice(before).map(({ target }) => target);
      expect(new Set(arrived)).to.deep.equal(new Set([fleet.targets[0].id]));
    });
  });

  /** Guards against an entry that waits for a leader's word while nobody leads. */
  it('get no new request from an entry that has read it, where nobody leads, and finish their streams', async () => {
    const fleet = await started.take('engines');
    const question = { service: 'engines', kind: 'streaming' } as const;
    await Promise.all([0, 1].map((i) => fleet.stopKeeper(i)));
    await smallFleet.until('no leader', () => fleet.leader < 0);
    const first = await fleet.sendLoad(question, LEADERLESS_LOAD_MS, LEADERLESS_INTERVAL_MS);
    const leaving = fleet.targets.slice(0, -1);
    leaving.forEach((target) => Object.assign(target, { isDraining: true }));
    const since = clock.steady();
    const later = await fleet.sendLoad(question, 2 * LEADERLESS_LOAD_MS, LEADERLESS_INTERVAL_MS);
    const met = fleet.messages.filter(({ at, name }) => at > since && name !== 't7');
    const late = met.filter(({ at, source, name }) => {
      const earliest = met.find((each) => each.source === source && each.name === name);
      return at > (earliest?.at ?? Infinity) + PROPAGATION_MS;
    });
    expect(late).to.deep.equal([]);
    const replies = [...first, ...later];
    expect(replies.every(({ status, isComplete }) => status === 200 && isComplete)).to.equal(true);
  });
});
