/**
 * Ports for listeners that start some time after their port is chosen. The ports lie below the ephemeral range:
 * an outgoing connection could take a port of that range in the meantime, and listening would fail with
 * EADDRINUSE.
 */
import * as net from 'node:net';

/** Below the ephemeral ranges of Linux (from 32768) and IANA (from 49152). */
const MIN_PORT = 20_000;
const PORT_LIMIT = 32_000;

/** Ports of one test process. */
const SLICE_PORTS = 1_000;

async function isFree(port: number): Promise<boolean> {
  const server = net.createServer();
  return new Promise((resolve) => {
    server.once('error', () => resolve(false));
    server.listen(port, '127.0.0.1', () => {
      server.close(() => resolve(true));
    });
  });
}

/** Listens on a port for as long as this process runs; false if another one does. */
async function hold(port: number): Promise<boolean> {
  const server = net.createServer();
  return new Promise((resolve) => {
    server.once('error', () => resolve(false));
    server.listen(port, '127.0.0.1', () => resolve(true));
    server.unref();
  });
}

/**
 * The first port of a slice that no other test process uses. Without it a process could take a port that a target of
 * another one leaves for a moment while it restarts.
 */
async function claimSlice(): Promise<number> {
  for (let first = MIN_PORT; first < PORT_LIMIT; first += SLICE_PORTS) {
    if (await hold(first)) return first;
  }
  throw new Error('too many test processes run at once');
}

let claimed: Promise<number> | undefined;

let given = 0;

/** Returns a port that nothing listens on; none is returned twice before the slice wraps around. */
export async function freePort(): Promise<number> {
  claimed ??= claimSlice();
  const first = await claimed;
  for (;;) {
    const port = first + 1 + (given % (SLICE_PORTS - 1));
    given += 1;
    if (await isFree(port)) return port;
  }
}
