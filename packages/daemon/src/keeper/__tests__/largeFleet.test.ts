/**
 * Load of a fleet of 300 entries and 3,000 targets on its leader: all targets announce themselves when the fleet
 * starts, and all entries ask a new leader for the registry at once. The bounds follow from the leader's link.
 */
import * as crypto from 'node:crypto';
import * as chai from 'chai';
import type * as domain from '@celerydrift/domain';
import * as clock from '../../clock';
import * as fleetState from '../../fleet/fleetState';
import * as messages from '../../fleet/messages';
import * as registrySnapshots from '../../fleet/registrySnapshots';
import type * as observer from '../../observability/observer';
import * as framing from '../../rpc/framing';
import * as fixture from './__fixtures__/leaderFixture';

const { expect } = chai;

const FOLLOWERS = 300;

const TARGETS = 3_000;

/** Bandwidth of the leader's link, in bytes per second: 170 Mbit/s. */
const LINK_BYTES_PER_S = 21_000_000;

/** Time within which all targets announce themselves, in milliseconds. */
const ANNOUNCING_MS = 1_200;

/** Number of groups of announcements, each of which arrives within one turn of the event loop. */
const GROUPS = 60;

/** Announcement with an id and a start time as different as real ones, which hardly compress. */
function announcement(i: number): domain.registry.registry.Announcement {
  const digest = crypto.createHash('sha256').update(String(i)).digest();
  const bornAt = 1_700_000_000_000 + digest.readUInt32BE(8);
  return { ...fixture.announcement(i), id: `i-${digest.toString('hex', 0, 5)}`, bornAt };
}

/** The replicated state of a follower. */
function makeFollower(): fleetState.FleetState {
  return new fleetState.FleetState({
    protocol: {} as fleetState.Options['protocol'],
    observer: { log: () => undefined } as unknown as observer.Observer,
    now: clock.steady,
    onCatalogue: () => undefined,
    onRecord: () => undefined,
  });
}

/** Announces all targets; `between` runs after each group. */
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
    await clock.sleep(ANNOUNCING_MS / GROUPS);
  }
  await Promise.all(announced);
}

function bytesOf(update: messages.FleetUpdate): number {
  return framing.encode(update).length;
}

describe('a leader of 300 entries and 3,000 targets', () => {
  /*
   * Guards against a fleet that never starts to serve. Each announcement went to each entry in full, 230 bytes
   * 900,000 times, which takes the leader's link ten seconds; pushes and polls timed out, their connections were
   * closed and everything was sent again.
   */
  it('reports all targets to its followers within two seconds of link capacity', async () => {
    const setup = await fixture.leaderWithFollowers({ followers: FOLLOWERS, answerMs: 20 });
    await announceAll(setup);
    const sentBytes = setup.pushes.reduce((sum, { update }) => sum + bytesOf(update), 0);
    expect(sentBytes).to.be.below(2 * LINK_BYTES_PER_S);
    const follower = makeFollower();
    const first = setup.pushes.filter(({ address }) => address === fixture.addressOf(0));
    first.forEach(({ update }) => follower.applyUpdate(update));
    expect(follower.registry.ready('s').length).to.equal(TARGETS);
  });

  /*
   * Guards against polls that are answered with the whole registry: while all targets announced themselves, an entry
   * that polled twice a second was too far behind each time.
   */
  it('sends a follower that polls meanwhile only the changes it lacks', async () => {
    const setup = await fixture.leaderWithFollowers({ followers: 1, answerMs: 1 });
    const follower = makeFollower();
    const begin = await setup.leader.follow(fixture.followRequest(0));
    if (begin !== undefined) follower.applyUpdate(begin.news);
    const announced = Array.from({ length: TARGETS }, (_each, i) => {
      return setup.leader.announce(announcement(i));
    });
    const answer = await setup.leader.follow({
      ...fixture.followRequest(0),
      mark: follower.registryVersion,
    });
    await Promise.all(announced);
    expect(answer?.news.packedRegistry).to.equal(undefined);
    const last = await setup.leader.follow({
      ...fixture.followRequest(0),
      mark: follower.registryVersion,
    });
    if (last !== undefined) follower.applyUpdate(last.news);
    expect(follower.registry.ready('s').length).to.equal(TARGETS);
  });

  /*
   * Guards against snapshots that fill the leader's link. All entries returned to a new leader at once, and each got
   * the whole registry in the answer to its first poll: two seconds of the link. Every answer came after its timeout,
   * so each entry searched for another leader and asked again; 30 s after all processes were killed nothing was
   * served yet.
   */
  it('answers the first polls of all followers, and throttles the snapshots of the registry', async () => {
    let now = 0;
    const setup = await fixture.leaderWithFollowers({ followers: 0, answerMs: 1, now: () => now });
    setup.fleet.loadRecords(Array.from({ length: TARGETS }, (_each, i) => announcement(i)));
    const entries = Array.from({ length: FOLLOWERS }, () => makeFollower());
    let firstBytes = 0;
    let rounds = 0;
    const lacking = (): fleetState.FleetState[] => {
      return entries.filter(({ registry }) => registry.ready('s').length < TARGETS);
    };
    while (lacking().length > 0 && rounds < 100) {
      let sentBytes = 0;
      for (let i = 0; i < FOLLOWERS; i++) {
        const answer = await setup.leader.follow({
          ...fixture.followRequest(i),
          mark: entries[i].registryVersion,
        });
        expect(answer?.kind).to.equal('confirmed');
        if (answer === undefined) return;
        sentBytes += bytesOf(answer.news);
        entries[i].applyUpdate(answer.news);
      }
      if (rounds === 0) firstBytes = sentBytes;
      rounds += 1;
      now += 500;
    }
    // Half of what the link carries within a poll interval.
    expect(firstBytes).to.be.below(LINK_BYTES_PER_S / 4);
    expect(rounds).to.be.below(20);
  });

  /*
   * Guards against a leader that is busy packing. While the targets loaded from disk announced themselves, each entry
   * that polled got a newly packed snapshot, or changes packed for it alone; that blocked a new leader for half a
   * second.
   */
  it('shares a few packed snapshots among all followers while its targets confirm their records', async () => {
    const setup = await fixture.leaderWithFollowers({ followers: 0, answerMs: 1 });
    setup.fleet.loadRecords(Array.from({ length: TARGETS }, (_each, i) => announcement(i)));
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
   * Guards against a push that costs the link as much as the whole registry. After an outage all targets had
   * confirmed their records, which followers receive with their polls; the push of one draining target brought all
   * confirmations again to each follower.
   */
  it('pushes to each follower only the changes it lacks', async () => {
    const setup = await fixture.leaderWithFollowers({ followers: 1, answerMs: 1 });
    setup.fleet.loadRecords(Array.from({ length: TARGETS }, (_each, i) => announcement(i)));
    for (let i = 0; i < TARGETS; i++)
      await setup.leader.announce({ ...announcement(i), sequence: 2 });
    const confirmation = await setup.leader.follow(fixture.followRequest(0));
    const mark = confirmation?.news.mark ?? messages.NO_VERSION;
    await setup.leader.follow({ ...fixture.followRequest(0), mark });
    await setup.leader.announce({ ...announcement(7), state: 'draining', sequence: 3 });
    expect(
      setup.pushes.map(({ update }) => registrySnapshots.unpackRecords(update).length),
    ).to.deep.equal([1]);
  });

  /*
   * Guards against requests to a draining target. An entry was waiting for its registry snapshot under a new leader
   * with a push in flight when the target announced itself; what was queued behind that push was dropped, as it built
   * on a version that the entry lacked.
   */
  it('reports draining targets to a follower that waits for its snapshot', async () => {
    const setup = await fixture.leaderWithFollowers({
      followers: 1,
      answerMs: 50,
      acknowledgesWithoutVersion: true,
    });
    const announced = [1, 2].map((i) =>
      setup.leader.announce({ ...announcement(i), state: 'draining' }),
    );
    await Promise.all(announced);
    const records = setup.pushes.flatMap(({ update }) => registrySnapshots.unpackRecords(update));
    expect(records.map(({ id }) => id)).to.deep.equal([announcement(1).id, announcement(2).id]);
  });
});
