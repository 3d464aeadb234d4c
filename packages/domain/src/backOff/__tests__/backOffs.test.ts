/** Tests of targets that request a back-off, in virtual time. */
import * as chai from 'chai';
import * as fc from 'fast-check';
import * as backOffs from '../backOffs';

const { expect } = chai;

const TARGET = 't';

/** Messages sent within half a second may be in flight when the target requests a back-off. */
const GRACE_MS = 500;

describe('back-offs', () => {
  let known: backOffs.BackOffs;

  beforeEach(() => {
    known = new backOffs.BackOffs();
  });

  /**
   * Guards against a shorter back-off that ends a longer one, and against one that takes a target
   * out of use for good.
   */
  it('last for the longest requested time, up to a bound', () => {
    known.start(TARGET, 3_000, 0);
    known.start(TARGET, 100, 1_000);
    known.start(TARGET, 0, 1_500);
    expect([known.waitMs(TARGET, 2_000), known.mayReceiveRequest(TARGET, 2_999)]).to.deep.equal([
      1_000,
      false,
    ]);
    expect(known.mayReceiveRequest(TARGET, 3_000)).to.equal(true);
    known.start(TARGET, 1e12, 3_000);
    expect(known.waitMs(TARGET, 3_000)).to.equal(backOffs.MAX_BACK_OFF_MS);
  });

  /**
   * Guards against a target that is only presumed gone and whose back-off is lost when it returns.
   */
  it('outlast the target until their time is over', () => {
    known.start(TARGET, 3_000, 0);
    known.forget(TARGET, 1_000);
    expect(known.mayReceiveRequest(TARGET, 1_000)).to.equal(false);
    expect(known.mayReceiveRequest('other', 1_000)).to.equal(true);
    known.forget(TARGET, 3_000);
    expect(known.size).to.equal(0);
  });

  /**
   * Guards against a thundering herd: requests that wait for the end of the back-off and are all
   * sent in its first millisecond.
   */
  it('admit few requests after the time, twice as many with each answer', () => {
    known.start(TARGET, 1_000, 0);
    const passed: number[] = [];
    while (known.size > 0) {
      const passages: backOffs.InFlightMessage[] = [];
      while (known.mayReceiveRequest(TARGET, 1_000)) passages.push(known.sent(TARGET, 1_000));
      passed.push(passages.length);
      passages[0].answered();
      passages.forEach(({ ended }) => ended());
    }
    expect(passed).to.deep.equal([1, 2, 4, 8]);
  });

  /**
   * Guards against more than two messages during a back-off, whatever was sent, answered or lost
   * before.
   */
  it('admit no more than two messages, in any order of answers and losses', () => {
    const step = fc.record({
      kind: fc.constantFrom('request', 'upkeep', 'answer', 'lose', 'ask'),
      waitMs: fc.integer({ min: 0, max: 400 }),
      forMs: fc.integer({ min: 1, max: 3_000 }),
    });
    fc.assert(
      fc.property(fc.array(step, { maxLength: 60 }), (steps) => {
        const tried = new backOffs.BackOffs();
        const sent: number[] = [];
        const asked: { from: number; until: number }[] = [];
        let underWay: backOffs.InFlightMessage[] = [];
        let now = 0;
        steps.forEach(({ kind, waitMs, forMs }) => {
          now += waitMs;
          const takes =
            kind === 'request'
              ? tried.mayReceiveRequest(TARGET, now)
              : tried.mayReceiveUpkeep(TARGET, now);
          if ((kind === 'request' || kind === 'upkeep') && takes) {
            sent.push(now);
            underWay.push(tried.sent(TARGET, now));
          } else if (kind === 'ask') {
            tried.start(TARGET, forMs, now);
            asked.push({ from: now + GRACE_MS, until: now + forMs });
          } else if (kind === 'answer') underWay.at(0)?.answered();
          if (kind === 'answer' || kind === 'lose') underWay.at(0)?.ended();
          if (kind === 'answer' || kind === 'lose') underWay = underWay.slice(1);
        });
        const counts = asked.map(({ from, until }) => {
          return sent.filter((at) => at > from && at < until).length;
        });
        return Math.max(0, ...counts) <= 2;
      }),
      { numRuns: 2_000, seed: 1 },
    );
  });
});
