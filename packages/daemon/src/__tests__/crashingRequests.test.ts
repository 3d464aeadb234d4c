/** Requests under which targets end, in a fleet of keepers, entries and targets. */
import * as chai from 'chai';
import * as clock from '../clock';
import * as crashableTarget from './__fixtures__/crashableTarget';
import * as smallFleet from './__fixtures__/smallFleet';

const { expect } = chai;

/** Targets that may end under one request before it is known for what it does. */
const MOST_ENDS = 3;

const CRASHING = `${crashableTarget.CRASH_WORD} one`;

describe('requests under which targets end', () => {
  let fleet: smallFleet.SmallFleet;

  afterEach(async () => fleet.stop());

  /*
   * Foremen saw their summaries break off for half a minute: 44 of 23 engines and their successors had ended. One request
   * crashed each engine that began to run it. Its caller sent it again under new ids, at any entry; each attempt was
   * given two engines, as nothing was kept of the attempts before. Lengths and times of the placements showed that it was
   * among what ran at each crash.
   */
  (['engines', 'plain'] as const).forEach((service) => {
    it(`stay away from ${service} after the third, at whichever entry they come`, async () => {
      fleet = await smallFleet.SmallFleet.start(service);
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
});
