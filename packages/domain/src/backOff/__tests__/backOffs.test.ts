/** Tests of targets that request a back-off, in virtual time. */
import * as chai from 'chai';
import * as fc from 'fast-check';
import * as backOffs from '../backOffs';

const { expect } = chai;

const TARGET = 't';

const LIFETIME = { id: TARGET, bornAt: 1 };

/** Messages sent within half a second may be in flight when the target requests a back-off. */
const GRACE_MS = 500;

describe('back-offs', () => {
  let tested: backOffs.BackOffs;

  beforeEach(() => {
    tested = new backOffs.BackOffs();
  });

  /**
   * Guards against a shorter back-off that ends a longer one, and against one that takes a target
   * out of use for good.
   */
  it('last for the longest requested time, up to a bound', () => {
    tested.start(LIFETIME, 3_000, 0);
    tested.start(LIFETIME, 100, 1_000);
    tested.start(LIFETIME, 0, 1_500);
    expect([tested.waitMs(TARGET, 2_000), tested.mayReceiveRequest(TARGET, 2_999)]).to.deep.equal([
      1_000,
      false,
    ]);
    expect(tested.mayReceiveRequest(TARGET, 3_000)).to.equal(true);
    tested.start(LIFETIME, 1e12, 3_000);
    expect(tested.waitMs(TARGET, 3_000)).to.equal(backOffs.MAX_BACK_OFF_MS);
  });

  /**
   * Guards against a target that is only presumed gone and whose back-off is lost when it returns.
   */
  it('outlast the target until their time is over', () => {
    tested.start(LIFETIME, 3_000, 0);
    tested.forget(TARGET, 1_000);
    expect(tested.mayReceiveRequest(TARGET, 1_000)).to.equal(false);
    expect(tested.mayReceiveRequest('other', 1_000)).to.equal(true);
    tested.forget(TARGET, 3_000);
    expect(tested.size).to.equal(0);
  });

  /** Guards against an idle target without requests, as its former lifetime asked for a long back-off. */
  it('end when the target restarts under its id', () => {
    tested.start(LIFETIME, 300_000, 0);
    tested.forget(TARGET, 3_000);
    tested.observe(LIFETIME, 0, 3_000);
    expect(tested.mayReceiveRequest(TARGET, 3_000)).to.equal(false);
    tested.observe({ ...LIFETIME, bornAt: 2 }, 0, 3_000);
    expect([tested.mayReceiveRequest(TARGET, 3_000), tested.size]).to.deep.equal([true, 0]);
  });

  /**
   * Guards against a back-off that is dropped because the restart of the target is announced after
   * its response, as usual or after a time without a leader.
   */
  it('last if the later lifetime may have asked for them', () => {
    tested.start(LIFETIME, 30_000, 0);
    tested.observe({ ...LIFETIME, bornAt: 2 }, 0, 1_500);
    tested.observe({ ...LIFETIME, bornAt: 2 }, 0, 3_000);
    tested.observe({ ...LIFETIME, bornAt: 3 }, 8_000, 9_000);
    expect(tested.waitMs(TARGET, 9_000)).to.equal(21_000);
  });

  /**
   * Guards against a thundering herd: requests that wait for the end of the back-off and are all
   * sent in its first millisecond.
   */
  it('admit few requests after the time, twice as many with each answer', () => {
    tested.start(LIFETIME, 1_000, 0);
    const sentCounts: number[] = [];
    while (tested.size > 0) {
      const messages: backOffs.InFlightMessage[] = [];
      while (tested.mayReceiveRequest(TARGET, 1_000)) messages.push(tested.sent(TARGET, 1_000));
      sentCounts.push(messages.length);
      messages[0].answered();
      messages.forEach(({ ended }) => ended());
    }
    expect(sentCounts).to.deep.equal([1, 2, 4, 8]);
  });

  /**
   * Guards against more than two messages during a back-off, whatever was sent, answered or lost
   * before.
   */
  it('admit no more than two messages, in any order of answers and losses', () => {
    const step = fc.record({
      kind: fc.constantFrom('request', 'upkeep', 'answer', 'lose', 'backOff'),
      waitMs: fc.integer({ min: 0, max: 400 }),
      forMs: fc.integer({ min: 1, max: 3_000 }),
    });
    fc.assert(
      fc.property(fc.array(step, { maxLength: 60 }), (steps) => {
        const fresh = new backOffs.BackOffs();
        const sent: number[] = [];
        const backOffPeriods: { from: number; until: number }[] = [];
        let inFlight: backOffs.InFlightMessage[] = [];
        let now = 0;
        steps.forEach(({ kind, waitMs, forMs }) => {
          now += waitMs;
          const isAdmitted =
            kind === 'request'
              ? fresh.mayReceiveRequest(TARGET, now)
              : fresh.mayReceiveUpkeep(TARGET, now);
          if ((kind === 'request' || kind === 'upkeep') && isAdmitted) {
            sent.push(now);
            inFlight.push(fresh.sent(TARGET, now));
          } else if (kind === 'backOff') {
            fresh.start(LIFETIME, forMs, now);
            backOffPeriods.push({ from: now + GRACE_MS, until: now + forMs });
          } else if (kind === 'answer') inFlight.at(0)?.answered();
          if (kind === 'answer' || kind === 'lose') inFlight.at(0)?.ended();
          if (kind === 'answer' || kind === 'lose') inFlight = inFlight.slice(1);
        });
        const counts = backOffPeriods.map(({ from, until }) => {
          return sent.filter((at) => at > from && at < until).length;
        });
        return Math.max(0, ...counts) <= 2;
      }),
      { numRuns: 2_000, seed: 1 },
    );
  });
});
