/**
 * Load of a large fleet on a new leader, as after an outage of all VMs: some 200 followers that all poll at once and
 * some 150 targets that all announce themselves.
 */
import * as chai from 'chai';
import * as clock from '../../clock';
import * as fleetState from '../../fleet/fleetState';
import * as messages from '../../fleet/messages';
import * as registrySnapshots from '../../fleet/registrySnapshots';
import type * as observer from '../../observability/observer';
import * as batchQueue from '../batchQueue';
import * as fixture from './__fixtures__/leaderFixture';

const { expect } = chai;

const { announcement, followRequest } = fixture;

const FOLLOWERS = 200;

const TARGETS = 150;

/** Interval between announcements of different targets if each announces itself every 1.2 s, in milliseconds. */
const ANNOUNCEMENT_INTERVAL_MS = 8;

function setUp(answerMs: number): Promise<fixture.LeaderFixture> {
  return fixture.leaderWithFollowers({ followers: FOLLOWERS, answerMs });
}

describe('a new leader of many followers', () => {
  /*
   * Guards against a push per announcement. After a power loss 150 targets announced themselves to the new leader,
   * which pushed each to each of 200 entries: 30,000 calls, behind which it answered nobody, so that entries and
   * keepers took it for dead again and again, and callers were refused for four seconds.
   */
  it('batches the announcements of many targets into few pushes', async () => {
    const { leader, pushes } = await setUp(1);
    const startedAt = clock.steady();
    const announced: Promise<void>[] = [];
    for (let i = 0; i < TARGETS; i++) {
      announced.push(leader.announce(announcement(i)));
      await clock.sleep(ANNOUNCEMENT_INTERVAL_MS);
    }
    await Promise.all(announced);
    // One push to each follower every 150 ms and one more for the rest; on a busy machine the announcements take
    // longer than 1.2 s.
    const windows = (clock.steady() - startedAt) / 150;
    expect(pushes.length).to.be.at.most(FOLLOWERS * (windows + 1));
    const first = pushes.filter(({ address }) => address === '10.0.0.0:1');
    expect(first.flatMap(({ update }) => update.records).length).to.equal(TARGETS);
  });

  /*
   * Guards against requests to a draining target: its announcement must not wait for the batch window, and changes
   * collected before go with it, in order.
   */
  it('pushes a draining target immediately', async () => {
    const { leader, pushes } = await setUp(1);
    const ready = leader.announce(announcement(1));
    await leader.announce(announcement(1, 'draining'));
    await ready;
    expect(pushes.length).to.equal(FOLLOWERS);
    expect(pushes[0].update.records.map(({ state }) => state)).to.deep.equal(['ready', 'draining']);
  });

  /*
   * Guards against a leader that falls further behind with each push: followers answer late, and the changes made
   * meanwhile must go in one push, in order, once the previous one is acknowledged.
   */
  it('has at most one push in flight to each follower, and loses no queued change', async () => {
    const { leader, pushes } = await setUp(200);
    const announced = [1, 2, 3, 4, 5].map((i) => leader.announce(announcement(i, 'draining')));
    await Promise.all(announced);
    const first = pushes.filter(({ address }) => address === '10.0.0.0:1');
    expect(first.length).to.equal(2);
    const ids = first.flatMap(({ update }) => update.records).map(({ id }) => id);
    expect(ids).to.deep.equal(['t1', 't2', 't3', 't4', 't5']);
    expect(first[1].update.since).to.deep.equal(first[0].update.mark);
  });

  /*
   * Guards against a new leader that decodes the same records two hundred times while entries wait for their
   * settings: keepers send what they know, and entries are asked only if nobody else knows targets.
   */
  it('asks entries for their targets only if it knows none', async () => {
    const { leader } = await setUp(1);
    const empty = await leader.follow(followRequest(0));
    await leader.announce(announcement(1));
    const informed = await leader.follow(followRequest(1));
    expect([empty?.lacksTargets, informed?.lacksTargets]).to.deep.equal([true, false]);
  });

  /*
   * Guards against a new leader that is too busy to answer: all 150 targets loaded from disk announced themselves
   * within 1.2 s, and each time the leader pushed that to 195 entries, which used the targets already and lost the
   * leader a second after they had found it.
   */
  it('reports confirmations of targets loaded from disk with the next poll', async () => {
    const { leader, pushes, fleet } = await setUp(1);
    fleet.loadRecords(Array.from({ length: TARGETS }, (_each, i) => announcement(i)));
    const before = await leader.follow(followRequest(0));
    for (let i = 0; i < TARGETS; i++) await leader.announce({ ...announcement(i), sequence: 2 });
    expect(pushes.length).to.equal(0);
    const mark = before?.news.mark ?? messages.NO_VERSION;
    const after = await leader.follow({ ...followRequest(0), mark });
    const announced = after === undefined ? [] : registrySnapshots.unpackRecords(after.news);
    expect(announced.length).to.equal(TARGETS);
    expect(announced.some(({ isRemembered }) => isRemembered === true)).to.equal(false);
    await leader.announce({ ...announcement(1), state: 'draining', sequence: 3 });
    expect(pushes.length).to.equal(FOLLOWERS);
  });

  /*
   * Guards against the replacement of a live leader: five hundred prompts return within a turn of the event loop,
   * each costs it two milliseconds, and its next heartbeat must not wait for all of them.
   */
  it('places a burst of prompts in small batches per turn', async () => {
    const queue = new batchQueue.BatchQueue();
    const order: string[] = [];
    const placed = [1, 2, 3, 4, 5, 6, 7, 8, 9, 10].map((i) =>
      queue.run(() => {
        order.push(`prompt ${i}`);
      }),
    );
    const between = async (): Promise<void> => {
      while (order.length < 11) {
        await new Promise(setImmediate);
        if (order.length > 0) order.push('other work');
      }
    };
    await Promise.all([...placed, between()]);
    expect(order.indexOf('other work')).to.be.within(1, 4);
    expect(order.filter((each) => each !== 'other work')).to.deep.equal(
      placed.map((_each, i) => `prompt ${i + 1}`),
    );
    const failing = queue.run(() => Promise.reject(new Error('no')));
    expect(await failing.catch((error: Error) => error.message)).to.equal('no');
  });

  /*
   * Guards against callers that wait while an entry writes its log: an entry that has just started receives 155
   * targets at once, and logged a line for each before it served the first request. One line is enough, as the
   * leader logs each target.
   */
  it('sends an entry its targets in one snapshot, logged in one line', async () => {
    const { leader } = await setUp(1);
    const announced = Array.from({ length: TARGETS }, (_each, i) =>
      leader.announce(announcement(i)),
    );
    await Promise.all(announced);
    const answer = await leader.follow(followRequest(1));
    const lines: string[] = [];
    const fleet = new fleetState.FleetState({
      protocol: {} as fleetState.Options['protocol'],
      observer: { log: (event: string) => lines.push(event) } as unknown as observer.Observer,
      now: clock.steady,
      onCatalogue: () => undefined,
      onRecord: () => undefined,
    });
    expect(answer === undefined ? false : fleet.applyUpdate(answer.news)).to.equal(true);
    expect(fleet.registry.ready('s').length).to.equal(TARGETS);
    expect(lines).to.deep.equal(['registryTaken']);
    expect(answer?.news.packedRegistry?.length).to.be.lessThan(TARGETS * 40);
  });

  /*
   * Guards against a suspect request that is refused as "another request with the same fingerprint is running" for a
   * minute: an entry was killed during a canary run and was back within a second under the same name, so the leader
   * never missed it and kept the run of a process that was gone.
   */
  it('ends the canary runs of an entry that restarted', async () => {
    const { leader } = await setUp(1);
    const lifetime = { id: 't0', bornAt: 1 };
    const run = { isTrial: false, agoMs: 0, sentAgoMs: 10 };
    leader.suspects.blame({ ended: [{ content: '4-content', lifetime, ...run }] });
    const requestPermit = (entry: string): string => {
      const request = { content: '4-content', id: entry, entry, service: 's', excluded: [] };
      return leader.suspects.permit(request).kind;
    };
    const replies = [requestPermit('e0'), requestPermit('e1')];
    await leader.follow(followRequest(0));
    expect([...replies, requestPermit('e1')]).to.deep.equal(['granted', 'busy', 'granted']);
  });

  /*
   * Guards against a delay of a tenth of a second before placements: entries send placement requests to a new leader
   * only once it has confirmed them, and it did so only with its next heartbeat.
   */
  it('confirms new followers immediately', async () => {
    const setup = await fixture.leaderWithFollowers({ followers: 2, answerMs: 1 });
    await setup.leader.follow(followRequest(0));
    expect(setup.confirmations).to.deep.equal([true, true, false]);
  });
});
