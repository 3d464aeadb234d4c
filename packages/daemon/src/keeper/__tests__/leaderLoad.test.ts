/**
 * The load of a large fleet on a new leader: some 200 followers that all ask at once and some 150 targets that all announce
 * themselves, as after a loss of all. The numbers are those of the largest fleet served today.
 */
import * as chai from 'chai';
import * as clock from '../../clock';
import * as holding from '../../fleet/holding';
import * as messages from '../../fleet/messages';
import * as registryCopies from '../../fleet/registryCopies';
import type * as observer from '../../observability/observer';
import * as batchQueue from '../batchQueue';
import * as fixture from './__fixtures__/leaderFixture';

const { expect } = chai;

const { announcement, followRequest } = fixture;

const FOLLOWERS = 200;

const TARGETS = 150;

/** Pause between two announcements of different targets where each announces itself every 1.2 s, milliseconds. */
const BETWEEN_MS = 8;

function setUp(answerMs: number): Promise<fixture.LeaderFixture> {
  return fixture.leaderWithFollowers({ followers: FOLLOWERS, answerMs });
}

describe('a new leader of many followers', () => {
  /*
   * Callers of 200 entries were refused for four seconds after a power loss. Each of 150 targets announced itself to the
   * new leader, which pushed each to each entry: 30,000 calls, behind which it answered nobody, so that entries and
   * keepers took it for dead and began anew, time after time.
   */
  it('pushes the announcements of many targets together', async () => {
    const { leader, pushes } = await setUp(1);
    const startedAt = clock.steady();
    const announced: Promise<void>[] = [];
    for (let i = 0; i < TARGETS; i++) {
      announced.push(leader.announce(announcement(i)));
      await clock.pause(BETWEEN_MS);
    }
    await Promise.all(announced);
    // One push in 150 ms to each, and one more for the rest; on a busy machine it takes longer than 1.2 s.
    const windows = (clock.steady() - startedAt) / 150;
    expect(pushes.length).to.be.at.most(FOLLOWERS * (windows + 1));
    const first = pushes.filter(({ address }) => address === '10.0.0.0:1');
    expect(first.flatMap(({ news }) => news.records).length).to.equal(TARGETS);
  });

  /*
   * Requests would go on to a target that leaves. Its word must not wait behind those that are gathered, and what was
   * gathered goes with it, in order.
   */
  it('pushes at once that a target leaves', async () => {
    const { leader, pushes } = await setUp(1);
    const ready = leader.announce(announcement(1));
    await leader.announce(announcement(1, 'draining'));
    await ready;
    expect(pushes.length).to.equal(FOLLOWERS);
    expect(pushes[0].news.records.map(({ state }) => state)).to.deep.equal(['ready', 'draining']);
  });

  /*
   * A leader that falls behind would fall further behind with each push. Followers answer late; what is to be told meanwhile
   * goes in one push when the one before is answered, and in the order in which it came.
   */
  it('has one push under way to each follower, and loses nothing of what waits', async () => {
    const { leader, pushes } = await setUp(200);
    const announced = [1, 2, 3, 4, 5].map((i) => leader.announce(announcement(i, 'draining')));
    await Promise.all(announced);
    const first = pushes.filter(({ address }) => address === '10.0.0.0:1');
    expect(first.length).to.equal(2);
    const ids = first.flatMap(({ news }) => news.records).map(({ id }) => id);
    expect(ids).to.deep.equal(['t1', 't2', 't3', 't4', 't5']);
    expect(first[1].news.since).to.deep.equal(first[0].news.mark);
  });

  /*
   * A new leader would read the same records two hundred times while entries wait for their settings. Keepers bring what
   * they know; an entry is asked only where nobody else knows targets.
   */
  it('asks entries for their targets only where it knows none', async () => {
    const { leader } = await setUp(1);
    const empty = await leader.follow(followRequest(0));
    await leader.announce(announcement(1));
    const known = await leader.follow(followRequest(1));
    expect([empty?.lacksTargets, known?.lacksTargets]).to.deep.equal([true, false]);
  });

  /*
   * Entries lost a new leader a second after they had found it. All 150 targets that the disks had named spoke for themselves
   * within 1.2 s, and each time the leader told 195 entries, which knew and used them already.
   */
  it('tells followers with their next question that remembered targets live', async () => {
    const { leader, pushes, fleet } = await setUp(1);
    fleet.recall(Array.from({ length: TARGETS }, (_each, i) => announcement(i)));
    const before = await leader.follow(followRequest(0));
    for (let i = 0; i < TARGETS; i++) await leader.announce({ ...announcement(i), sequence: 2 });
    expect(pushes.length).to.equal(0);
    const mark = before?.news.mark ?? messages.NO_MARK;
    const after = await leader.follow({ ...followRequest(0), mark });
    const announced = after === undefined ? [] : registryCopies.unbundle(after.news);
    expect(announced.length).to.equal(TARGETS);
    expect(announced.some(({ isRemembered }) => isRemembered === true)).to.equal(false);
    await leader.announce({ ...announcement(1), state: 'draining', sequence: 3 });
    expect(pushes.length).to.equal(FOLLOWERS);
  });

  /*
   * A living leader would be replaced. Five hundred prompts come back within a turn of its loop, each costs it two
   * milliseconds, and its next heartbeat must not wait for all of them.
   */
  it('places a crowd of prompts a few in each turn', async () => {
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
   * Callers waited at entries that wrote their logs. An entry that has just started gets 155 targets at once, and the
   * line for each of them came before the first request; one line says as much, as the leader logs each target.
   */
  it('gives an entry its targets in one copy and one line of the log', async () => {
    const { leader } = await setUp(1);
    const announced = Array.from({ length: TARGETS }, (_each, i) =>
      leader.announce(announcement(i)),
    );
    await Promise.all(announced);
    const answer = await leader.follow(followRequest(1));
    const lines: string[] = [];
    const fleet = new holding.Holding({
      protocol: {} as holding.Options['protocol'],
      observer: { log: (event: string) => lines.push(event) } as unknown as observer.Observer,
      now: clock.steady,
      onCatalogue: () => undefined,
      onRecord: () => undefined,
    });
    expect(answer === undefined ? false : fleet.takeNews(answer.news)).to.equal(true);
    expect(fleet.registry.ready('s').length).to.equal(TARGETS);
    expect(lines).to.deep.equal(['registryTaken']);
    expect(answer?.news.packedRegistry?.length).to.be.lessThan(TARGETS * 40);
  });

  /*
   * One caller's summaries were refused as "a copy of it runs" for a minute. Their entry was killed while it ran one as a trial
   * and was back within a second under its name, so the leader never missed it and kept the trial of a process that was gone.
   */
  it('ends the trials of an entry that started again', async () => {
    const { leader } = await setUp(1);
    const lifetime = { id: 't0', bornAt: 1 };
    const run = { isTrial: false, agoMs: 0, sentAgoMs: 10 };
    leader.suspects.blame({ ended: [{ content: '4-content', lifetime, ...run }] });
    const ask = (entry: string): string => {
      const request = { content: '4-content', id: entry, entry, service: 's', excluded: [] };
      return leader.suspects.permit(request).kind;
    };
    const replies = [ask('e0'), ask('e1')];
    await leader.follow(followRequest(0));
    expect([...replies, ask('e1')]).to.deep.equal(['granted', 'busy', 'granted']);
  });

  /*
   * Prompts were placed without a view of the others for a tenth of a second longer than needed: entries ask a new leader only once
   * it has confirmed them, and it did so with its next heartbeat.
   */
  it('confirms followers at once that are new to it', async () => {
    const made = await fixture.leaderWithFollowers({ followers: 2, answerMs: 1 });
    await made.leader.follow(followRequest(0));
    expect(made.confirmations).to.deep.equal([true, true, false]);
  });
});
