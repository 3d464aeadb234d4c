/** Requests that an entry hasn't sent yet when it has to stop. */
import * as chai from 'chai';
import * as clock from '../../clock';
import * as harness from './__fixtures__/harness';

const { expect } = chai;

describe('an unsafe call that waits for a place when its entry stops', () => {
  let setup: harness.TestHarness;

  beforeEach(async () => {
    setup = await harness.TestHarness.start(harness.answeringProbes(() => undefined));
    setup.placementDelayMs = 300;
  });

  afterEach(() => {
    setup.stop();
  });

  const stop = async (): Promise<harness.Reply> => {
    const waiting = setup.send('/unsafe/1', { patience: '4000' }, 'body');
    await clock.sleep(100);
    setup.ingress.abort();
    return waiting;
  };

  // Guards against an answer without a promise for a call that no target has received, so that nobody sends it again.
  it('is refused as not run', async () => {
    expect((await stop()).status).to.equal(503);
  });

  // Guards against a call that runs although its caller already has an answer.
  it('is not sent once it has been answered', async () => {
    await stop();
    await clock.sleep(500);
    expect(setup.received.length).to.equal(0);
  });
});
