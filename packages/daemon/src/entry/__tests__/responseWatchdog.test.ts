/** When the watchdog of a response reports it as overdue, on an injected clock. */
import * as test from 'node:test';
import * as chai from 'chai';
import * as responseWatchdog from '../responseWatchdog';

const { expect } = chai;

describe('a response watchdog', () => {
  beforeEach(() => test.mock.timers.enable({ apis: ['setInterval'] }));

  afterEach(() => test.mock.timers.reset());

  // Guards against a search for a successor of an attempt that is over, which delays that of the next attempt.
  it('reports nothing once it is stopped, also if a probe ends later', async () => {
    let now = 0;
    let reports = 0;
    let endProbe = (_isAlive: boolean): void => undefined;
    const tested = new responseWatchdog.ResponseWatchdog({
      thresholds: { overdueFirstMs: 300, overdueGapMs: 300, timeoutMs: 60_000 },
      sentAt: 0,
      now: () => now,
      lastEventAt: () => 0,
      isAlive: () =>
        new Promise((resolve) => {
          endProbe = resolve;
        }),
      hasAlternative: () => true,
      onTimeout: () => {
        reports += 1;
      },
    });
    now = 400;
    test.mock.timers.tick(100);
    tested.stop();
    endProbe(false);
    await new Promise(setImmediate);
    expect(reports).to.equal(0);
  });
});
