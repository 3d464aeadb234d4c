/**
 * The load of a fleet of 300 entries and 3,000 targets on its leader: all targets announce themselves when the fleet
 * starts, and all entries ask a new leader for the registry at once. Bounds follow from the leader's link.
 */
import * as crypto from 'node:crypto';
import * as chai from 'chai';
import type * as domain from '@celerydrift/domain';
import * as clock from '../../clock';
import * as holding from '../../fleet/holding';
import * as messages from '../../fleet/messages';
import * as registryCopies from '../../fleet/registryCopies';
import type * as observer from '../../observability/observer';
import * as framing from '../../rpc/framing';
import * as fixture from './__fixtures__/leaderFixture';

const { expect } = chai;

const FOLLOWERS = 300;

const TARGETS = 3_000;

/** What the leader's link carries in a second, bytes: 170 Mbit/s. */
const LINK_BYTES_PER_S = 21_000_000;

/** Targets announce themselves within so long, milliseconds. */
const ANNOUNCING_MS = 1_200;

/** Announcements come in so many groups, each within one turn of the loop. */
const GROUPS = 60;

/** Ids and births as unlike as real ones, which don't compress. */
function announcement(i: number): domain.registry.registry.Announcement {
  const digest = crypto.createHash('sha256').update(String(i)).digest();
  const bornAt = 1_700_000_000_000 + digest.readUInt32BE(8);
  return { ...fixture.announcement(i), id: `i-${digest.toString('hex', 0, 5)}`, bornAt };
}

/** Notes of a follower that takes what it is told. */
function makeFollower(): holding.Holding {
  return new holding.Holding({
    protocol: {} as holding.Options['protocol'],
    observer: { log: () => undefined } as unknown as observer.Observer,
    now: clock.steady,
    onCatalogue: () => undefined,
    onRecord: () => undefined,
  });
}

/** All targets announce themselves; `between` runs after each group. */
async function announceAll(
  { leader }: fixture.LeaderFixture,
  between: () => Promise<void> = async () => undefined,
): Promise<void> {
  const announced: Promise<void>[] = [];
  const perGroup = TARGETS / GROUPS;
  for (let group = 0; group < GROUPS; group++) {
    for (let i = 0; i < perGroup; i++) {
      announced.push(leader.announce(announcement(group * perGroup + i)));
    }
    await between();
    await clock.pause(ANNOUNCING_MS / GROUPS);
  }
  await Promise.all(announced);
}

function bytesOf(news: messages.News): number {
  return framing.encode(news).length;
}

describe('a leader of 300 entries and 3,000 targets', () => {
  /*
   * Nothing was served for the whole day. Each announcement went to each entry in full, 230 bytes 900,000 times, which takes the
   * leader's link ten seconds; pushes and questions timed out, their connections were closed and all was sent again.
   */
  it('tells its followers of all targets within two seconds of its link', async () => {
    const setup = await fixture.leaderWithFollowers({ followers: FOLLOWERS, answerMs: 20 });
    await announceAll(setup);
    const sent = setup.pushes.reduce((sum, { news }) => sum + bytesOf(news), 0);
    expect(sent).to.be.below(2 * LINK_BYTES_PER_S);
    const one = makeFollower();
    const first = setup.pushes.filter(({ address }) => address === fixture.addressOf(0));
    first.forEach(({ news }) => one.takeNews(news));
    expect(one.registry.ready('s').length).to.equal(TARGETS);
  });

  /*
   * While all targets announced themselves, an entry that asked twice a second was too far behind each time and got the whole
   * registry again.
   */
  it('sends a follower that asks meanwhile only what it lacks', async () => {
    const setup = await fixture.leaderWithFollowers({ followers: 1, answerMs: 1 });
    const one = makeFollower();
    const begin = await setup.leader.follow(fixture.followRequest(0));
    if (begin !== undefined) one.takeNews(begin.news);
    const announced = Array.from({ length: TARGETS }, (_each, i) => {
      return setup.leader.announce(announcement(i));
    });
    const answer = await setup.leader.follow({ ...fixture.followRequest(0), mark: one.mark });
    await Promise.all(announced);
    expect(answer?.news.packedRegistry).to.equal(undefined);
    const last = await setup.leader.follow({ ...fixture.followRequest(0), mark: one.mark });
    if (last !== undefined) one.takeNews(last.news);
    expect(one.registry.ready('s').length).to.equal(TARGETS);
  });

  /*
   * All entries came back to a new leader at once, and each got the whole registry in the answer to its first question: together
   * two seconds of the leader's link. Every answer came after its timeout, so each entry looked for another leader, and asked
   * for the same again; 30 s after a kill of all processes nothing was served yet.
   */
  it('answers all who find it at once, and hands out the registry by turns', async () => {
    let now = 0;
    const setup = await fixture.leaderWithFollowers({ followers: 0, answerMs: 1, now: () => now });
    setup.fleet.recall(Array.from({ length: TARGETS }, (_each, i) => announcement(i)));
    const entries = Array.from({ length: FOLLOWERS }, () => makeFollower());
    let firstBytes = 0;
    let rounds = 0;
    const lacking = (): holding.Holding[] => {
      return entries.filter(({ registry }) => registry.ready('s').length < TARGETS);
    };
    while (lacking().length > 0 && rounds < 100) {
      let sent = 0;
      for (let i = 0; i < FOLLOWERS; i++) {
        const answer = await setup.leader.follow({
          ...fixture.followRequest(i),
          mark: entries[i].mark,
        });
        expect(answer?.kind).to.equal('confirmed');
        if (answer === undefined) return;
        sent += bytesOf(answer.news);
        entries[i].takeNews(answer.news);
      }
      if (rounds === 0) firstBytes = sent;
      rounds += 1;
      now += 500;
    }
    // Half of what the link carries within the pause between two questions.
    expect(firstBytes).to.be.below(LINK_BYTES_PER_S / 4);
    expect(rounds).to.be.below(20);
  });

  /*
   * A new leader stood still for half a second. While the targets that its disk had named spoke for themselves, each entry that asked
   * got a copy that was packed anew, or packed changes of its own beside it.
   */
  it('packs few copies for all who ask while its targets speak for themselves', async () => {
    const setup = await fixture.leaderWithFollowers({ followers: 0, answerMs: 1 });
    setup.fleet.recall(Array.from({ length: TARGETS }, (_each, i) => announcement(i)));
    const packed = new Set<Uint8Array>();
    const perFollower = TARGETS / FOLLOWERS;
    for (let i = 0; i < FOLLOWERS; i++) {
      const answer = await setup.leader.follow(fixture.followRequest(i));
      const { packedRegistry, packedRecords } = answer?.news ?? {};
      [packedRegistry, packedRecords].forEach((each) => each !== undefined && packed.add(each));
      for (let j = 0; j < perFollower; j++) {
        await setup.leader.announce({ ...announcement(i * perFollower + j), sequence: 2 });
      }
    }
    expect(packed.size).to.be.at.most(12);
  });

  /*
   * One target that left cost the link what all 3,000 do. They had spoken for themselves after a loss of all, which followers hear with
   * their questions; the next push brought all of that again to each.
   */
  it('pushes to each follower only what it lacks', async () => {
    const setup = await fixture.leaderWithFollowers({ followers: 1, answerMs: 1 });
    setup.fleet.recall(Array.from({ length: TARGETS }, (_each, i) => announcement(i)));
    for (let i = 0; i < TARGETS; i++)
      await setup.leader.announce({ ...announcement(i), sequence: 2 });
    const known = await setup.leader.follow(fixture.followRequest(0));
    const mark = known?.news.mark ?? messages.NO_MARK;
    await setup.leader.follow({ ...fixture.followRequest(0), mark });
    await setup.leader.announce({ ...announcement(7), state: 'draining', sequence: 3 });
    expect(setup.pushes.map(({ news }) => registryCopies.unbundle(news).length)).to.deep.equal([1]);
  });

  /*
   * Calls went on to a target that had said it leaves. Its entry was waiting for its copy of the registry under a new leader, and a push
   * was under way to it when the target spoke; what waited for that push was dropped, as it built on a state that the entry lacked.
   */
  it('tells a follower that waits for its copy which targets leave', async () => {
    const setup = await fixture.leaderWithFollowers({
      followers: 1,
      answerMs: 50,
      reportsNoState: true,
    });
    const announced = [1, 2].map((i) =>
      setup.leader.announce({ ...announcement(i), state: 'draining' }),
    );
    await Promise.all(announced);
    const records = setup.pushes.flatMap(({ news }) => registryCopies.unbundle(news));
    expect(records.map(({ id }) => id)).to.deep.equal([announcement(1).id, announcement(2).id]);
  });
});
