/**
 * Ports for listeners that start later than they are chosen. They lie below the range from which the system
 * takes the local ports of outgoing connections: one of that range may be taken by any connection between
 * the choice and the listening, and the listener then fails with EADDRINUSE.
 */
import * as net from 'node:net';

/** Below the ranges for outgoing connections of Linux (32768) and of IANA (49152). */
const MIN_PORT = 20_000;
const PORT_LIMIT = 32_000;

/** Test runs side by side begin at different places. */
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

/** A port that nobody listens on, and that is given out once. */
export async function freePort(): Promise<number> {
  for (;;) {
    const port = nextPort;
    nextPort = nextPort + 1 < PORT_LIMIT ? nextPort + 1 : MIN_PORT;
    if (await isFree(port)) return port;
  }
}
