/** Suspicion of requests that crash targets, their quarantine, and how each of these ends. */
import * as chai from 'chai';
import * as crashedLifetimes from '../crashedLifetimes';
import * as quarantine from '../quarantine';
import * as canaryRuns from '../canaryRuns';

const { expect } = chai;

const CULPRIT = '9-culprit';
const BYSTANDER = '7-beside';

function keyOf(id: string): string {
  return crashedLifetimes.lifetimeKey({ id, bornAt: 1 });
}

/** A quarantine after the culprit crashed `count` targets, one each second. */
function afterCrashes(count: number): quarantine.Quarantine {
  const tested = new quarantine.Quarantine();
  for (let i = 0; i < count; i++)
    tested.reportCrash(CULPRIT, keyOf(`t${i}`), { sentAt: 1_000 * i, isTrial: true }, 1_000 * i);
  return tested;
}

describe('quarantine', () => {
  it('begins with the third crashed lifetime, however often each crash is reported', () => {
    const tested = new quarantine.Quarantine();
    const standings = ['t0', 't0', 't1', 't1', 't2'].map((id) => {
      tested.reportCrash(CULPRIT, keyOf(id), { sentAt: 0, isTrial: true }, 0);
      return tested.standing(CULPRIT);
    });
    expect(standings.join(' ')).to.equal('suspected suspected suspected suspected quarantined');
    expect([tested.mayHaveSuspect(9), tested.mayHaveSuspect(8)]).to.deep.equal([true, false]);
  });

  /*
   * Guards against all requests being refused after a single crash: a crashed target stays
   * announced as ready for two seconds, and each request that met its broken connections in that
   * time had the crash counted against it and was quarantined after the third one.
   */
  it("doesn't count a crash against requests that were sent after it", () => {
    const tested = afterCrashes(1);
    expect(tested.reportCrash(BYSTANDER, keyOf('t0'), { sentAt: 1, isTrial: true }, 5)).to.equal(
      undefined,
    );
    tested.reportCrash(BYSTANDER, keyOf('t0'), { sentAt: -1, isTrial: false }, 5);
    expect(tested.standing(BYSTANDER)).to.equal('suspected');
  });

  /*
   * Guards against an innocent request that is quarantined with the culprit: it ran on three
   * targets at once, and copies of the culprit crashed all of them within a moment. Concurrent runs
   * count once; the next run decides.
   */
  it('counts the crashes of concurrent runs as one', () => {
    const tested = new quarantine.Quarantine();
    ['t0', 't1', 't2', 't3'].forEach((id) =>
      tested.reportCrash(BYSTANDER, keyOf(id), { sentAt: 0, isTrial: false }, 0),
    );
    expect([tested.standing(BYSTANDER), tested.crashCount(BYSTANDER)]).to.deep.equal([
      'suspected',
      1,
    ]);
    ['t4', 't5'].forEach((id) =>
      tested.reportCrash(BYSTANDER, keyOf(id), { sentAt: 1_000, isTrial: true }, 1_000),
    );
    expect(tested.standing(BYSTANDER)).to.equal('quarantined');
  });

  /*
   * Guards against a request that is refused for minutes although its targets are alive, as the
   * entries that reported the crashes were cut off from them. Two later announcements prove a
   * target alive; a single one may have been delayed.
   */
  it('ends when the targets announce themselves again, but not at a delayed announcement', () => {
    const tested = afterCrashes(3);
    const target = { id: 't0', bornAt: 1 };
    tested.applyAnnouncement(target, 7);
    tested.applyAnnouncement(target, 7);
    expect(tested.standing(CULPRIT)).to.equal('quarantined');
    tested.applyAnnouncement({ id: 't0', bornAt: 2 }, 8);
    expect(tested.standing(CULPRIT)).to.equal('quarantined');
    expect(tested.applyAnnouncement(target, 8)).to.deep.equal([
      { content: CULPRIT, standing: 'suspected', endings: 2, reason: 'targetLives' },
    ]);
  });

  /*
   * Guards against targets that count as crashed for good: frozen targets were reported as crashed
   * and announced themselves again only after the suspicion was cleared, and nothing recorded that
   * they were alive. All requests were refused for as long as the fleet ran, as if a copy of each
   * were running.
   */
  it('takes targets that announce themselves again for alive without any suspect left', () => {
    const tested = afterCrashes(1);
    const target = { id: 't0', bornAt: 1 };
    tested.completed(CULPRIT);
    const hasCrashed = [7, 8].map((sequence) => {
      tested.applyAnnouncement(target, sequence);
      return tested.hasCrashed(target);
    });
    expect(hasCrashed).to.deep.equal([true, false]);
  });

  it('ends when the request completes', () => {
    const tested = afterCrashes(3);
    tested.completed(CULPRIT);
    expect([tested.standing(CULPRIT), tested.size, tested.mayHaveSuspect(9)]).to.deep.equal([
      'free',
      0,
      false,
    ]);
  });

  /*
   * Guards against an innocent request that ran beside the culprit on two of its three targets and
   * would be refused after the next crash of any cause. The culprit's quarantine explains those
   * crashes, but only once all entries have reported theirs.
   */
  it('explains crashes to requests that ran beside the culprit', () => {
    const tested = afterCrashes(3);
    ['t0', 't1'].forEach((id) =>
      tested.reportCrash(BYSTANDER, keyOf(id), { sentAt: 0, isTrial: false }, 2_000),
    );
    tested.tick(2_400);
    expect(tested.standing(BYSTANDER)).to.equal('suspected');
    tested.tick(2_500);
    expect([tested.standing(BYSTANDER), tested.standing(CULPRIT)]).to.deep.equal([
      'free',
      'quarantined',
    ]);
  });

  /*
   * Guards against an innocent request that is refused for two minutes: two culprits crashed all
   * engines within 100 ms, and a request that many callers send ran beside them each time. All its
   * crashes are theirs too, so one more run decides; a culprit has crashes of its own.
   */
  it('ends soon where all its crashes are shared with other suspects', () => {
    const tested = afterCrashes(3);
    const other = '8-other';
    const canaryRun = { sentAt: 0, isTrial: true };
    ['t3', 't4', 't5'].forEach((id) => tested.reportCrash(other, keyOf(id), canaryRun, 2_000));
    ['t0', 't3', 't4'].forEach((id) => tested.reportCrash(BYSTANDER, keyOf(id), canaryRun, 2_000));
    tested.tick(3_900);
    expect(tested.standing(BYSTANDER)).to.equal('quarantined');
    tested.tick(4_000);
    const standings = [BYSTANDER, CULPRIT, other].map((each) => tested.standing(each));
    // The other culprit has one crash of its own and gets a canary run too; the first one has two.
    expect(standings).to.deep.equal(['suspected', 'quarantined', 'suspected']);
    // First beside the other culprit once more, for four seconds this time; then alone, for the two
    // minutes of a first quarantine.
    tested.reportCrash(other, keyOf('t8'), { sentAt: 4_100, isTrial: true }, 4_200);
    tested.reportCrash(BYSTANDER, keyOf('t8'), { sentAt: 4_100, isTrial: true }, 4_200);
    const later = [8_100, 8_200].map((at) => {
      tested.tick(at);
      return tested.standing(BYSTANDER);
    });
    expect(later).to.deep.equal(['quarantined', 'suspected']);
    tested.reportCrash(BYSTANDER, keyOf('t9'), { sentAt: 8_300, isTrial: true }, 8_400);
    tested.tick(8_400 + 119_000);
    expect(tested.standing(BYSTANDER)).to.equal('quarantined');
    tested.tick(8_400 + 120_000);
    expect(tested.standing(BYSTANDER)).to.equal('suspected');
  });

  /*
   * Guards against an innocent request that is refused for two minutes: its first crash was by a
   * culprit that crashed nothing else and was never quarantined, those of its canary runs were by
   * another. That leaves one crash of its own, which is chance.
   */
  it('ends soon where at most one crash is its own', () => {
    const tested = afterCrashes(3);
    tested.reportCrash(BYSTANDER, keyOf('t9'), { sentAt: 0, isTrial: false }, 1_000);
    ['t1', 't2'].forEach((id) =>
      tested.reportCrash(BYSTANDER, keyOf(id), { sentAt: 0, isTrial: true }, 2_000),
    );
    tested.tick(4_000);
    expect(tested.standing(BYSTANDER)).to.equal('suspected');
    // The culprit has one crash of its own too; its canary run decides.
    ['u0', 'u1'].forEach((id, i) => {
      const at = 4_100 + 4_000 * i;
      tested.reportCrash(CULPRIT, keyOf(id), { sentAt: at - 10, isTrial: true }, at);
      tested.tick(at + 100);
    });
    tested.tick(60_000);
    expect(tested.standing(CULPRIT)).to.equal('quarantined');
  });

  /*
   * Guards against an innocent request that is refused for two minutes: it shared all crashes with
   * the culprit and both were doubtful, but the culprit was released first, so that no quarantined
   * request explained the other's crashes any more. The culprit never came again.
   */
  it('ends for all that are doubtful at the same time', () => {
    const tested = afterCrashes(3);
    const canaryRun = { sentAt: 0, isTrial: true };
    ['t0', 't1', 't2'].forEach((id) => tested.reportCrash(BYSTANDER, keyOf(id), canaryRun, 2_000));
    tested.tick(4_000);
    expect([tested.standing(CULPRIT), tested.standing(BYSTANDER)]).to.deep.equal([
      'suspected',
      'suspected',
    ]);
  });

  /*
   * Guards against an innocent request that is refused for two minutes: the culprit, which caused
   * all its crashes, was quarantined and then released as doubtful a moment before it. The release
   * dropped crashes of the culprit, which then seemed to be the other request's own.
   */
  it('ends soon where the culprit was released as doubtful just before', () => {
    const tested = new quarantine.Quarantine();
    const canaryRun = { sentAt: 0, isTrial: true };
    tested.reportCrash(CULPRIT, keyOf('t0'), { sentAt: 0, isTrial: false }, 2_000);
    ['t1', 't2', 't3', 't4'].forEach((id) =>
      tested.reportCrash(CULPRIT, keyOf(id), canaryRun, 2_000),
    );
    ['t1', 't2', 't3', 't4'].forEach((id) =>
      tested.reportCrash(BYSTANDER, keyOf(id), canaryRun, 2_100),
    );
    [4_000, 4_100, 4_200].forEach((at) => tested.tick(at));
    expect(tested.standing(BYSTANDER)).to.equal('suspected');
  });

  /*
   * Guards against an innocent request that is refused for two minutes: a culprit caused two of its
   * crashes and never came again, so it was never quarantined. The third crash was a power loss.
   */
  it('ends soon where the culprit never comes again', () => {
    const tested = afterCrashes(2);
    const canaryRun = { sentAt: 0, isTrial: true };
    ['t0', 't1', 'u0'].forEach((id) => tested.reportCrash(BYSTANDER, keyOf(id), canaryRun, 2_000));
    tested.tick(3_900);
    expect(tested.standing(BYSTANDER)).to.equal('quarantined');
    tested.tick(4_000);
    expect(tested.standing(BYSTANDER)).to.equal('suspected');
  });

  /**
   * Guards against an innocent request that is refused for minutes: the culprit crashed two targets
   * at the same time, which counts once, and the innocent one's quarantine explained even that one.
   */
  it('ends soon where the culprit crashed two targets at the same time', () => {
    const tested = new quarantine.Quarantine();
    ['t0', 't1'].forEach((id, i) => {
      tested.reportCrash(CULPRIT, keyOf(id), { sentAt: 0, isTrial: false }, 100);
      tested.reportCrash(BYSTANDER, keyOf(id), { sentAt: 0, isTrial: i > 0 }, 100);
    });
    tested.reportCrash(BYSTANDER, keyOf('u0'), { sentAt: 5_000, isTrial: true }, 6_000);
    expect(tested.standing(BYSTANDER)).to.equal('quarantined');
    [6_500, 8_000].forEach((at) => tested.tick(at));
    expect(tested.standing(BYSTANDER)).to.equal('suspected');
  });

  /**
   * Guards against an innocent request that is refused for minutes: the culprit was released as
   * doubtful before it was quarantined.
   */
  it('ends soon where the culprit was released as doubtful before it began', () => {
    const tested = afterCrashes(3);
    ['t0', 't2'].forEach((id, i) => {
      tested.reportCrash(BYSTANDER, keyOf(id), { sentAt: 0, isTrial: i > 0 }, 2_000);
    });
    tested.tick(4_000);
    expect(tested.standing(CULPRIT)).to.equal('suspected');
    tested.reportCrash(BYSTANDER, keyOf('u0'), { sentAt: 4_000, isTrial: true }, 4_100);
    expect(tested.standing(BYSTANDER)).to.equal('quarantined');
    tested.tick(6_100);
    expect(tested.standing(BYSTANDER)).to.equal('suspected');
  });

  /*
   * A culprit stays quarantined although requests beside it share two of its crashes: its own
   * crashes are enough.
   */
  it('costs at most two more targets where a request that ran beside it twice is suspected', () => {
    const tested = afterCrashes(3);
    ['t1', 't2'].forEach((id) =>
      tested.reportCrash(BYSTANDER, keyOf(id), { sentAt: 0, isTrial: true }, 2_000),
    );
    let further = 0;
    for (let at = 2_000; at < 110_000; at += 100) {
      tested.tick(at);
      if (tested.standing(CULPRIT) !== 'quarantined') {
        tested.reportCrash(CULPRIT, keyOf(`u${further}`), { sentAt: at, isTrial: true }, at);
        further += 1;
      }
    }
    expect(further).to.be.at.most(2);
  });

  /**
   * Guards against culprits that always come together, explain each other's crashes, and are
   * released as doubtful again and again.
   */
  it('releases a request as doubtful until three targets crashed well after its third crash', () => {
    const tested = new quarantine.Quarantine();
    const both = [CULPRIT, BYSTANDER];
    const crashTimes: number[] = [];
    for (let at = 0; at < 110_000; at += 100) {
      tested.tick(at);
      if (both.every((content) => tested.standing(content) !== 'quarantined')) {
        const run = { sentAt: at, isTrial: crashTimes.length > 0 };
        both.forEach((content) =>
          tested.reportCrash(content, keyOf(`t${crashTimes.length}`), run, at),
        );
        crashTimes.push(at);
      }
    }
    expect(crashTimes.filter((at) => at > crashTimes[2] + 3_000).length).to.equal(3);
  });

  /**
   * Guards against an innocent request that is refused again right after its release or completion,
   * when a follower that didn't know of that yet reports its crashes to the leader once more.
   */
  it('ignores crashes from a follower that a request was cleared of', () => {
    const tested = afterCrashes(3);
    const canaryRun = { sentAt: 0, isTrial: true };
    ['t0', 't1', 't2'].forEach((id) => tested.reportCrash(BYSTANDER, keyOf(id), canaryRun, 2_000));
    const reports = tested.reports(3_900);
    tested.tick(4_000);
    tested.merge(reports, 4_050);
    expect(tested.standing(BYSTANDER)).to.equal('suspected');
    tested.completed(BYSTANDER);
    tested.merge(reports, 4_100);
    expect(tested.standing(BYSTANDER)).to.equal('free');
    // Once a target is known to be alive, the next report of its crash counts.
    tested.applyAnnouncement({ id: 't1', bornAt: 1 }, 7);
    tested.applyAnnouncement({ id: 't1', bornAt: 1 }, 8);
    tested.reportCrash(CULPRIT, keyOf('t1'), { sentAt: 9_000, isTrial: true }, 9_100);
    expect(tested.crashesOf(CULPRIT)).to.include(keyOf('t1'));
  });

  it('lasts two minutes at first, then one run decides, and longer each time', () => {
    const tested = afterCrashes(3);
    const [minute, since] = [60_000, 2_000];
    const standings = [1, 2].map((minutes) => {
      tested.tick(since + minutes * minute);
      return tested.standing(CULPRIT);
    });
    expect(standings).to.deep.equal(['quarantined', 'suspected']);
    tested.reportCrash(
      CULPRIT,
      keyOf('t9'),
      { sentAt: since + 3 * minute, isTrial: true },
      since + 3 * minute,
    );
    tested.tick(since + 3 * minute + 19 * minute);
    expect(tested.standing(CULPRIT)).to.equal('quarantined');
    tested.tick(since + 3 * minute + 20 * minute);
    expect(tested.standing(CULPRIT)).to.equal('suspected');
    tested.tick(since + 40 * minute);
    expect(tested.size).to.equal(0);
  });

  /*
   * Memory stays bounded when hundreds of engines crash, each with its requests, and the suspects
   * with the most crashes are kept longest.
   */
  it('evicts the suspects with the fewest crashes beyond its limit', () => {
    const tested = afterCrashes(3);
    for (let i = 0; i < 2 * quarantine.MAX_SUSPECTS; i++)
      tested.reportCrash(
        `5-${i}`,
        keyOf(`u${i}`),
        { sentAt: 3_000 + i, isTrial: false },
        3_000 + i,
      );
    expect([tested.size, tested.standing(CULPRIT)]).to.deep.equal([
      quarantine.MAX_SUSPECTS,
      'quarantined',
    ]);
    expect(tested.standing(`5-${2 * quarantine.MAX_SUSPECTS - 1}`)).to.equal('suspected');
  });

  it('is sent with ages, replaces the state of a follower, and is merged by a new leader', () => {
    const [leader, follower] = [afterCrashes(3), afterCrashes(1)];
    follower.reportCrash(BYSTANDER, keyOf('t0'), { sentAt: 0, isTrial: true }, 0);
    follower.replaceAll(leader.reports(10_000), 500_000);
    expect([follower.standing(CULPRIT), follower.standing(BYSTANDER)]).to.deep.equal([
      'quarantined',
      'free',
    ]);
    const next = afterCrashes(1);
    next.merge(follower.reports(500_000), 20_000);
    expect(next.standing(CULPRIT)).to.equal('quarantined');
    follower.applyReport(new quarantine.Quarantine().report(CULPRIT, 0), 500_000);
    expect(follower.size).to.equal(0);
  });
});

describe('canary runs', () => {
  it('run one request per fingerprint at a time, and end with their entry', () => {
    const tested = new canaryRuns.CanaryRuns();
    const begin = (id: string, entry: string, now = 0): boolean => {
      return tested.begin(CULPRIT, { id, entry, target: undefined }, now);
    };
    const begun = [begin('r1', 'e1'), begin('r1', 'e1'), begin('r2', 'e1'), begin('r1', 'e2')];
    tested.forgetEntry('e1');
    begun.push(begin('r3', 'e2'));
    tested.end(CULPRIT, 'r2');
    begun.push(begin('r4', 'e2'));
    tested.end(CULPRIT, 'r3');
    begun.push(begin('r4', 'e2'), begin('r5', 'e2', 61_000));
    expect(begun).to.deep.equal([true, true, false, false, true, false, true, true]);
  });
});
