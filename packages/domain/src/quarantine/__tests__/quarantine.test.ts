/** When a request is suspected of ending targets, when it is held back, and how each of these ends. */
import * as chai from 'chai';
import * as endedLifetimes from '../endedLifetimes';
import * as quarantine from '../quarantine';
import * as trials from '../trials';

const { expect } = chai;

const CULPRIT = '9-culprit';
const BYSTANDER = '7-beside';

function lifetimeKey(id: string): string {
  return endedLifetimes.lifetimeOf({ id, bornAt: 1 });
}

/** The culprit ends so many targets, one each second. */
function afterCrashes(count: number): quarantine.Quarantine {
  const made = new quarantine.Quarantine();
  for (let i = 0; i < count; i++)
    made.blame(CULPRIT, lifetimeKey(`t${i}`), { sentAt: 1_000 * i, isTrial: true }, 1_000 * i);
  return made;
}

describe('quarantine', () => {
  it('begins with the third lifetime that ended, however often each is told', () => {
    const made = new quarantine.Quarantine();
    const seen = ['t0', 't0', 't1', 't1', 't2'].map((id) => {
      made.blame(CULPRIT, lifetimeKey(id), { sentAt: 0, isTrial: true }, 0);
      return made.standing(CULPRIT);
    });
    expect(seen.join(' ')).to.equal('suspected suspected suspected suspected quarantined');
    expect([made.mayKnow(9), made.mayKnow(8)]).to.deep.equal([true, false]);
  });

  /*
   * All lookups were refused after one crash. The target was announced as ready for two seconds more; each request that met its
   * broken connections was blamed for its end, and the third time put into quarantine.
   */
  it("doesn't blame what was sent after the end", () => {
    const made = afterCrashes(1);
    expect(made.blame(BYSTANDER, lifetimeKey('t0'), { sentAt: 1, isTrial: true }, 5)).to.equal(
      undefined,
    );
    made.blame(BYSTANDER, lifetimeKey('t0'), { sentAt: -1, isTrial: false }, 5);
    expect(made.standing(BYSTANDER)).to.equal('suspected');
  });

  /*
   * A lookup that many callers send was refused with the culprit for two minutes: it ran on three targets at once, and the
   * culprit's copies ended all of them within a moment. What was under way then counts once; the next run decides.
   */
  it('counts runs that were under way together as one', () => {
    const made = new quarantine.Quarantine();
    ['t0', 't1', 't2', 't3'].forEach((id) =>
      made.blame(BYSTANDER, lifetimeKey(id), { sentAt: 0, isTrial: false }, 0),
    );
    expect([made.standing(BYSTANDER), made.count(BYSTANDER)]).to.deep.equal(['suspected', 1]);
    ['t4', 't5'].forEach((id) =>
      made.blame(BYSTANDER, lifetimeKey(id), { sentAt: 1_000, isTrial: true }, 1_000),
    );
    expect(made.standing(BYSTANDER)).to.equal('quarantined');
  });

  /*
   * A clerk's lookup was refused for minutes. Three targets couldn't be reached from its entries, which were cut off, and
   * they all lived. A target that announces itself twice afterwards lives; one word may be from before its end.
   */
  it('ends when targets that were blamed speak again, but not at a word that was held up', () => {
    const made = afterCrashes(3);
    const target = { id: 't0', bornAt: 1 };
    made.spoke(target, 7);
    made.spoke(target, 7);
    expect(made.standing(CULPRIT)).to.equal('quarantined');
    made.spoke({ id: 't0', bornAt: 2 }, 8);
    expect(made.standing(CULPRIT)).to.equal('quarantined');
    expect(made.spoke(target, 8)).to.deep.equal([
      { content: CULPRIT, standing: 'suspected', endings: 2, reason: 'targetLives' },
    ]);
  });

  /*
   * All lookups were refused as "a copy runs" for as long as the fleet ran. Its three targets had been frozen and were taken for ended;
   * by the time they spoke again nobody was blamed for it any more, and nobody noted that they live.
   */
  it('takes targets that speak again for alive, whoever was blamed', () => {
    const made = afterCrashes(1);
    const target = { id: 't0', bornAt: 1 };
    made.ranWhole(CULPRIT);
    const seen = [7, 8].map((sequence) => {
      made.spoke(target, sequence);
      return made.hasEnded(target);
    });
    expect(seen).to.deep.equal([true, false]);
  });

  it('ends when the content runs whole', () => {
    const made = afterCrashes(3);
    made.ranWhole(CULPRIT);
    expect([made.standing(CULPRIT), made.size, made.mayKnow(9)]).to.deep.equal(['free', 0, false]);
  });

  /*
   * A foreman's summary ran beside the culprit at two of its three targets and would have been refused after the next
   * crash, whatever caused it. What a culprit explains doesn't count, but only when all who tell of an end have told.
   */
  it('explains ends to what ran beside the culprit', () => {
    const made = afterCrashes(3);
    ['t0', 't1'].forEach((id) =>
      made.blame(BYSTANDER, lifetimeKey(id), { sentAt: 0, isTrial: false }, 2_000),
    );
    made.tick(2_400);
    expect(made.standing(BYSTANDER)).to.equal('suspected');
    made.tick(2_500);
    expect([made.standing(BYSTANDER), made.standing(CULPRIT)]).to.deep.equal([
      'free',
      'quarantined',
    ]);
  });

  /*
   * Two culprits ended all engines within a tenth of a second. A summary that many callers send was beside them each time, and was
   * refused with them for two minutes. Its ends are all theirs too, so one more run decides; a culprit's own end tells.
   */
  it('ends soon where all of its ends are those of others', () => {
    const made = afterCrashes(3);
    const other = '8-other';
    const trial = { sentAt: 0, isTrial: true };
    ['t3', 't4', 't5'].forEach((id) => made.blame(other, lifetimeKey(id), trial, 2_000));
    ['t0', 't3', 't4'].forEach((id) => made.blame(BYSTANDER, lifetimeKey(id), trial, 2_000));
    made.tick(3_900);
    expect(made.standing(BYSTANDER)).to.equal('quarantined');
    made.tick(4_000);
    const standings = [BYSTANDER, CULPRIT, other].map((each) => made.standing(each));
    // The other has one end of its own and is tried as well; the first culprit has two.
    expect(standings).to.deep.equal(['suspected', 'quarantined', 'suspected']);
    // Beside the other once more: four seconds this time. Then by itself: two minutes, as a first quarantine lasts.
    made.blame(other, lifetimeKey('t8'), { sentAt: 4_100, isTrial: true }, 4_200);
    made.blame(BYSTANDER, lifetimeKey('t8'), { sentAt: 4_100, isTrial: true }, 4_200);
    const later = [8_100, 8_200].map((at) => {
      made.tick(at);
      return made.standing(BYSTANDER);
    });
    expect(later).to.deep.equal(['quarantined', 'suspected']);
    made.blame(BYSTANDER, lifetimeKey('t9'), { sentAt: 8_300, isTrial: true }, 8_400);
    made.tick(8_400 + 119_000);
    expect(made.standing(BYSTANDER)).to.equal('quarantined');
    made.tick(8_400 + 120_000);
    expect(made.standing(BYSTANDER)).to.equal('suspected');
  });

  /*
   * A summary was refused for two minutes. Its first end was by a culprit that ended nothing else and was never convicted; the
   * ends of its trials were another's. Without those it had one end, which is chance.
   */
  it('ends soon where one end at most is its own', () => {
    const made = afterCrashes(3);
    made.blame(BYSTANDER, lifetimeKey('t9'), { sentAt: 0, isTrial: false }, 1_000);
    ['t1', 't2'].forEach((id) =>
      made.blame(BYSTANDER, lifetimeKey(id), { sentAt: 0, isTrial: true }, 2_000),
    );
    made.tick(4_000);
    expect(made.standing(BYSTANDER)).to.equal('suspected');
    // The culprit has one end of its own too; its trial tells.
    ['u0', 'u1'].forEach((id, i) => {
      const at = 4_100 + 4_000 * i;
      made.blame(CULPRIT, lifetimeKey(id), { sentAt: at - 10, isTrial: true }, at);
      made.tick(at + 100);
    });
    made.tick(60_000);
    expect(made.standing(CULPRIT)).to.equal('quarantined');
  });

  /*
   * A summary was refused for two minutes. It had the same ends as the culprit; both were in doubt, and the culprit's trial was
   * granted first, so that nothing in quarantine explained the summary's ends any more. The culprit never came again.
   */
  it('ends for all that are in doubt at the same time', () => {
    const made = afterCrashes(3);
    const trial = { sentAt: 0, isTrial: true };
    ['t0', 't1', 't2'].forEach((id) => made.blame(BYSTANDER, lifetimeKey(id), trial, 2_000));
    made.tick(4_000);
    expect([made.standing(CULPRIT), made.standing(BYSTANDER)]).to.deep.equal([
      'suspected',
      'suspected',
    ]);
  });

  /*
   * A summary was refused for two minutes, all of whose ends were the culprit's. The culprit was convicted a moment before it and
   * so was doubted a moment before; that shortened its ends, and the summary's seemed to be its own.
   */
  it('ends soon also where what explains it was doubted just before', () => {
    const made = new quarantine.Quarantine();
    const trial = { sentAt: 0, isTrial: true };
    made.blame(CULPRIT, lifetimeKey('t0'), { sentAt: 0, isTrial: false }, 2_000);
    ['t1', 't2', 't3', 't4'].forEach((id) => made.blame(CULPRIT, lifetimeKey(id), trial, 2_000));
    ['t1', 't2', 't3', 't4'].forEach((id) => made.blame(BYSTANDER, lifetimeKey(id), trial, 2_100));
    [4_000, 4_100, 4_200].forEach((at) => made.tick(at));
    expect(made.standing(BYSTANDER)).to.equal('suspected');
  });

  /*
   * A lookup that many callers send was refused for two minutes. Two of its ends were those of a culprit that came no more, so
   * that its third end, which would have convicted it, never came; the lookup's third one was a loss of power.
   */
  it('ends soon also where what explains it came no more', () => {
    const made = afterCrashes(2);
    const trial = { sentAt: 0, isTrial: true };
    ['t0', 't1', 'u0'].forEach((id) => made.blame(BYSTANDER, lifetimeKey(id), trial, 2_000));
    made.tick(3_900);
    expect(made.standing(BYSTANDER)).to.equal('quarantined');
    made.tick(4_000);
    expect(made.standing(BYSTANDER)).to.equal('suspected');
  });

  /**
   * Guards against an innocent request that is refused for minutes as its culprit ended its targets at one moment: that counts once,
   * and the innocent one's conviction explained even that.
   */
  it('ends soon also where what explains it ended two targets at one moment', () => {
    const made = new quarantine.Quarantine();
    ['t0', 't1'].forEach((id, i) => {
      made.blame(CULPRIT, lifetimeKey(id), { sentAt: 0, isTrial: false }, 100);
      made.blame(BYSTANDER, lifetimeKey(id), { sentAt: 0, isTrial: i > 0 }, 100);
    });
    made.blame(BYSTANDER, lifetimeKey('u0'), { sentAt: 5_000, isTrial: true }, 6_000);
    expect(made.standing(BYSTANDER)).to.equal('quarantined');
    [6_500, 8_000].forEach((at) => made.tick(at));
    expect(made.standing(BYSTANDER)).to.equal('suspected');
  });

  /** Guards against an innocent request that is refused for minutes as its culprit was let out for doubt before it was convicted. */
  it('ends soon also where what explains it was doubted before it began', () => {
    const made = afterCrashes(3);
    ['t0', 't2'].forEach((id, i) => {
      made.blame(BYSTANDER, lifetimeKey(id), { sentAt: 0, isTrial: i > 0 }, 2_000);
    });
    made.tick(4_000);
    expect(made.standing(CULPRIT)).to.equal('suspected');
    made.blame(BYSTANDER, lifetimeKey('u0'), { sentAt: 4_000, isTrial: true }, 4_100);
    expect(made.standing(BYSTANDER)).to.equal('quarantined');
    made.tick(6_100);
    expect(made.standing(BYSTANDER)).to.equal('suspected');
  });

  /* A culprit goes on to be refused although requests beside it shared two of its ends: those that it has alone are enough. */
  it('costs at most two further targets where what ran beside it twice is suspected', () => {
    const made = afterCrashes(3);
    ['t1', 't2'].forEach((id) =>
      made.blame(BYSTANDER, lifetimeKey(id), { sentAt: 0, isTrial: true }, 2_000),
    );
    let further = 0;
    for (let at = 2_000; at < 110_000; at += 100) {
      made.tick(at);
      if (made.standing(CULPRIT) !== 'quarantined') {
        made.blame(CULPRIT, lifetimeKey(`u${further}`), { sentAt: at, isTrial: true }, at);
        further += 1;
      }
    }
    expect(further).to.be.at.most(2);
  });

  /** Guards against culprits that always come together, explain each other, and are let out for doubt again and again. */
  it('lets a content out for doubt as long as three targets at most end much later than the third', () => {
    const made = new quarantine.Quarantine();
    const both = [CULPRIT, BYSTANDER];
    const ends: number[] = [];
    for (let at = 0; at < 110_000; at += 100) {
      made.tick(at);
      if (both.every((content) => made.standing(content) !== 'quarantined')) {
        const run = { sentAt: at, isTrial: ends.length > 0 };
        both.forEach((content) => made.blame(content, lifetimeKey(`t${ends.length}`), run, at));
        ends.push(at);
      }
    }
    expect(ends.filter((at) => at > ends[2] + 3_000).length).to.equal(3);
  });

  /**
   * Guards against an innocent request that is refused again as soon as it was let out, or had run whole: a follower that hadn't heard
   * of that yet told the leader of its ends once more.
   */
  it("doesn't take back from a follower what it has acquitted", () => {
    const made = afterCrashes(3);
    const trial = { sentAt: 0, isTrial: true };
    ['t0', 't1', 't2'].forEach((id) => made.blame(BYSTANDER, lifetimeKey(id), trial, 2_000));
    const reports = made.reports(3_900);
    made.tick(4_000);
    made.merge(reports, 4_050);
    expect(made.standing(BYSTANDER)).to.equal('suspected');
    made.ranWhole(BYSTANDER);
    made.merge(reports, 4_100);
    expect(made.standing(BYSTANDER)).to.equal('free');
    // Of a target that lives the next word is news.
    made.spoke({ id: 't1', bornAt: 1 }, 7);
    made.spoke({ id: 't1', bornAt: 1 }, 8);
    made.blame(CULPRIT, lifetimeKey('t1'), { sentAt: 9_000, isTrial: true }, 9_100);
    expect(made.endings(CULPRIT)).to.include(lifetimeKey('t1'));
  });

  it('lasts two minutes at first, then one run decides, and longer each time', () => {
    const made = afterCrashes(3);
    const [minute, since] = [60_000, 2_000];
    const standings = [1, 2].map((minutes) => {
      made.tick(since + minutes * minute);
      return made.standing(CULPRIT);
    });
    expect(standings).to.deep.equal(['quarantined', 'suspected']);
    made.blame(
      CULPRIT,
      lifetimeKey('t9'),
      { sentAt: since + 3 * minute, isTrial: true },
      since + 3 * minute,
    );
    made.tick(since + 3 * minute + 19 * minute);
    expect(made.standing(CULPRIT)).to.equal('quarantined');
    made.tick(since + 3 * minute + 20 * minute);
    expect(made.standing(CULPRIT)).to.equal('suspected');
    made.tick(since + 40 * minute);
    expect(made.size).to.equal(0);
  });

  /* Engines crash by the hundred, each with its requests: memory stays bounded, and who is blamed most is kept longest. */
  it('forgets whoever is blamed least where there are too many', () => {
    const made = afterCrashes(3);
    for (let i = 0; i < 2 * quarantine.MOST_SUSPECTS; i++)
      made.blame(`5-${i}`, lifetimeKey(`u${i}`), { sentAt: 3_000 + i, isTrial: false }, 3_000 + i);
    expect([made.size, made.standing(CULPRIT)]).to.deep.equal([
      quarantine.MOST_SUSPECTS,
      'quarantined',
    ]);
    expect(made.standing(`5-${2 * quarantine.MOST_SUSPECTS - 1}`)).to.equal('suspected');
  });

  it('travels as ages, replaces what a follower knew, and adds to what a new leader knows', () => {
    const [leader, follower] = [afterCrashes(3), afterCrashes(1)];
    follower.blame(BYSTANDER, lifetimeKey('t0'), { sentAt: 0, isTrial: true }, 0);
    follower.takeAll(leader.reports(10_000), 500_000);
    expect([follower.standing(CULPRIT), follower.standing(BYSTANDER)]).to.deep.equal([
      'quarantined',
      'free',
    ]);
    const next = afterCrashes(1);
    next.merge(follower.reports(500_000), 20_000);
    expect(next.standing(CULPRIT)).to.equal('quarantined');
    follower.take(new quarantine.Quarantine().report(CULPRIT, 0), 500_000);
    expect(follower.size).to.equal(0);
  });
});

describe('trials', () => {
  it('run one request with a content at a time, and end with their entry', () => {
    const made = new trials.Trials();
    const begin = (id: string, entry: string, now = 0): boolean => {
      return made.begin(CULPRIT, { id, entry, target: undefined }, now);
    };
    const begun = [begin('r1', 'e1'), begin('r1', 'e1'), begin('r2', 'e1'), begin('r1', 'e2')];
    made.forgetEntry('e1');
    begun.push(begin('r3', 'e2'));
    made.end(CULPRIT, 'r2');
    begun.push(begin('r4', 'e2'));
    made.end(CULPRIT, 'r3');
    begun.push(begin('r4', 'e2'), begin('r5', 'e2', 61_000));
    expect(begun).to.deep.equal([true, true, false, false, true, false, true, true]);
  });
});
