/**
 * The load: 400 callers of streams that read at the pace of their stream, 20 that read a long
 * response slowly or not at all, and 10 that stopped within a body. Together they hold more than the
 * process may.
 */
import * as chai from 'chai';
import * as fc from 'fast-check';
import * as pressure from '../pressure';

const { expect } = chai;

const MB = 1_048_576;

const AT_PACE = { heldBytes: 20_000, unsentBytes: 400, takenPerSecond: 4_000, behindMs: 60_000 };

const callers = Array.from({ length: 430 }, (_, i): pressure.CallerLoad & { name: string } => {
  if (i < 400) return { name: 'at pace', ...AT_PACE };
  const heldBytes = (1 + (i % 10)) * 0.3 * MB;
  if (i < 420) {
    const takenPerSecond = i % 2 === 0 ? 0 : 1_000;
    return { name: 'slow', heldBytes, unsentBytes: heldBytes, takenPerSecond, behindMs: 5_000 };
  }
  return { name: 'stopped', heldBytes, unsentBytes: 0, takenPerSecond: 0, behindMs: 3_000 };
});

const totalBytes = callers.reduce((sum, { heldBytes }) => sum + heldBytes, 0);

describe('memory under pressure', () => {
  /** Guards against callers of live streams that are cut in place of the few that don't read. */
  it('cuts those who read slowest and hold most, and no more than needed', () => {
    const cut = pressure.callersToCut(callers, { totalBytes, boundBytes: totalBytes - 5 * MB }, 0);
    expect(cut.map(({ name, heldBytes }) => [name, heldBytes / MB])).to.deep.equal([
      ['slow', 3],
      ['slow', 3],
    ]);
    const all = pressure.callersToCut(callers, { totalBytes, boundBytes: 0 }, 0);
    expect(all.length).to.equal(30);
    expect(all.map(({ name }) => name)).not.to.include('at pace');
  });

  /** Guards against callers that wait for good, as the slow ones keep reading stopped below the bound. */
  it('cuts below the bound only after reading has been stopped for some time', () => {
    const held = { totalBytes, boundBytes: totalBytes * 1.1 };
    const cuts = [0, 1_000, 2_000].map((ms) => pressure.callersToCut(callers, held, ms).length);
    expect([cuts[0], cuts[1], cuts[2] > 0]).to.deep.equal([0, 0, true]);
  });

  /** Guards against a body that stalls between the shares at which reading stops and continues, and stops all others. */
  it('cuts down to the share at which reading continues', () => {
    const stalled = { heldBytes: 40, unsentBytes: 0, takenPerSecond: 0, behindMs: 5_000 };
    const held = { totalBytes: 641, boundBytes: 1_000 };
    expect(pressure.mustStopReading(held, true)).to.equal(true);
    expect(pressure.callersToCut([stalled], held, 2_000)).to.deep.equal([stalled]);
  });

  /** Guards against a cut caller that keeps up, and against more than one caller too many. */
  it('spares whoever keeps up, at any load', () => {
    const load = fc.record({
      heldBytes: fc.nat(MB),
      unsentBytes: fc.nat(MB),
      takenPerSecond: fc.nat(MB),
      behindMs: fc.nat(10_000),
    });
    fc.assert(
      fc.property(fc.array(load), fc.nat(20 * MB), (loads, boundBytes) => {
        const held = {
          totalBytes: loads.reduce((sum, each) => sum + each.heldBytes, 0),
          boundBytes,
        };
        const cut = pressure.callersToCut(loads, held, 0);
        const freed = cut.slice(0, -1).reduce((sum, { heldBytes }) => sum + heldBytes, 0);
        expect(cut.every((each) => pressure.lagMs(each) >= 1_000)).to.equal(true);
        if (cut.length > 0) expect(held.totalBytes - freed).to.be.greaterThan(boundBytes);
      }),
      { seed: 1 },
    );
  });
});
