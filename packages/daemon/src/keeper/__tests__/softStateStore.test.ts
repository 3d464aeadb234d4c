/** Soft state on a disk that stalls. */
import * as fs from 'node:fs/promises';
import * as os from 'node:os';
import * as path from 'node:path';
import * as chai from 'chai';
import type * as fleetState from '../../fleet/fleetState';
import * as observer from '../../observability/observer';
import * as softStateStore from '../softStateStore';
import * as leaderFixture from './__fixtures__/leaderFixture';

const { expect } = chai;

describe('soft state of a keeper', () => {
  // Guards against acknowledgements that wait for as long as a disk stalls, or each for the whole time limit.
  it('is waited for once on a disk that stalls, and again when the disk is back', async () => {
    const folder = await fs.mkdtemp(path.join(os.tmpdir(), 'soft-'));
    const store = new softStateStore.SoftStateStore({
      folder,
      fleetState: { registry: { durableRecords: () => [] } } as unknown as fleetState.FleetState,
      evacuations: undefined,
      observer: new observer.Observer('test', 'fatal', undefined),
    });
    const { targets } = store as unknown as { targets: { replace: () => Promise<void> } };
    const writes: (() => void)[] = [];
    targets.replace = () => {
      return new Promise((resolve) => {
        writes.push(resolve);
      });
    };
    store.targetChanged(leaderFixture.announcement(1, 'draining'));
    await store.endsStored();
    let waits = 0;
    const wait = async (): Promise<void> => {
      waits += 1;
      await store.endsStored();
      waits -= 1;
    };
    void wait();
    await Promise.resolve();
    expect(waits, 'while it stalls').to.equal(0);
    writes.forEach((finish) => finish());
    await Promise.resolve();
    await Promise.resolve();
    await Promise.resolve();
    store.targetChanged(leaderFixture.announcement(2, 'draining'));
    const stored = wait();
    expect(waits, 'when it is back').to.equal(1);
    while (writes.length < 2) await new Promise(setImmediate);
    writes.forEach((finish) => finish());
    await stored;
    await store.close();
  });
});
