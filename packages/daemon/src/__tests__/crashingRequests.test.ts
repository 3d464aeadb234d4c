/** Requests under which targets end, in a fleet of keepers, entries and targets. */
import * as chai from 'chai';
import * as clock from '../clock';
import * as crashableTarget from './__fixtures__/crashableTarget';
import * as fleets from './__fixtures__/fleets';
import * as smallFleet from './__fixtures__/smallFleet';

const { expect } = chai;

/** Targets that may end under one request before it is known for what it does. */
const MOST_ENDS = 3;

/** By then all entries know, milliseconds: a look at the target, a word to the leader, and its push. */
const KNOWN_WITHIN_MS = 100;

const CRASHING = `${crashableTarget.CRASH_WORD} one`;

describe('requests under which targets end', () => {
  const started = new fleets.Fleets({ engines: 3, plain: 2 });

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
        const reply = await fleet.ask(i % smallFleet.ENTRIES, { service, kind, body: CRASHING });
        statuses.push(reply.status);
        await clock.pause(50);
      }
      expect(fleet.ends.length).to.equal(MOST_ENDS);
      expect(fleet.arrivalsOf(CRASHING).length).to.equal(MOST_ENDS);
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
    const copy = { service: 'plain', kind: 'safe', body: CRASHING } as const;
    for (let i = 0; i < MOST_ENDS; i++) await fleet.ask(i % smallFleet.ENTRIES, copy);
    await fleet.stopEntry(0);
    await fleet.startEntry(0);
    expect((await fleet.ask(0, copy)).status).to.equal(502);

    await fleet.stopKeeper(fleet.leader);
    const whileNobodyLeads = await fleet.ask(1, copy);
    expect([whileNobodyLeads.status, whileNobodyLeads.tookMs < 100]).to.deep.equal([502, true]);
    await smallFleet.until('another leader', () => fleet.leader >= 0);
    await fleet.ask(2, copy);

    await fleet.loseAll();
    for (let i = 0; i < smallFleet.ENTRIES; i++) await fleet.ask(i, copy);
    expect(fleet.ends.length).to.equal(MOST_ENDS);
  });

  /*
   * Summaries that ran beside the culprit broke off with it, were sent elsewhere, and would be refused with it once three
   * engines had ended under them too. Each is served here, also by the same engines at the same moments.
   */
  it('cost nothing to requests that run beside them', async () => {
    const fleet = await started.take('engines');
    const innocent = Array.from({ length: 40 }, async (_, i) => {
      await clock.pause(20 * i);
      return fleet.ask(i % smallFleet.ENTRIES, { service: 'engines', body: `summary ${i}` });
    });
    for (let i = 0; i < 8; i++) {
      await fleet.ask(i % smallFleet.ENTRIES, { service: 'engines', body: CRASHING });
      await clock.pause(40);
    }
    const replies = await Promise.all(innocent);
    const served = replies.filter(({ status, isWhole }) => status === 200 && isWhole);
    expect([served.length, fleet.ends.length]).to.deep.equal([innocent.length, MOST_ENDS]);
  });

  /* Copies come faster than one of them ends a target: those that came before that run, and no other one after the third. */
  it('stop at once when copies come all together', async () => {
    const fleet = await started.take('engines');
    const copies = Array.from({ length: 30 }, async (_, i) => {
      await clock.pause(15 * i);
      return fleet.ask(i % smallFleet.ENTRIES, { service: 'engines', body: CRASHING });
    });
    await Promise.all(copies);
    const third = fleet.ends[MOST_ENDS - 1].at;
    const later = fleet.arrivalsOf(CRASHING).filter(({ at }) => at > third + KNOWN_WITHIN_MS);
    expect(later).to.deep.equal([]);
  });
});
