/** Acknowledgements of targets' ends that nothing on a disk stands for, or that never come. */
import * as fs from 'node:fs/promises';
import * as os from 'node:os';
import * as path from 'node:path';
import * as chai from 'chai';
import { Ok } from 'ts-results';
import * as clock from '../../clock';
import * as observer from '../../observability/observer';
import * as keeper from '../keeper';
import * as softStateFile from '../softStateFile';
import * as leaderFixture from './__fixtures__/leaderFixture';

const { expect } = chai;

/** Longer than a leader waits for a push or a disk. */
const WAIT_MS = 600;

async function isSettled(promise: Promise<unknown>): Promise<boolean> {
  const settled = promise.then(
    () => true,
    () => true,
  );
  return Promise.race([settled, clock.sleep(WAIT_MS).then(() => false)]);
}

describe('ends of targets', () => {
  // Guards against a drain that is acknowledged at its repetition while its first announcement still waits for the disk.
  it('are not acknowledged at a repeated announcement before the disk has them', async () => {
    const { leader } = await leaderFixture.leaderWithFollowers({ followers: 1, answerMs: 1 });
    await leader.announce(leaderFixture.announcement(1, 'ready'));
    const { options } = leader as unknown as { options: { endsStored: () => Promise<void> } };
    options.endsStored = () => clock.sleep(2 * WAIT_MS);
    const draining = leaderFixture.announcement(1, 'draining');
    expect(await isSettled(leader.announce(draining)), 'first').to.equal(false);
    expect(await isSettled(leader.announce(draining)), 'repeated').to.equal(false);
  });

  // Guards against an acknowledged end that is never written, because its only write met a full disk.
  it('are written once the disk takes writes again, without a further change', async () => {
    const parent = await fs.mkdtemp(path.join(os.tmpdir(), 'ends-'));
    const folder = path.join(parent, 'data');
    const file = new softStateFile.SoftStateFile({
      folder,
      name: 'targets',
      content: () => ['ended'],
      observer: new observer.Observer('test', 'fatal', undefined),
    });
    file.markUrgent();
    await file.stored();
    await fs.mkdir(folder);
    await clock.sleep(700);
    const stored = await softStateFile.read(folder, 'targets');
    await file.close();
    expect(stored.val).to.deep.equal(['ended']);
  });

  // Guards against a departure that gets neither an acknowledgement nor a refusal, as the process survives a failed push.
  it('get an answer if a follower acknowledges a push with nothing', async () => {
    const { leader } = await leaderFixture.leaderWithFollowers({ followers: 1, answerMs: 1 });
    await leader.announce(leaderFixture.announcement(1, 'ready'));
    const { client } = (leader as unknown as { options: { client: { call: unknown } } }).options;
    client.call = async () => Ok(null);
    const ignore = (): void => undefined;
    const listeners = process.rawListeners('unhandledRejection');
    process.removeAllListeners('unhandledRejection');
    process.on('unhandledRejection', ignore);
    try {
      const departure = leader.depart({ id: 't1', bornAt: 1 });
      const isAnswered = await isSettled(departure);
      expect(isAnswered).to.equal(true);
    } finally {
      process.off('unhandledRejection', ignore);
      listeners.forEach((each) => process.on('unhandledRejection', each as () => void));
    }
  });
});

describe('founding', () => {
  // Guards against a keeper that never founds, as the process survives an attempt that failed unexpectedly.
  it('is attempted again after an unexpected error', async () => {
    let attempts = 0;
    const founder = Object.assign(Object.create(keeper.Keeper.prototype) as object, {
      dependencies: {
        settings: {
          advertised: { host: '10.0.0.1', port: 1 },
          mayFound: true,
          seeds: ['10.0.0.1:1', '10.0.0.2:1'],
        },
      },
      isFounding: false,
      replicas: { isFounded: false },
      client: {
        call: async () => {
          attempts += 1;
          return { ok: true, val: null };
        },
      },
    }) as unknown as { found: () => Promise<void> };
    await founder.found().catch(() => undefined);
    await founder.found().catch(() => undefined);
    expect(attempts).to.equal(2);
  });
});
