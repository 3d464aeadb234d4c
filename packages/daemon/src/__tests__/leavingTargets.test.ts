/** Targets that say in their answers that they leave, and that no announcement says so of. */
import * as chai from 'chai';
import * as clock from '../clock';
import * as fleets from './__fixtures__/fleets';
import * as smallFleet from './__fixtures__/smallFleet';

const { expect } = chai;

const PRESS_MS = 1_000;

/** Entries serve keys for some seconds without a leader, milliseconds; three of these are less. */
const LONE_PRESS_MS = 800;
const LONE_EVERY_MS = 20;

/** An entry has read its target's answer, or heard from the leader what another one read, within so long, milliseconds. */
const TOLD_WITHIN_MS = 300;

/** Entries that sent a request to the first target since a time, by their addresses. */
function senders({ targets, messages }: smallFleet.SmallFleet, since: number): string[] {
  const ofFirst = messages.filter(({ name, isRequest, at }) => {
    return isRequest && at > since && targets[0].id.startsWith(`${name}-`);
  });
  return [...new Set(ofFirst.map(({ source }) => source))].sort();
}

describe('targets that say in an answer that they leave', () => {
  const started = new fleets.Fleets({ engines: 2, plain: 1 });

  /** Guards against entries that go on sending to a target that leaves until each has met an answer of its own. */
  (['engines', 'plain'] as const).forEach((service) => {
    it(`get no new request from any entry, as ${service}; a later word that they are ready changes nothing`, async () => {
      const fleet = await started.take(service);
      const question = { service, kind: 'safe' } as const;
      await fleet.press(question, PRESS_MS);
      fleet.targets[0].isLeaving = true;
      // One entry meets it; the others hear of that.
      while (senders(fleet, 0).length === 0 || fleet.leavingSince === undefined) {
        await fleet.ask(0, { ...question, body: 'x' });
      }
      const since = fleet.leavingSince + TOLD_WITHIN_MS;
      const replies = await fleet.press(question, 3 * PRESS_MS);
      expect(senders(fleet, since)).to.deep.equal([]);
      expect(new Set(replies.map(({ status }) => status))).to.deep.equal(new Set([200]));

      // Its next lifetime is as good as any other, and serves all when the others leave.
      fleet.targets.forEach((target) => Object.assign(target, { isLeaving: true }));
      fleet.targets[0].isLeaving = false;
      await fleet.targets[0].startAgain();
      await fleet.press(question, 2 * PRESS_MS);
      const before = fleet.arrivals.length;
      await fleet.press(question, PRESS_MS);
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
    const first = await fleet.press(question, LONE_PRESS_MS, LONE_EVERY_MS);
    const leaving = fleet.targets.slice(0, -1);
    leaving.forEach((target) => Object.assign(target, { isLeaving: true }));
    const since = clock.steady();
    const later = await fleet.press(question, 2 * LONE_PRESS_MS, LONE_EVERY_MS);
    const met = fleet.messages.filter(({ at, name }) => at > since && name !== 't7');
    const late = met.filter(({ at, source, name }) => {
      const earliest = met.find((each) => each.source === source && each.name === name);
      return at > (earliest?.at ?? Infinity) + TOLD_WITHIN_MS;
    });
    expect(late).to.deep.equal([]);
    const replies = [...first, ...later];
    expect(replies.every(({ status, isWhole }) => status === 200 && isWhole)).to.equal(true);
  });
});
