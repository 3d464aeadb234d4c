/** Batching of the announcements of thousands of targets that a keeper forwards to the leader. */
import * as chai from 'chai';
import type * as domain from '@celerydrift/domain';
import * as clock from '../../clock';
import * as announcementRelay from '../announcementRelay';
import * as fixture from './__fixtures__/leaderFixture';

const { expect } = chai;

type Announcement = domain.registry.registry.Announcement;

const TARGETS = 3_000;

describe('announcements forwarded by a keeper', () => {
  /*
   * Guards against announcements that keep the leader from acknowledging settings. 3,000 targets announced themselves
   * every 1.2 s, and the keepers called the leader for each: it answered some hundred a second, the others timed out
   * and closed the connection for all calls in flight.
   */
  it('are batched while the leader is busy, each forwarded once and answered by its batch', async () => {
    const forwarded: Announcement[][] = [];
    const relay = new announcementRelay.AnnouncementRelay(async (records) => {
      forwarded.push(records);
      await clock.sleep(5);
      return records.every(({ id }) => id !== 't0');
    });
    const relayed = Array.from({ length: TARGETS }, (_each, i) => {
      return relay.relay(fixture.announcement(i));
    });
    const answers = await Promise.all(relayed);
    expect(forwarded.length).to.be.below(TARGETS / 100);
    const ids = forwarded.flat().map(({ id }) => id);
    expect(new Set(ids).size).to.equal(ids.length);
    expect(ids.length).to.equal(TARGETS);
    const first = forwarded.find((each) => each.some(({ id }) => id === 't0')) ?? [];
    expect(answers.filter((isAccepted) => !isAccepted).length).to.equal(first.length);
  });

  it('are forwarded immediately in a calm fleet', async () => {
    const forwarded: Announcement[][] = [];
    const relay = new announcementRelay.AnnouncementRelay(async (records) => {
      forwarded.push(records);
      return true;
    });
    void relay.relay(fixture.announcement(1));
    expect(forwarded.map(({ length }) => length)).to.deep.equal([1]);
    expect(await relay.relay(fixture.announcement(2))).to.equal(true);
  });

  // Guards against an error that ends the process, or keeps all later announcements from being forwarded.
  it('are forwarded after others whose forwarding failed unexpectedly', async () => {
    let failures = 9;
    const relay = new announcementRelay.AnnouncementRelay(async () => {
      failures -= 1;
      if (failures >= 0) throw new TypeError('unexpected');
      return true;
    });
    const answers: unknown[] = [];
    for (let i = 0; i < 10; i++) {
      answers.push(await relay.relay(fixture.announcement(i)).catch(() => 'failed'));
    }
    expect(answers).to.deep.equal([...Array<string>(9).fill('failed'), true]);
  });
});
