/** Starting to listen, as a promise that fails when the address is taken. */
import type * as net from 'node:net';
import type * as codecs from '../configuration/codecs';

/** A listener that was begun before its server existed. */
export interface EarlyListener {
  address: codecs.Address;
  /** Listens; its handle goes over to the server. */
  server: net.Server;
  /** Connections that came meanwhile, paused. */
  held: net.Socket[];
}

export async function listen(server: net.Server, { host, port }: codecs.Address): Promise<void> {
  await new Promise<void>((resolve, reject) => {
    server.once('error', reject);
    server.listen(port, host, resolve);
  });
}

/** Takes an early listener over, with the connections that it has. */
export async function takeOver(server: net.Server, early: EarlyListener): Promise<void> {
  await new Promise<void>((resolve, reject) => {
    server.once('error', reject);
    server.listen(early.server, resolve);
  });
  early.held.splice(0).forEach((socket) => {
    server.emit('connection', socket);
    socket.resume();
  });
}

/** Listens at an address, with the early listener if it is there. */
export function listenOrTakeOver(
  server: net.Server,
  address: codecs.Address,
  early: EarlyListener | undefined,
): Promise<void> {
  const isSame = early?.address.host === address.host && early.address.port === address.port;
  return isSame ? takeOver(server, early) : listen(server, address);
}
