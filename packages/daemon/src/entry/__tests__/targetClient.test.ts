/** Attempts against targets whose responses are truncated, reset or missing. */
import * as net from 'node:net';
import * as chai from 'chai';
import * as targetClient from '../targetClient';
import type * as targetMessage from '../targetMessage';
import * as harness from './__fixtures__/harness';

const { expect } = chai;

interface Result {
  end: targetMessage.SendResult;
  body: string;
}

/** Sends one request to a target that handles its connection by `behave`; `afterSend` is called once it is sent. */
async function sendTo(
  behave: (socket: net.Socket) => void,
  afterSend: (client: targetClient.TargetClient) => void = () => undefined,
): Promise<Result> {
  const server = net.createServer((socket) => {
    socket.on('error', () => undefined);
    socket.once('data', () => behave(socket));
  });
  await new Promise<void>((resolve) => {
    server.listen(0, '127.0.0.1', resolve);
  });
  const { port } = server.address() as net.AddressInfo;
  const client = new targetClient.TargetClient({
    protocol: harness.PROTOCOL,
    gate: harness.PERMISSIVE_GATE,
  });
  let body = '';
  const attempt = client.send(
    {
      target: 't',
      address: `127.0.0.1:${port}`,
      purpose: 'request',
      method: 'GET',
      path: '/',
      headers: ['host', 'a.example'],
      body: Buffer.alloc(0),
    },
    {
      onHead: () => undefined,
      onData: (chunk) => {
        body += chunk.toString();
      },
    },
  );
  afterSend(client);
  const end = await attempt.result;
  client.close();
  server.close();
  return { end, body };
}

const UNFRAMED = 'HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n';
const CHUNKED = 'HTTP/1.1 200 OK\r\nConnection: close\r\nTransfer-Encoding: chunked\r\n\r\n';

describe('target client', () => {
  // Guards against an error on the way to a relay that ends the process, or leaves a request without an outcome.
  it('ends an attempt whose relaying fails unexpectedly', async () => {
    const client = new targetClient.TargetClient({
      protocol: harness.PROTOCOL,
      gate: harness.PERMISSIVE_GATE,
      paths: { isLost: () => true } as unknown as targetClient.Dependencies['paths'],
      relays: {
        hasPeers: true,
        withholds: () => false,
        deliver: async () => {
          throw new TypeError('unexpected');
        },
      },
    });
    const recipient = { target: 't', address: '127.0.0.1:1', purpose: 'request' } as const;
    const message = { ...recipient, method: 'GET', path: '/', headers: [], body: Buffer.alloc(0) };
    const { result } = client.send(message, { onHead: () => undefined, onData: () => undefined });
    expect(await result).to.deep.equal({ kind: 'broken', detail: 'TypeError: unexpected' });
  });

  it('accepts a response without a length as complete when its connection is closed cleanly', async () => {
    const { end, body } = await sendTo((socket) => socket.end(`${UNFRAMED}whole`));
    expect([end.kind, body]).to.deep.equal(['complete', 'whole']);
  });

  // Guards against answers that end because a change of the registry removes their target.
  it('finishes what is under way when its target is gone', async () => {
    const behave = (socket: net.Socket): void => {
      socket.write(`${CHUNKED}${harness.chunk('wh')}`);
      setTimeout(() => socket.end(harness.chunk('ole') + harness.LAST_CHUNK), 100);
    };
    const unconnected = await sendTo(behave, (client) => client.forget('t'));
    const midway = await sendTo(behave, (client) => setTimeout(() => client.forget('t'), 50));
    const seen = [unconnected, midway].map(({ end, body }) => `${end.kind} ${body}`);
    expect(seen).to.deep.equal(['complete whole', 'complete whole']);
  });

  /*
   * Guards against a truncated response that looks complete to the caller. The target crashes while it sends a response
   * that is delimited by the end of the connection: data and reset arrive together, and libuv reports an end.
   */
  it('never accepts a response as complete whose connection was reset', async () => {
    const together = await sendTo((socket) => {
      socket.write(`${UNFRAMED}half`);
      socket.resetAndDestroy();
    });
    const later = await sendTo((socket) => {
      socket.write(`${UNFRAMED}half`);
      setTimeout(() => socket.resetAndDestroy(), 30);
    });
    expect([together.end.kind, later.end.kind]).to.deep.equal(['broken', 'broken']);
  });

  it('detects a missing last chunk, and fewer bytes than the length', async () => {
    const chunked = await sendTo((socket) => socket.end(`${CHUNKED}4\r\nhalf\r\n`));
    const short = await sendTo((socket) =>
      socket.end('HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nhalf'),
    );
    expect([chunked.end.kind, short.end.kind]).to.deep.equal(['broken', 'broken']);
  });

  it('reports that nothing was sent if no connection was established', async () => {
    const client = new targetClient.TargetClient({
      protocol: harness.PROTOCOL,
      gate: harness.PERMISSIVE_GATE,
    });
    const handler = { onHead: () => undefined, onData: () => undefined };
    const attempt = client.send(
      {
        target: 't',
        address: '127.0.0.1:1',
        purpose: 'request',
        method: 'POST',
        path: '/',
        headers: [],
        body: Buffer.from('x'),
      },
      handler,
    );
    expect((await attempt.result).kind).to.equal('notSent');
    client.close();
  });
});
