/** Targets that fail while their health is good. */
import * as chai from 'chai';
import * as soundness from '../soundness';

const { expect } = chai;

/** Times at which an idle target would get a request that fails in the same way. */
function trials(ending: soundness.Ending, forMs: number): number[] {
  const made = new soundness.Soundness();
  const times: number[] = [];
  for (let now = 0; now < forMs; now += 50) {
    if (!made.isUsable(now, true)) continue;
    times.push(now);
    made.ended(ending, now);
  }
  return times;
}

describe('soundness', () => {
  /*
   * Every request would fail once before another target serves it. A target goes silent and is tried with all
   * that comes, again and again, because each pause after a failure is as short as the first.
   */
  it('shuts a target that goes on failing out for longer each time, up to a bound', () => {
    expect(trials('broken', 16_000)).to.deep.equal([0, 500, 1_500, 3_500, 7_500, 11_500, 15_500]);
  });

  it('lets one request at a time try a target that failed, and all once it succeeded', () => {
    const made = new soundness.Soundness();
    made.ended('unreachable', 0);
    expect(made.isUsable(1_499, true)).to.equal(false);
    expect([made.isUsable(1_500, true), made.isUsable(1_500, false)]).to.deep.equal([true, false]);
    made.ended('done', 1_600);
    expect(made.isUsable(1_600, false)).to.equal(true);
  });

  it('gives a target the benefit of the doubt after one broken answer, not after two', () => {
    const made = new soundness.Soundness();
    made.ended('broken', 0);
    expect(made.isUsable(500, false)).to.equal(true);
    made.ended('broken', 600);
    expect([made.isUsable(1_600, false), made.isUsable(1_600, true)]).to.deep.equal([false, true]);
  });

  it('takes requests that fail together for one failure', () => {
    const made = new soundness.Soundness();
    for (let i = 0; i < 8; i++) made.ended('broken', i);
    expect(made.isUsable(500, true)).to.equal(true);
  });

  it('holds neither a full target nor a caller that left against a target for long', () => {
    const made = new soundness.Soundness();
    made.ended('cancelled', 0);
    made.ended('full', 0);
    expect([made.isUsable(100, true), made.isUsable(250, false)]).to.deep.equal([false, true]);
  });

  /*
   * Callers were refused while engines were free. Three engines refused two in five of their requests with good
   * answers between, so none of them failed twice in a row for long, and both tries of a request went to them.
   */
  it('tells a target that fails two in five from a good one', () => {
    const grey = new soundness.Soundness();
    const good = new soundness.Soundness();
    for (let i = 0; i < 10; i++) {
      grey.ended(i % 5 < 2 ? 'full' : 'done', 100 * i);
      good.ended(i === 3 ? 'broken' : 'done', 100 * i);
    }
    expect(grey.failureShare(1_000)).to.be.greaterThan(0.15);
    expect(good.failureShare(1_000)).to.be.lessThan(0.06);
    expect(grey.failureShare(20_000)).to.be.lessThan(0.01);
  });
});
