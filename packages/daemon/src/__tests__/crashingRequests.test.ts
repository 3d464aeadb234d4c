/** Requests under which targets end, in a fleet of keepers, entries and targets. */
import * as chai from 'chai';
import * as clock from '../clock';
import * as crashableTarget from './__fixtures__/crashableTarget';
import * as fleetPool from './__fixtures__/fleetPool';
import * as smallFleet from './__fixtures__/smallFleet';

const { expect } = chai;

/** Targets that may end under one request before it is known for what it does. */
const MAX_CRASHES = 3;

/** By then all entries know, milliseconds: a look at the target, a word to the leader, and its push. */
const PROPAGATION_MS = 100;

const CRASHING_BODY = `${crashableTarget.CRASH_MARKER} one`;

describe('requests under which targets end', () => {
  const started = new fleetPool.FleetPool({ engines: 3, plain: 2 });

  /*
   * Foremen saw their summaries break off for half a minute: 44 of 23 engines and their successors had ended. One request
   * crashed each engine that began to run it. Its caller sent it again under new ids, at any entry; each attempt was
   * given two engines, as nothing was kept of the attempts before. Lengths and times of the placements showed that it was
   * among what ran at each crash.
   */
  (['engines', 'plain'] as const).forEach((service) => {
    it(`stay away from ${service} after the third, at whichever entry they come`, async () => {
      const fleet = await started.take(service);
      const kind = service === 'engines' ? 'streaming' : 'safe';
      const statuses: number[] = [];
      for (let i = 0; i < 12; i++) {
        const reply = await fleet.send(i % smallFleet.ENTRIES, {
          service,
          kind,
          body: CRASHING_BODY,
        });
        statuses.push(reply.status);
        await clock.pause(50);
      }
      expect(fleet.crashes.length).to.equal(MAX_CRASHES);
      expect(fleet.arrivalsWithBody(CRASHING_BODY).length).to.equal(MAX_CRASHES);
      // They have run, so no answer may promise that they didn't.
      expect(new Set(statuses)).to.deep.equal(new Set([502]));
    });
  });

  /*
   * The same, after the fleet has learned it: an entry is started again, the leader dies, and at last all VMs lose power at
   * once. None of them may have to learn it anew, as that would cost three targets each time.
   */
  it('are known to an entry that starts again, to another leader, and after a loss of all', async () => {
    const fleet = await started.take('plain');
    const copy = { service: 'plain', kind: 'safe', body: CRASHING_BODY } as const;
    for (let i = 0; i < MAX_CRASHES; i++) await fleet.send(i % smallFleet.ENTRIES, copy);
    await fleet.stopEntry(0);
    await fleet.startEntry(0);
    expect((await fleet.send(0, copy)).status).to.equal(502);

    await fleet.stopKeeper(fleet.leader);
    const whileNobodyLeads = await fleet.send(1, copy);
    expect([whileNobodyLeads.status, whileNobodyLeads.tookMs < 100]).to.deep.equal([502, true]);
    await smallFleet.until('another leader', () => fleet.leader >= 0);
    await fleet.send(2, copy);

    await fleet.restartAll();
    for (let i = 0; i < smallFleet.ENTRIES; i++) await fleet.send(i, copy);
    expect(fleet.crashes.length).to.equal(MAX_CRASHES);
  });

  /*
   * Summaries that ran beside the culprit broke off with it, were sent elsewhere, and would be refused with it once three
   * engines had ended under them too. Each is served here, also by the same engines at the same moments.
   */
  it('cost nothing to requests that run beside them', async () => {
    const fleet = await started.take('engines');
    const innocent = Array.from({ length: 40 }, async (_, i) => {
      await clock.pause(20 * i);
      return fleet.send(i % smallFleet.ENTRIES, { service: 'engines', body: `summary ${i}` });
    });
    for (let i = 0; i < 8; i++) {
      await fleet.send(i % smallFleet.ENTRIES, { service: 'engines', body: CRASHING_BODY });
      await clock.pause(40);
    }
    const replies = await Promise.all(innocent);
    const served = replies.filter(({ status, isComplete }) => status === 200 && isComplete);
    expect([served.length, fleet.crashes.length]).to.deep.equal([innocent.length, MAX_CRASHES]);
  });

  /* Copies come faster than one of them ends a target: those that came before that run, and no other one after the third. */
  it('stop at once when copies come all together', async () => {
    const fleet = await started.take('engines');
    const copies = Array.from({ length: 30 }, async (_, i) => {
      await clock.pause(15 * i);
      return fleet.send(i % smallFleet.ENTRIES, { service: 'engines', body: CRASHING_BODY });
    });
    await Promise.all(copies);
    const third = fleet.crashes[MAX_CRASHES - 1].at;
    const later = fleet
      .arrivalsWithBody(CRASHING_BODY)
      .filter(({ at }) => at > third + PROPAGATION_MS);
    expect(later).to.deep.equal([]);
  });
});
