/** Targets whose answers have no end, and an entry whose other callers need answers meanwhile. Real processes. */
import * as chai from 'chai';
import * as childProcess from './__fixtures__/childProcess';
import * as deployment from './__fixtures__/deployment';

const { expect } = chai;
const { MB } = childProcess;

/** Memory of a VM that runs an entry. */
const VM_BYTES = 350 * MB;

/** Calls of others, one each interval. */
const CALLS = 40;
const CALL_INTERVAL_MS = 100;

/** Share of the calls that must be served, as for a VM that most callers of a data centre use. */
const MIN_SERVED = 0.75 * CALLS;

describe('an entry with targets whose answers have no end', function suite() {
  this.timeout(60_000);

  let tested: deployment.Deployment;

  before(() => childProcess.build());

  afterEach(() => tested.stop());

  const kinds: [deployment.EndlessAnswer, number][] = [
    ['extensions', 30],
    ['bytes', 30],
    ['chunks', 30],
    ['unframed', 30],
  ];
  kinds.forEach(([kind, count]) => {
    // Guards against memory that grows with what surrounds the bytes of a body, and against callers who wait behind them.
    it(`stays within its memory and serves others, with ${count} of ${kind}`, async () => {
      tested = await deployment.Deployment.start({ bounds: ['held-mb = 100'] });
      const endless = Array.from({ length: count }, () => tested.callEndless(kind));
      const calls: Promise<deployment.Answer>[] = [];
      for (let i = 0; i < CALLS; i++) {
        calls.push(tested.callEntry());
        await childProcess.sleep(CALL_INTERVAL_MS);
      }
      const statuses = (await Promise.all(calls)).map(({ status }) => status);
      const peakMb = tested.entry.peakBytes / MB;
      endless.forEach((each) => each.end());
      expect(await tested.entry.failure()).to.equal(undefined);
      expect(peakMb).to.be.below(VM_BYTES / MB);
      expect(statuses.filter((status) => status === 200).length).to.be.at.least(MIN_SERVED);
    });
  });
});
