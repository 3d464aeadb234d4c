/** Words of thousands of targets that a keeper passes on to the leader. */
import * as chai from 'chai';
import type * as domain from '@celerydrift/domain';
import * as clock from '../../clock';
import * as announcementRelay from '../announcementRelay';
import * as fixture from './__fixtures__/leaderFixture';

const { expect } = chai;

type Announcement = domain.registry.registry.Announcement;

const TARGETS = 3_000;

describe('announcements passed on by a keeper', () => {
  /*
   * No settings were acknowledged any more. 3,000 targets said every 1.2 s that they live, and the keepers called the leader for
   * each of them: it answered some hundred a second, the others timed out and closed the connection for all that was under way.
   */
  it('go together as long as the leader is busy, each once, with its own answer', async () => {
    const passed: Announcement[][] = [];
    const relay = new announcementRelay.AnnouncementRelay(async (records) => {
      passed.push(records);
      await clock.pause(5);
      return records.every(({ id }) => id !== 't0');
    });
    const relayed = Array.from({ length: TARGETS }, (_each, i) => {
      return relay.relay(fixture.announcement(i));
    });
    const answers = await Promise.all(relayed);
    expect(passed.length).to.be.below(TARGETS / 100);
    const ids = passed.flat().map(({ id }) => id);
    expect(new Set(ids).size).to.equal(ids.length);
    expect(ids.length).to.equal(TARGETS);
    const first = passed.find((each) => each.some(({ id }) => id === 't0')) ?? [];
    expect(answers.filter((isTaken) => !isTaken).length).to.equal(first.length);
  });

  it('go at once in a calm fleet', async () => {
    const passed: Announcement[][] = [];
    const relay = new announcementRelay.AnnouncementRelay(async (records) => {
      passed.push(records);
      return true;
    });
    void relay.relay(fixture.announcement(1));
    expect(passed.map(({ length }) => length)).to.deep.equal([1]);
    expect(await relay.relay(fixture.announcement(2))).to.equal(true);
  });
});
