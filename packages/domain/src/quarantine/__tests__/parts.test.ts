/** Suspicion and quarantine of parts that requests share in their prompts. */
import * as chai from 'chai';
import * as canaryRuns from '../canaryRuns';
import * as crashedLifetimes from '../crashedLifetimes';
import * as partFingerprint from '../partFingerprint';
import * as quarantine from '../quarantine';

const { expect } = chai;

const [FIRST, CRASHING] = partFingerprint.ofParts(['a1', 'c0ffee']);
const BODY = '9-body';

/** Crashes of a target each, one a second, under a run with these fingerprints; all but the first are canary runs. */
function crash(tested: quarantine.Quarantine, ...runs: string[][]): void {
  runs.forEach((run, i) => {
    const lifetime = crashedLifetimes.lifetimeKey({ id: `t${tested.size}-${i}`, bornAt: 1 });
    run.forEach((each) => {
      const isTrial = tested.standing(each) !== 'free';
      tested.reportCrash(each, lifetime, { sentAt: 1_000 * i, isTrial }, 1_000 * i);
    });
  });
}

/** Milliseconds for which a further crash under a body quarantines its part, in steps of half a second. */
function quarantineOf(tested: quarantine.Quarantine, crashedAt: number): number {
  const run = { sentAt: crashedAt, isTrial: true };
  [BODY, CRASHING].forEach((each) => {
    tested.reportCrash(each, `again/${crashedAt}`, run, crashedAt);
  });
  let now = crashedAt;
  while (tested.standing(CRASHING) === 'quarantined') {
    now += 500;
    tested.tick(now);
  }
  return now - crashedAt;
}

describe('quarantine of parts', () => {
  it('begins with the third crash, for requests of any body', () => {
    const tested = new quarantine.Quarantine();
    crash(tested, ['5-x', CRASHING], ['6-y', CRASHING], ['7-z', CRASHING]);
    expect(tested.assess([CRASHING, '8-new'])).to.deep.equal({
      kind: 'quarantined',
      culprit: CRASHING,
    });
    expect(tested.assess(['8-new'])).to.deep.equal({ kind: 'free' });
    expect([tested.hasSuspectParts, tested.mayHaveSuspect(8)]).to.deep.equal([true, false]);
  });

  /** Guards against a first part that is refused with the part behind it, although other requests have it alone. */
  it('leaves requests with a part alone to a canary run, if it crashed targets only beside another one', () => {
    const tested = new quarantine.Quarantine();
    crash(tested, ['5-x', FIRST, CRASHING], ['6-y', FIRST, CRASHING], ['7-z', FIRST, CRASHING]);
    expect(tested.assess([FIRST, CRASHING]).kind).to.equal('quarantined');
    expect(tested.assess([FIRST, '8-new'])).to.deep.equal({ kind: 'suspected', suspects: [FIRST] });
    tested.began(FIRST, 9_000);
    expect(tested.assess([FIRST, '8-new']).kind).to.equal('free');
    expect(tested.assess([CRASHING, '8-new']).kind).to.equal('quarantined');
  });

  /** Guards against all requests with a sound part being refused because one body with it crashes targets. */
  it('leaves other bodies with a part to a canary run, if it crashed targets only with one body', () => {
    const tested = new quarantine.Quarantine();
    crash(tested, [BODY, FIRST], [BODY, FIRST], [BODY, FIRST]);
    expect(tested.assess([BODY, FIRST]).kind).to.equal('quarantined');
    expect(tested.assess(['8-new', FIRST]).kind).to.equal('suspected');
    tested.began(FIRST, 9_000);
    expect([BODY, FIRST].map((each) => tested.standing(each))).to.deep.equal([
      'quarantined',
      'free',
    ]);
  });

  /** Guards against a sound part refused for the crashes of two culprits, one of which was released with only the last of its own. */
  it('leaves other requests to a canary run, if bodies released as doubtful may have caused the crashes', () => {
    const tested = new quarantine.Quarantine();
    crash(tested, [BODY, FIRST], [BODY, FIRST], [BODY, FIRST]);
    tested.tick(3_000);
    tested.tick(4_000);
    expect([BODY, FIRST].map((each) => tested.standing(each))).to.deep.equal([
      'suspected',
      'suspected',
    ]);
    const other = { sentAt: 4_100, isTrial: true };
    ['x/1', 'y/1', 'z/1'].forEach((each) => tested.reportCrash(CRASHING, each, other, 4_200));
    tested.reportCrash(FIRST, 'z/1', other, 4_200);
    expect(tested.standing(FIRST)).to.equal('quarantined');
    expect(tested.assess(['8-new', FIRST]).kind).to.equal('suspected');
    expect(tested.assess([BODY, FIRST]).kind).to.equal('quarantined');
  });

  /** Guards against a part that becomes harmful and is cleared by requests that were sent before. */
  it('counts the crashes on since a request was sent that begins its answer', () => {
    const tested = new quarantine.Quarantine();
    crash(tested, ['5-x', CRASHING], ['6-y', CRASHING], ['7-z', CRASHING]);
    expect(tested.began(CRASHING, 0)).to.equal(undefined);
    expect(tested.standing(CRASHING)).to.equal('quarantined');
    expect(tested.began(CRASHING, 1_500)).to.deep.equal({
      content: CRASHING,
      standing: 'suspected',
      endings: 1,
      reason: 'began',
    });
    expect(tested.began(CRASHING, 2_001)?.standing).to.equal('free');
  });

  /** Guards against canary runs every few seconds of a part that crashes targets with any body. */
  it('lasts a second at first, and then twenty minutes', () => {
    const tested = new quarantine.Quarantine();
    crash(tested, ['5-x', CRASHING], ['6-y', CRASHING], ['7-z', CRASHING]);
    expect(tested.remainingMs(CRASHING, 2_400)).to.equal(600);
    tested.tick(3_000);
    expect(tested.standing(CRASHING)).to.equal('suspected');
    tested.reportCrash(CRASHING, 'again/1', { sentAt: 3_100, isTrial: true }, 3_100);
    for (let now = 3_100; now < 1_203_100; now += 500) {
      tested.tick(now);
      expect(tested.assess([BODY, CRASHING]).kind).to.equal('quarantined');
    }
    tested.tick(1_203_100);
    expect(tested.standing(CRASHING)).to.equal('suspected');
  });

  /** Guards against a sound part that is refused for minutes, as several culprits crashed all targets under it. */
  it('is ended as doubtful, later each time, while other suspects explain its crashes', () => {
    const tested = new quarantine.Quarantine();
    crash(tested, [BODY, CRASHING], [BODY, CRASHING], [BODY, CRASHING]);
    tested.tick(3_000);
    let now = 3_100;
    // The other suspect is forgotten within the third one.
    [10_000, 100_000, 1_200_000].forEach((lastsMs) => {
      expect(quarantineOf(tested, now)).to.equal(lastsMs);
      now += lastsMs;
    });
  });

  /** Guards against an innocent request refused for two minutes, as a part that crashed its targets was released meanwhile. */
  it('goes on explaining the crashes that it no longer counts', () => {
    const tested = new quarantine.Quarantine();
    const run = { sentAt: 0, isTrial: true };
    ['c1/1', 'c2/1', 'c3/1', 'c4/1'].forEach((each) => tested.reportCrash(CRASHING, each, run, 0));
    ['c1/1', 'c2/1'].forEach((each) => tested.reportCrash(BODY, each, run, 100));
    tested.tick(1_000);
    expect(tested.crashesOf(CRASHING)).to.deep.equal(['c3/1', 'c4/1']);
    tested.reportCrash(BODY, 'other/1', run, 1_100);
    expect(tested.standing(BODY)).to.equal('quarantined');
    tested.tick(3_100);
    expect(tested.standing(BODY)).to.equal('suspected');
  });

  /** Guards against a culprit by its body that is cleared because a sound part was quarantined beside it. */
  it('explains no crash to other suspects before its canary run', () => {
    const tested = new quarantine.Quarantine();
    const copy = { sentAt: 0, isTrial: false };
    ['c1/1', 'c2/1'].forEach((each) => tested.reportCrash(BODY, each, copy, 0));
    crash(tested, [FIRST], [FIRST], [FIRST]);
    ['c1/1', 'c2/1'].forEach((each) => tested.reportCrash(FIRST, each, copy, 2_000));
    tested.tick(2_900);
    expect(tested.crashesOf(BODY)).to.deep.equal(['c1/1', 'c2/1']);
    tested.tick(3_000);
    tested.reportCrash(FIRST, 'c3/1', { sentAt: 3_100, isTrial: true }, 3_100);
    tested.tick(3_600);
    expect(tested.standing(FIRST)).to.equal('quarantined');
  });

  /** Guards against a part that a new leader, or all VMs after a loss of power, must learn again with three targets. */
  it('is taken over from the reports of another copy', () => {
    const tested = new quarantine.Quarantine();
    crash(tested, ['5-x', FIRST, CRASHING], ['6-y', FIRST, CRASHING], ['7-z', FIRST, CRASHING]);
    const copy = new quarantine.Quarantine();
    copy.merge(tested.reports(3_000), 50);
    expect(copy.assess([FIRST, CRASHING]).kind).to.equal('quarantined');
    expect(copy.assess([FIRST]).kind).to.equal('suspected');
    copy.replaceAll([], 60);
    expect(copy.hasSuspectParts).to.equal(false);
  });

  /** Guards against one request with thousands of parts that displaces all other suspects. */
  it('covers a bounded number of parts of a prompt', () => {
    const ids = Array.from({ length: 1_000 }, (_, i) => String(i));
    expect(partFingerprint.ofParts(ids)).to.have.lengthOf(64);
  });
});

describe('canary runs of a part', () => {
  /** Guards against short prompts that wait until a long one with the same part begins its answer. */
  it('keep other requests waiting for a second at most', () => {
    const tested = new canaryRuns.CanaryRuns();
    const run = (id: string): canaryRuns.CanaryRun => ({ id, entry: 'e', target: undefined });
    tested.begin(FIRST, run('long'), 0);
    tested.begin(BODY, run('long'), 0);
    const begun = [900, 1_001].map((now) => tested.begin(FIRST, run('short'), now));
    expect([...begun, tested.mayBegin(BODY, run('short'), 1_001)]).to.deep.equal([
      false,
      true,
      false,
    ]);
    tested.end(FIRST, 'long');
    expect(tested.mayBegin(FIRST, run('third'), 1_002)).to.equal(false);
  });
});
