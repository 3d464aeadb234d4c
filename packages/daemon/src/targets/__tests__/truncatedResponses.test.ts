/** Responses whose connection ends too early. */
import * as net from 'node:net';
import * as chai from 'chai';
import * as observer from '../../observability/observer';
import * as httpClient from '../httpClient';

const { expect } = chai;

const HEAD = 'HTTP/1.1 200 OK\r\n';

/** Time after which a connection ends, milliseconds; the client has what was sent before by then. */
const END_DELAY_MS = 30;

const SHORT = 100;

const LONG = 4_000_000;

describe('a response to the daemon with neither a length nor chunks', () => {
  /** What a call with a body of this size gets of a target; undefined for a failure. */
  async function bodyOf(
    behave: (socket: net.Socket) => void,
    size: number,
  ): Promise<string | undefined> {
    const server = net.createServer({ allowHalfOpen: true }, (socket) => {
      socket.on('error', () => undefined);
      behave(socket);
    });
    await new Promise<void>((resolve) => {
      server.listen(0, '127.0.0.1', resolve);
    });
    const { port } = server.address() as net.AddressInfo;
    const observe = new observer.Observer('test', 'fatal', undefined);
    const client = new httpClient.HttpClient(1_000, undefined, observe);
    const address = `127.0.0.1:${port}`;
    const call = { method: 'POST', path: '/', body: Buffer.alloc(size) } as const;
    try {
      const { body } = await client.request(address, call);
      return (await client.read(address, call, body)).toString();
    } catch {
      return undefined;
    } finally {
      client.close();
      server.close();
    }
  }

  // Guards against part of a response that is passed on as whole.
  it('fails if its connection is reset', async () => {
    const reset = (socket: net.Socket): void => {
      socket.once('data', () => {
        socket.write(`${HEAD}\r\npart`);
        setTimeout(() => socket.resetAndDestroy(), END_DELAY_MS);
      });
    };
    expect(await bodyOf(reset, SHORT)).to.equal(undefined);
  });

  it('fails if its connection is closed before the request was read', async () => {
    const close = (socket: net.Socket): void => {
      socket.once('data', () => {
        socket.end(`${HEAD}\r\npart`);
        setImmediate(() => socket.destroy());
      });
    };
    expect(await bodyOf(close, LONG)).to.equal(undefined);
  });

  it('is whole if its connection is closed once the request was read', async () => {
    const answer = (socket: net.Socket): void => {
      let read = 0;
      socket.on('data', (data) => {
        read += data.length;
        if (read > LONG) socket.end(`${HEAD}\r\nwhole`);
      });
    };
    expect(await bodyOf(answer, LONG)).to.equal('whole');
  });
});
