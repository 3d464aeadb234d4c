/** Timeouts of a process whose event loop is delayed. */
import * as net from 'node:net';
import * as chai from 'chai';
import * as clock from '../clock';

const { expect } = chai;

const STALL_MS = 100;
const TIMEOUT_MS = 30;

/** Keeps the event loop from running, as a burst of work does. */
function stall(): void {
  const end = clock.steady() + STALL_MS;
  while (clock.steady() < end);
}

describe('a timeout', () => {
  let server: net.Server;

  before((done) => {
    server = net.createServer((socket) => socket.pipe(socket));
    server.listen(0, '127.0.0.1', done);
  });

  after((done) => {
    server.close(done);
  });

  /** Whether an echo over a new connection comes before the timeout, if the event loop stalls once it was started. */
  function isEchoInTime(): Promise<boolean> {
    const { port } = server.address() as net.AddressInfo;
    return new Promise((resolve) => {
      const socket = net.connect(port, '127.0.0.1', () => socket.write('x'));
      const finish = (isInTime: boolean): void => {
        socket.destroy();
        resolve(isInTime);
      };
      const cancel = clock.startTimeout(TIMEOUT_MS, () => finish(false));
      socket.once('data', () => {
        cancel();
        finish(true);
      });
      setImmediate(stall);
    });
  }

  /** Guards against an overloaded VM that takes its own delay for the silence of the leader, or of its targets. */
  it('does not expire before the events that arrived during a stall of the process are handled', async () => {
    const outcomes: boolean[] = [];
    // One after the other: a listener accepts one connection in each turn of the event loop.
    for (let i = 0; i < 5; i++) outcomes.push(await isEchoInTime());
    expect(outcomes).to.deep.equal([true, true, true, true, true]);
  });

  it('expires in time without a stall, unless it is cancelled', async () => {
    const since = clock.steady();
    await new Promise<void>((resolve) => {
      clock.startTimeout(TIMEOUT_MS, resolve);
    });
    expect(clock.steady() - since).to.be.within(TIMEOUT_MS - 1, TIMEOUT_MS + STALL_MS);
    let hasExpired = false;
    const cancels = [TIMEOUT_MS, 0].map((ms) =>
      clock.startTimeout(ms, () => {
        hasExpired = true;
      }),
    );
    cancels.forEach((cancel) => cancel());
    await clock.sleep(2 * TIMEOUT_MS);
    expect(hasExpired).to.equal(false);
  });
});
