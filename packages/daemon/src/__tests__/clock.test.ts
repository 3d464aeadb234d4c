/** Ages under stepped clocks and suspensions. */
import * as chai from 'chai';
import * as clock from '../clock';

const { expect } = chai;

function after(from: clock.Moment, ranMs: number, suspendedMs: number, stepMs: number): number {
  return clock.elapsed(from, {
    steady: from.steady + ranMs,
    timeOfDay: from.timeOfDay + ranMs + suspendedMs + stepMs,
  });
}

describe('ages', () => {
  const from = { steady: 1_000, timeOfDay: 1e12 };

  it('are those of the steady clock when the time of day is stepped back', () => {
    expect(after(from, 300, 0, -2_000)).to.equal(300);
  });

  it('are only longer when it is stepped forward', () => {
    expect(after(from, 300, 0, 2_000)).to.equal(2_300);
  });

  /*
   * A key that was taken away would work again. An entry is suspended past its lease, in which the key is
   * taken away, and answers its callers right after it wakes; its steady clock shows no time between.
   */
  it('count a suspension, in which the steady clock stands still', () => {
    expect(after(from, 10, 6_000, 0)).to.equal(6_010);
  });

  it('are infinite before the first confirmation', () => {
    expect(clock.elapsed(clock.NEVER, from)).to.equal(Infinity);
  });
});
