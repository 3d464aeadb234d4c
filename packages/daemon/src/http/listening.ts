/** Starting to listen, as a promise that fails when the address is taken. */
import type * as net from 'node:net';
import type * as codecs from '../configuration/codecs';

export async function listen(server: net.Server, { host, port }: codecs.Address): Promise<void> {
  await new Promise<void>((resolve, reject) => {
    server.once('error', reject);
    server.listen(port, host, resolve);
  });
}
