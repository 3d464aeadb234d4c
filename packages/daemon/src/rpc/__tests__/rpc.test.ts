/** Calls between daemons: authentication, malformed input, connections that stall or are never established. */
import * as cp from 'node:child_process';
import * as net from 'node:net';
import * as chai from 'chai';
import * as fastCheck from 'fast-check';
import * as t from 'io-ts';
import * as observer from '../../observability/observer';
import * as framing from '../framing';
import * as peerClient from '../peerClient';
import * as peerServer from '../peerServer';

const { expect } = chai;

/** Program that listens, prints its port and then accepts nothing, so that its accept queue fills up. */
const NON_ACCEPTING_LISTENER = `
  const server = require('node:net').createServer().listen(0, '127.0.0.1', 1, () => {
    require('node:fs').writeSync(1, String(server.address().port));
    Atomics.wait(new Int32Array(new SharedArrayBuffer(4)), 0, 0, 10_000);
  });
`;

const LOCAL = { host: '127.0.0.1', port: 0 };

function pause(ms: number): Promise<void> {
  return new Promise((resolve) => {
    setTimeout(resolve, ms);
  });
}

describe('peer calls', () => {
  const observe = new observer.Observer('test', 'fatal', undefined);
  const server = new peerServer.PeerServer('right-secret', undefined, observe);
  let address = '';

  before(async () => {
    server.add('echo', (parameters) => parameters);
    server.add('slow', async () => {
      await new Promise((resolve) => {
        setTimeout(resolve, 200);
      });
      return 'slow';
    });
    server.add('throws', () => {
      throw new Error('bad');
    });
    address = `127.0.0.1:${await server.listen(LOCAL)}`;
  });

  after(() => server.close());

  function client(secret = 'right-secret'): peerClient.PeerClient {
    return new peerClient.PeerClient(secret, undefined, observe);
  }

  it('answers only peers that know the secret', async () => {
    const good = client();
    const bad = client('wrong-secret');
    const answered = await good.call(address, 'echo', { a: [1, 'x'] });
    const refused = await bad.call(address, 'echo', {}, { timeoutMs: 500 });
    const failed = await good.call(address, 'throws', {});
    const unknown = await good.call(address, 'nothing', {});
    expect([answered.val, refused.ok, failed.ok, unknown.ok]).to.deep.equal([
      { a: [1, 'x'] },
      false,
      false,
      false,
    ]);
    good.close();
    bad.close();
  });

  // Guards against a process that ends as it has no file descriptor for a connection.
  it('go on if connections can’t be accepted', async () => {
    const { server: listener } = server as unknown as { server: net.Server };
    for (let i = 0; i < 3; i++) listener.emit('error', new Error('accept EMFILE'));
    const caller = client();
    expect((await caller.call(address, 'echo', { a: 1 })).ok).to.equal(true);
    caller.close();
  });

  // Guards against an address or an answer that ends the process of the caller or the callee.
  it('fail with an error if their address or answer is unusable', async () => {
    server.add('unencodable', () => ({
      get a(): never {
        throw new TypeError('unexpected');
      },
    }));
    const caller = client();
    const options = { timeoutMs: 5_000 };
    const rejections: unknown[] = [];
    const note = (error: unknown): void => {
      rejections.push(error);
    };
    process.on('unhandledRejection', note);
    const results = [
      await caller.call('127.0.0.1:99999', 'echo', {}, options).catch(() => 'rejected'),
      await caller.call(address, 'unencodable', {}, options),
      await caller.call(address, 'echo', { a: 1 }, options),
    ];
    process.off('unhandledRejection', note);
    caller.close();
    const kinds = results.map((each) => {
      if (typeof each === 'string') return each;
      return each.ok ? 'ok' : each.val.kind;
    });
    expect([kinds, rejections]).to.deep.equal([['unreachable', 'rejected', 'ok'], []]);
  });

  // Guards against an answer or parameters of the wrong shape that raise an error wherever they are first read.
  it('fail if their parameters or answer have not the shape of their method', async () => {
    const logged: object[] = [];
    const noted = {
      count: () => undefined,
      log: (_: string, fields: object) => logged.push(fields),
    };
    const shapes = {
      requests: new Map([['named', t.type({ name: t.string })]]),
      answers: new Map([['named', t.type({ size: t.number })]]),
    };
    const taking = noted as unknown as observer.Observer;
    const strict = new peerServer.PeerServer('right-secret', undefined, taking, shapes);
    strict.add('named', (parameters) => (parameters as { answer: unknown }).answer);
    const peer = `127.0.0.1:${await strict.listen(LOCAL)}`;
    const caller = new peerClient.PeerClient(
      'right-secret',
      undefined,
      taking,
      undefined,
      50,
      shapes,
    );
    const kinds = [];
    for (const answer of [{ size: 1 }, null, 'text', { size: null }, undefined]) {
      const result = await caller.call(peer, 'named', { name: 'a', answer });
      kinds.push(result.ok ? 'ok' : result.val.kind);
    }
    const refused = await caller.call(peer, 'named', { name: null });
    kinds.push(refused.ok ? 'ok' : refused.val.kind);
    expect(kinds).to.deep.equal(['ok', 'failed', 'failed', 'failed', 'failed', 'rejected']);
    expect(logged).to.deep.equal([
      { kind: 'answer', method: 'named', peer },
      { kind: 'request', method: 'named', peer: '127.0.0.1' },
    ]);
    caller.close();
    await strict.close();
  });

  /*
   * Guards against 0.4 s of needless refusals after a power loss. A keeper that started before the others had power
   * kept its connections to them pending until TCP retransmitted the lost SYN, and its votes waited with them. A
   * connection that isn't established in time must be replaced with the next message. A listener with a full accept
   * queue drops SYNs in the same way.
   */
  it('replaces a connection that is not established in time', async () => {
    const listenerProcess = cp.spawn(process.execPath, ['-e', NON_ACCEPTING_LISTENER]);
    const output = await new Promise<Buffer>((resolve) => {
      listenerProcess.stdout.once('data', resolve);
    });
    const port = Number(output.toString());
    const fillers = [1, 2, 3, 4].map(() => net.connect(port, '127.0.0.1'));
    fillers.forEach((filler) => filler.on('error', () => undefined));
    await pause(50);
    const caller = new peerClient.PeerClient('right-secret', undefined, observe, undefined, 50);
    caller.notify(`127.0.0.1:${port}`, 'echo', {});
    await pause(100);
    fillers.forEach((filler) => filler.destroy());
    listenerProcess.kill('SIGKILL');
    await new Promise((resolve) => {
      listenerProcess.once('exit', resolve);
    });
    const acceptingServer = new peerServer.PeerServer('right-secret', undefined, observe);
    acceptingServer.add('echo', (parameters) => parameters);
    await acceptingServer.listen({ host: '127.0.0.1', port });
    const answered = await caller.call(`127.0.0.1:${port}`, 'echo', { a: 1 }, { timeoutMs: 500 });
    caller.close();
    await acceptingServer.close();
    expect(answered.val).to.deep.equal({ a: 1 });
  });

  /*
   * Guards against one late answer failing all calls of an entry to a busy leader: its timeout closed the shared
   * connection, and the entry considered the leader lost. A call that tolerates delay must leave the connection open.
   */
  it('keeps the connection open for other calls when a call that tolerates delay times out', async () => {
    const caller = client();
    const concurrent = caller.call(address, 'slow', {});
    const tolerant = caller.call(address, 'slow', {}, { timeoutMs: 50, toleratesDelay: true });
    expect([(await tolerant).ok, (await concurrent).val]).to.deep.equal([false, 'slow']);
    const strict = caller.call(address, 'slow', {}, { timeoutMs: 50 });
    expect([(await caller.call(address, 'slow', {})).ok, (await strict).ok]).to.deep.equal([
      false,
      false,
    ]);
    caller.close();
  });

  /*
   * A connection stalls permanently when a middlebox loses its state, while new connections work. The call times
   * out, and the next one must not use the same connection.
   */
  it('drops a stalled connection and reaches the peer over a new one', async () => {
    const proxied: net.Socket[] = [];
    const proxy = net.createServer((socket) => {
      const [host, port] = address.split(':') as [string, string];
      const upstreamSocket = net.connect(Number(port), host);
      socket.on('error', () => undefined);
      upstreamSocket.on('error', () => undefined);
      proxied.push(socket, upstreamSocket);
      socket.pipe(upstreamSocket).pipe(socket);
    });
    await new Promise<void>((resolve) => {
      proxy.listen(0, '127.0.0.1', resolve);
    });
    const port = (proxy.address() as net.AddressInfo).port;
    const caller = client();
    const proxyAddress = `127.0.0.1:${port}`;
    const first = await caller.call(proxyAddress, 'echo', 1);
    proxied.forEach((socket) => {
      socket.unpipe();
      socket.pause();
    });
    const silent = await caller.call(proxyAddress, 'echo', 2, { timeoutMs: 150 });
    const next = await caller.call(proxyAddress, 'echo', 3, { timeoutMs: 2_000 });
    expect([first.val, silent.err && silent.val.kind, next.val]).to.deep.equal([1, 'timeout', 3]);
    caller.close();
    proxied.forEach((socket) => socket.destroy());
    proxy.close();
  });

  it('keeps serving after a thousand malformed frames', async () => {
    const bytes = fastCheck.sample(fastCheck.uint8Array({ minLength: 1, maxLength: 60 }), {
      seed: 7,
      numRuns: 1_000,
    });
    for (let i = 0; i < bytes.length; i += 50) {
      await Promise.all(
        bytes.slice(i, i + 50).map(
          (garbage) =>
            new Promise<void>((resolve) => {
              const [host, port] = address.split(':') as [string, string];
              const socket = net.connect(Number(port), host, () => {
                socket.write(framing.encode(i % 100 === 0 ? { nonce: 'n', answer: 'a' } : garbage));
                socket.end(Buffer.from(garbage));
              });
              socket.resume();
              socket.on('error', () => resolve());
              socket.on('close', () => resolve());
            }),
        ),
      );
    }
    const caller = client();
    expect((await caller.call(address, 'echo', 'alive')).val).to.equal('alive');
    caller.close();
  });

  it('rejects a frame over the limit before reading it', () => {
    const decoder = new framing.FrameDecoder(() => undefined, 10);
    expect(() => decoder.push(framing.encode('longer than ten bytes'))).to.throw(/over the limit/);
  });

  /** Guards against an address where something else listens, and sends what looks like the beginning of a long frame. */
  it('closes a connection on which an unknown peer sends a long frame', async () => {
    const stranger = net.createServer((socket) => {
      socket.on('error', () => undefined);
      socket.write(Buffer.concat([Buffer.from([0, 32, 0, 0]), Buffer.alloc(10_000)]));
    });
    await new Promise<void>((resolve) => {
      stranger.listen(0, '127.0.0.1', resolve);
    });
    const { port } = stranger.address() as net.AddressInfo;
    const caller = client();
    const result = await caller.call(`127.0.0.1:${port}`, 'echo', 1, { timeoutMs: 500 });
    caller.close();
    stranger.close();
    expect(result.err && result.val.detail).to.equal('malformed frame');
  });

  it('reassembles frames however the bytes are split', () => {
    const values = [{ a: 1 }, 'x', [1, 2, 3], null];
    const all = Buffer.concat(values.map(framing.encode));
    fastCheck.assert(
      fastCheck.property(fastCheck.array(fastCheck.integer({ min: 1, max: 9 })), (sizes) => {
        const decoded: unknown[] = [];
        const decoder = new framing.FrameDecoder((value) => decoded.push(value));
        let at = 0;
        [...sizes, all.length].forEach((size) => {
          decoder.push(all.subarray(at, at + size));
          at = Math.min(all.length, at + size);
        });
        expect(decoded).to.deep.equal(values);
      }),
      { seed: 2 },
    );
  });
});
