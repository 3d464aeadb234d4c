/** Targets that accept no connections. */
import * as net from 'node:net';
import * as chai from 'chai';
import * as observer from '../../observability/observer';
import * as httpClient from '../httpClient';

const { expect } = chai;

describe('a call to a target that refuses connections', () => {
  async function unusedPort(): Promise<number> {
    const server = net.createServer();
    await new Promise<void>((resolve) => {
      server.listen(0, '127.0.0.1', resolve);
    });
    const { port } = server.address() as net.AddressInfo;
    await new Promise((resolve) => {
      server.close(resolve);
    });
    return port;
  }

  // Guards against a process that ends with the first connection that is refused.
  it('fails, and proves that nothing was sent', async () => {
    const observe = new observer.Observer('test', 'fatal', undefined);
    const client = new httpClient.HttpClient(1_000, undefined, observe);
    const address = `127.0.0.1:${await unusedPort()}`;
    try {
      const failure = await client.request(address, { method: 'GET', path: '/' }).then(
        () => undefined,
        ({ code }: NodeJS.ErrnoException) => code,
      );
      expect(failure).to.equal('ECONNREFUSED');
    } finally {
      client.close();
    }
  });
});
