/** Ages when the time of day is stepped or the VM is suspended. */
import * as chai from 'chai';
import * as clock from '../clock';

const { expect } = chai;

function elapsedAfter(
  from: clock.ClockReading,
  ranMs: number,
  suspendedMs: number,
  stepMs: number,
): number {
  return clock.elapsed(from, {
    steady: from.steady + ranMs,
    timeOfDay: from.timeOfDay + ranMs + suspendedMs + stepMs,
  });
}

describe('ages', () => {
  const from = { steady: 1_000, timeOfDay: 1e12 };

  it('follow the steady clock when the time of day is stepped back', () => {
    expect(elapsedAfter(from, 300, 0, -2_000)).to.equal(300);
  });

  it('only become longer when the time of day is stepped forward', () => {
    expect(elapsedAfter(from, 300, 0, 2_000)).to.equal(2_300);
  });

  /*
   * Guards against a revoked key that is accepted again: an entry is suspended beyond its lease, the key is revoked
   * meanwhile, and the entry serves callers right after it resumes. Its steady clock shows no time in between.
   */
  it('include a suspension, during which the steady clock stops', () => {
    expect(elapsedAfter(from, 10, 6_000, 0)).to.equal(6_010);
  });

  it('are infinite before the first confirmation', () => {
    expect(clock.elapsed(clock.NEVER, from)).to.equal(Infinity);
  });
});
