/** Tests of targets that fail requests while they pass health checks. */
import * as chai from 'chai';
import * as targetHealth from '../targetHealth';

const { expect } = chai;

/** Times at which an idle target gets requests that all fail in the same way. */
function canaryTimes(outcome: targetHealth.DispatchOutcome, forMs: number): number[] {
  const health = new targetHealth.TargetHealth();
  const times: number[] = [];
  for (let now = 0; now < forMs; now += 50) {
    if (!health.isUsable(now, true)) continue;
    times.push(now);
    health.recordOutcome(outcome, now);
  }
  return times;
}

describe('target health', () => {
  /*
   * Guards against requests that each fail once before another target serves them: a target that
   * doesn't respond would be tried again and again if each ejection were as short as the first.
   */
  it('ejects a target that keeps failing for longer each time, up to a bound', () => {
    expect(canaryTimes('broken', 16_000)).to.deep.equal([
      0, 500, 1_500, 3_500, 7_500, 11_500, 15_500,
    ]);
  });

  it('sends one canary request at a time to a failed target, and all once it succeeds', () => {
    const health = new targetHealth.TargetHealth();
    health.recordOutcome('unreachable', 0);
    expect(health.isUsable(1_499, true)).to.equal(false);
    expect([health.isUsable(1_500, true), health.isUsable(1_500, false)]).to.deep.equal([
      true,
      false,
    ]);
    health.recordOutcome('done', 1_600);
    expect(health.isUsable(1_600, false)).to.equal(true);
  });

  it('requires no canary request after one broken answer, but after two', () => {
    const health = new targetHealth.TargetHealth();
    health.recordOutcome('broken', 0);
    expect(health.isUsable(500, false)).to.equal(true);
    health.recordOutcome('broken', 600);
    expect([health.isUsable(1_600, false), health.isUsable(1_600, true)]).to.deep.equal([
      false,
      true,
    ]);
  });

  it('counts concurrent failures as one', () => {
    const health = new targetHealth.TargetHealth();
    for (let i = 0; i < 8; i++) health.recordOutcome('broken', i);
    expect(health.isUsable(500, true)).to.equal(true);
  });

  it('ejects a full target only briefly, and none whose caller left', () => {
    const health = new targetHealth.TargetHealth();
    health.recordOutcome('cancelled', 0);
    health.recordOutcome('full', 0);
    expect([health.isUsable(100, true), health.isUsable(250, false)]).to.deep.equal([false, true]);
  });

  /*
   * Guards against refusals while engines are free: three engines refused two in five requests with
   * successes in between, so none failed often in a row, and both attempts of a request went to
   * them.
   */
  it('distinguishes a target that fails two in five from a healthy one', () => {
    const failing = new targetHealth.TargetHealth();
    const healthy = new targetHealth.TargetHealth();
    for (let i = 0; i < 10; i++) {
      failing.recordOutcome(i % 5 < 2 ? 'full' : 'done', 100 * i);
      healthy.recordOutcome(i === 3 ? 'broken' : 'done', 100 * i);
    }
    expect(failing.failureShare(1_000)).to.be.greaterThan(0.15);
    expect(healthy.failureShare(1_000)).to.be.lessThan(0.06);
    expect(failing.failureShare(20_000)).to.be.lessThan(0.01);
  });
});
