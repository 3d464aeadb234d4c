/** Starts servers, as promises that reject if the address is in use, and adopts early listeners. */
import type * as net from 'node:net';
import type * as codecs from '../configuration/codecs';
import type * as observer from '../observability/observer';

type Counters = Pick<observer.Observer, 'count'>;

/**
 * A socket that accepts connections before the server that will handle them exists; `earlyListener.cjs` of the program
 * creates it, with these field names.
 */
export interface EarlyListener {
  address: codecs.Address;
  /** The listening socket, whose handle is passed to the final server. */
  server: net.Server;
  /** Paused connections that were accepted in the meantime. */
  held: net.Socket[];
}

export async function listen(
  server: net.Server,
  { host, port }: codecs.Address,
  counters?: Counters,
): Promise<void> {
  await new Promise<void>((resolve, reject) => {
    server.once('error', reject);
    server.listen(port, host, resolve);
  });
  surviveErrors(server, counters);
}

/**
 * Counts connections that can't be accepted, for instance for want of file descriptors (`listener.errors.EMFILE`); an error
 * without a listener would end the process.
 */
export function surviveErrors(server: net.Server, counters?: Counters): void {
  server.on('error', ({ code }: NodeJS.ErrnoException) => {
    counters?.count(`listener.errors.${code ?? 'unknown'}`);
  });
}

/** Listens once more with a server whose listener was closed; may be called any number of times. */
export async function listenAgain(server: net.Server, address: codecs.Address): Promise<void> {
  await new Promise<void>((resolve, reject) => {
    server.once('error', reject);
    server.listen(address.port, address.host, () => {
      server.off('error', reject);
      resolve();
    });
  });
}

/** Passes an early listener and its accepted connections to a server. */
export async function takeOver(
  server: net.Server,
  early: EarlyListener,
  counters?: Counters,
): Promise<void> {
  await new Promise<void>((resolve, reject) => {
    server.once('error', reject);
    server.listen(early.server, resolve);
  });
  surviveErrors(server, counters);
  early.held.splice(0).forEach((socket) => {
    server.emit('connection', socket);
    socket.resume();
  });
}

/** Listens at an address, with the early listener if it has the same address. */
export function listenOrTakeOver(
  server: net.Server,
  address: codecs.Address,
  early: EarlyListener | undefined,
  counters?: Counters,
): Promise<void> {
  const isSame = early?.address.host === address.host && early.address.port === address.port;
  return isSame ? takeOver(server, early, counters) : listen(server, address, counters);
}
