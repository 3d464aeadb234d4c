/**
 * Ports for listeners that start some time after their port is chosen. The ports lie below the ephemeral range:
 * an outgoing connection could take a port of that range in the meantime, and listening would fail with
 * EADDRINUSE.
 */
import * as net from 'node:net';

/** Below the ephemeral ranges of Linux (from 32768) and IANA (from 49152). */
const MIN_PORT = 20_000;
const PORT_LIMIT = 32_000;

/** Differs between concurrent test processes, so that they start with different ports. */
let nextPort = MIN_PORT + ((process.pid * 97) % (PORT_LIMIT - MIN_PORT));

async function isFree(port: number): Promise<boolean> {
  const server = net.createServer();
  return new Promise((resolve) => {
    server.once('error', () => resolve(false));
    server.listen(port, '127.0.0.1', () => {
      server.close(() => resolve(true));
    });
  });
}

/** Returns a port that nothing listens on; none is returned twice before the range wraps around. */
export async function freePort(): Promise<number> {
  for (;;) {
    const port = nextPort;
    nextPort = nextPort + 1 < PORT_LIMIT ? nextPort + 1 : MIN_PORT;
    if (await isFree(port)) return port;
  }
}
