/**
 * Tests of the rate limits that targets announce for the whole fleet, and of the processes that
 * hand them out.
 */
import * as chai from 'chai';
import * as fc from 'fast-check';
import * as rateLimits from '../rateLimits';

const { expect } = chai;

const ENDPOINT: rateLimits.Endpoint = { service: 's', address: '10.0.0.1:80' };

function limited(perSecond: number, share = 1, now = 0): rateLimits.RateLimits {
  const limits = new rateLimits.RateLimits();
  limits.setShare(share, now);
  limits.set({ ...ENDPOINT, perSecond }, now);
  return limits;
}

/** Takes a token whenever possible, every 10 ms; returns the times. */
function takeAll(limits: rateLimits.RateLimits, from: number, to: number): number[] {
  const times: number[] = [];
  for (let now = from; now < to; now += 10) {
    if (limits.maySend(ENDPOINT, now)) {
      limits.countSent(ENDPOINT, 1, now);
      times.push(now);
    }
  }
  return times;
}

describe('rate limits', () => {
  it('admit the given requests per second, starting with none', () => {
    expect(takeAll(limited(2), 0, 2_000)).to.deep.equal([500, 1_000, 1_500]);
  });

  it('admit everything where no limit is known', () => {
    const limits = new rateLimits.RateLimits();
    expect([limits.maySend(ENDPOINT, 0), limits.mayProbe(ENDPOINT, 0)]).to.deep.equal([true, true]);
    expect(limits.waitMs([ENDPOINT], 5, 0)).to.equal(0);
  });

  /** Guards against a target that accepts no requests and is never tried again. */
  it('send a canary request now and then to a target that accepts none', () => {
    expect(takeAll(limited(0), 0, 25_000)).to.deep.equal([10_000, 20_000]);
  });

  /**
   * Guards against an overloaded target that restarts under another id and gets all requests at
   * once.
   */
  it('apply to the next target at the address, and to that service only', () => {
    const limits = limited(1);
    expect(limits.limitAt({ ...ENDPOINT })).to.equal(1);
    expect(limits.limitAt({ ...ENDPOINT, service: 'other' })).to.equal(undefined);
  });

  it('end when the target announces none any more', () => {
    const limits = limited(1);
    expect(limits.set({ ...ENDPOINT, perSecond: undefined }, 10)).to.equal(true);
    expect(limits.maySend(ENDPOINT, 11)).to.equal(true);
  });

  it('are removed some time after the last target left the address', () => {
    const limits = limited(1);
    limits.forget(() => true, 50_000);
    expect(limits.forget(() => false, 100_000)).to.deep.equal([]);
    expect(limits.forget(() => false, 120_000)).to.deep.equal([
      { ...ENDPOINT, perSecond: undefined },
    ]);
  });

  it('count unconditional messages as debt', () => {
    const limits = limited(1);
    limits.countSent(ENDPOINT, 2, 1_000);
    expect(limits.waitMs([ENDPOINT], 0, 1_000)).to.equal(2_000);
    expect(limits.waitMs([ENDPOINT], 3, 1_000)).to.equal(5_000);
  });

  it('leave one more token for a liveness probe', () => {
    const limits = limited(1);
    limits.countSent(ENDPOINT, 1, 1_000);
    expect([limits.maySend(ENDPOINT, 1_000), limits.mayProbe(ENDPOINT, 1_000)]).to.deep.equal([
      false,
      true,
    ]);
    limits.countSent(ENDPOINT, 1, 1_000);
    expect(limits.mayProbe(ENDPOINT, 1_000)).to.equal(false);
  });

  /** Guards against probes of lost paths that take precedence over all requests to a target. */
  it('admit a probe of a lost path as every fifth message', () => {
    const limits = limited(2);
    expect(limits.pathProbeWaitMs(ENDPOINT, 0)).to.equal(0);
    limits.countPathProbe(ENDPOINT, 0);
    expect(limits.pathProbeWaitMs(ENDPOINT, 500)).to.equal(2_000);
    expect(takeAll(limits, 500, 2_500)).to.deep.equal([1_000, 1_500, 2_000]);
    expect(limits.pathProbeWaitMs(ENDPOINT, 2_500)).to.equal(0);
  });

  it('admit no probe of a lost path where this process hands out nothing, and all without a limit', () => {
    const unlimited = new rateLimits.RateLimits();
    expect(unlimited.pathProbeWaitMs(ENDPOINT, 0)).to.equal(0);
    expect(limited(1, 0).pathProbeWaitMs(ENDPOINT, 60_000)).to.equal(Infinity);
  });

  /** Guards against an answer of a cold target that lifts its limit, and against the higher of two. */
  it('apply beside that of a cold target, the lower of the two', () => {
    const limits = limited(5);
    limits.setColdShare(() => 1, 0);
    limits.set({ ...ENDPOINT, perSecond: 2, source: 'cold' }, 0);
    expect(takeAll(limits, 0, 2_000)).to.deep.equal([530, 1_060, 1_590]);
    expect(limits.waitMs([ENDPOINT], 0, 1_590)).to.be.closeTo(525, 0.1);
    limits.set({ ...ENDPOINT, perSecond: 1 }, 2_000);
    expect(takeAll(limits, 2_000, 4_500)).to.deep.equal([2_120, 3_120, 4_120]);
    limits.set({ ...ENDPOINT, perSecond: undefined }, 4_500);
    expect(limits.all()).to.deep.equal([{ ...ENDPOINT, perSecond: 2, source: 'cold' }]);
  });

  it('report an infinite wait where this process hands out nothing', () => {
    expect(limited(1, 0).waitMs([ENDPOINT], 0, 60_000)).to.equal(Infinity);
  });

  /*
   * Guards against exceeding the limit when leaders and entries take over from each other: each
   * begins with an empty bucket, so together they send no more than a single process would.
   */
  it('hold across processes, in whatever order they take over', () => {
    const windowMs = 4_000;
    const handovers = fc.array(fc.tuple(fc.integer({ min: 10, max: 3_000 }), fc.nat(3)), {
      minLength: 1,
      maxLength: 12,
    });
    fc.assert(
      fc.property(
        handovers,
        fc.double({ min: 0.2, max: 30, noNaN: true }),
        (leaderships, perSecond) => {
          const entries = 5;
          const keepers = Array.from({ length: 4 }, () => limited(perSecond, 0));
          const entryLimits = Array.from({ length: entries }, () => limited(perSecond, 0));
          const sentTimes: number[] = [];
          let now = 0;
          leaderships.forEach(([forMs, leader]) => {
            keepers.forEach((each, i) => each.setShare(i === leader ? 1 : 0, now));
            entryLimits.forEach((each) => each.setShare(0, now));
            sentTimes.push(...takeAll(keepers[leader], now, now + forMs));
            now += forMs;
            keepers[leader].setShare(0, now);
            entryLimits.forEach((each) => {
              each.setShare(1 / entries, now);
              sentTimes.push(...takeAll(each, now, now + 500));
            });
            now += 500;
          });
          const maxInWindow = Math.max(
            0,
            ...sentTimes.map(
              (from) => sentTimes.filter((at) => at >= from && at < from + windowMs).length,
            ),
          );
          return maxInWindow <= (1.5 * perSecond * windowMs) / 1_000 + 5;
        },
      ),
      { numRuns: 200, seed: 1 },
    );
  });
});
