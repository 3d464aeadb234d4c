/** When a request that wasn't sent is placed again. */
import * as timers from 'node:timers/promises';
import * as chai from 'chai';
import * as retries from '../retries';

describe('a request whose attempts are withheld from their targets', () => {
  // Guards against placements without a bound on their rate, and against a delay where the next one is of use.
  it('is placed again at once, and after a pause from the second time on', async () => {
    const state = { isOver: false };
    const tested = new retries.Retries({ state } as retries.Dependencies);
    const retryNow = (): Promise<boolean | 'paused'> => {
      return Promise.race([
        tested.shouldRetry({ kind: 'withheld' }),
        timers.setImmediate('paused' as const),
      ]);
    };
    chai
      .expect([await retryNow(), await retryNow(), await retryNow()])
      .to.deep.equal([true, 'paused', 'paused']);
  });
});
