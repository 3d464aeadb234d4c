/** Messages by way of another entry, over real sockets: what the sender learns, and what reaches the target. */
import * as http from 'node:http';
import * as net from 'node:net';
import * as chai from 'chai';
import * as msgpackr from 'msgpackr';
import * as clock from '../../clock';
import * as observer from '../../observability/observer';
import * as authenticatedSocket from '../../rpc/authenticatedSocket';
import * as peerServer from '../../rpc/peerServer';
import * as relayClient from '../relayClient';
import * as relayServer from '../relayServer';
import * as targetAttempt from '../targetAttempt';
import * as targetClient from '../targetClient';
import type * as targetMessage from '../targetMessage';
import * as harness from './__fixtures__/harness';

const { expect } = chai;

const SECRET = 'a-secret-of-the-test';

const OBSERVER = new observer.Observer('test', 'fatal', undefined);

const WHOLE = 'HTTP/1.1 200 OK\r\nid: r1\r\nsigned: 1\r\nContent-Length: 5\r\n\r\nwhole';

interface Delivery {
  end: relayClient.RelayEnd;
  /** Undefined if the attempt may go another way. */
  result: targetMessage.SendResult | undefined;
  body: string;
  status: number | undefined;
  wasSent: boolean;
}

describe('relay', () => {
  const closers: (() => void)[] = [];

  /** Relays that took no messages, as reported by the client. */
  const failedRelays: string[] = [];

  afterEach(() => {
    closers.splice(0).forEach((close) => close());
    failedRelays.length = 0;
  });

  const listen = async (handle: (socket: net.Socket) => void): Promise<number> => {
    const server = net.createServer((socket) => {
      socket.on('error', () => undefined);
      handle(socket);
    });
    await new Promise<void>((resolve) => {
      server.listen(0, '127.0.0.1', resolve);
    });
    closers.push(() => server.close());
    return (server.address() as net.AddressInfo).port;
  };

  /** A target that handles each connection by `behave` after its first bytes; returns its address. */
  const startTarget = async (behave: (socket: net.Socket) => void): Promise<string> => {
    const port = await listen((socket) => socket.once('data', () => behave(socket)));
    return `127.0.0.1:${port}`;
  };

  /** An entry that relays; returns its address. */
  const startRelay = async (
    options: Partial<relayServer.Dependencies> & { gate?: targetMessage.AdmissionGate } = {},
  ): Promise<string> => {
    const { gate = harness.PERMISSIVE_GATE, ...others } = options;
    const targets = new targetClient.TargetClient({ protocol: harness.PROTOCOL, gate });
    const relay = new relayServer.RelayServer({
      targets,
      isReady: () => true,
      isLost: () => false,
      lostScopes: () => [],
      withheld: () => [],
      withheldMs: () => undefined,
      observer: OBSERVER,
      ...others,
    });
    const server = new peerServer.PeerServer(SECRET, undefined, OBSERVER);
    server.serveHttp(relay.server);
    const port = await server.listen({ host: '127.0.0.1', port: 0 });
    closers.push(() => {
      void server.close();
      targets.close();
    });
    return `127.0.0.1:${port}`;
  };

  const start = (
    relays: readonly string[],
    address: string,
  ): { attempt: targetAttempt.Attempt; delivered: Promise<Delivery> } => {
    const client = new relayClient.RelayClient({
      peers: {
        choose: async ({ excluded = [] } = {}) => relays.find((each) => !excluded.includes(each)),
        begin: () => () => undefined,
        failed: (relay) => failedRelays.push(relay),
        size: relays.length,
        withheld: () => undefined,
        withheldMs: () => 0,
      },
      protocol: harness.PROTOCOL,
      secret: SECRET,
      source: undefined,
      scopesOf: () => [],
      observer: OBSERVER,
    });
    closers.push(() => client.close());
    let body = '';
    let status: number | undefined;
    const handler: targetMessage.ResponseHandler = {
      onHead: (head) => {
        ({ status } = head);
      },
      onData: (chunk) => {
        body += chunk.toString();
      },
    };
    const message: targetMessage.TargetMessage = {
      ...{ target: 't', address, purpose: 'request', requestId: 'r1' },
      ...{ method: 'POST', path: '/a', headers: ['id', 'r1'], body: Buffer.from('asked') },
    };
    const callbacks = harness.PERMISSIVE_GATE.admit(message);
    const attempt = new targetAttempt.Attempt(message, handler, callbacks);
    const delivered = client.deliver(message, attempt).then(async (end) => {
      const result = attempt.isOver ? await attempt.result : undefined;
      return { end, result, body, status, wasSent: attempt.wasSent };
    });
    return { attempt, delivered };
  };

  const deliver = (relays: readonly string[], address: string): Promise<Delivery> =>
    start(relays, address).delivered;

  it('passes on a response as the target sent it', async () => {
    const target = await startTarget((socket) => socket.write(WHOLE));
    const { result, body, status } = await deliver([await startRelay()], target);
    expect([result?.kind, status, body]).to.deep.equal(['complete', 200, 'whole']);
  });

  /** Guards against a truncated response that looks complete after a second hop. */
  it('reports a response that the target cut as broken', async () => {
    const target = await startTarget((socket) => {
      socket.write(WHOLE.slice(0, -2), () => socket.resetAndDestroy());
    });
    const { result } = await deliver([await startRelay()], target);
    expect(result?.kind).to.equal('broken');
  });

  /** Guards against a refusal of another request that one entry recognises and another one believes. */
  it('reports a response to another message as such, which guarantees nothing', async () => {
    const refusal = harness.answer('', 503, 'not-run: 1\r\n', 'r0');
    const target = await startTarget((socket) => socket.write(refusal));
    const { result, status, wasSent } = await deliver([await startRelay()], target);
    expect([result?.kind, status, wasSent]).to.deep.equal(['foreign', undefined, true]);
  });

  /** Guards against a check for a crash of a target that only sent more than can be used. */
  it('reports a response that the relay gave up as such', async () => {
    const hints = 'HTTP/1.1 103 Early Hints\r\n\r\n'.repeat(100);
    const target = await startTarget((socket) => socket.write(hints));
    const { result, wasSent } = await deliver([await startRelay()], target);
    expect([result?.kind, wasSent]).to.deep.equal(['unusable', true]);
  });

  /** Guards against a caller that is told that its request may have run, although no target received it. */
  it('reports a message that reached no target as not sent', async () => {
    const { end, wasSent, result } = await deliver([await startRelay()], '127.0.0.1:1');
    expect([end.kind, wasSent, result]).to.deep.equal(['notSent', false, undefined]);
  });

  /** Guards against an unsafe request that runs twice because its relay died after passing it on. */
  it('never sends a message again that a relay may have passed on', async () => {
    let arrivals = 0;
    const target = await startTarget(() => {
      arrivals += 1;
    });
    // The relay's peer connection is cut once the target has the message.
    const sockets: net.Socket[] = [];
    const relay = await startRelay();
    const [, relayPort] = relay.split(':');
    const port = await listen((socket) => {
      const onward = net.connect(Number(relayPort), '127.0.0.1');
      sockets.push(socket, onward);
      socket.pipe(onward).pipe(socket);
      onward.on('error', () => undefined);
    });
    const { delivered } = start([`127.0.0.1:${port}`, relay], target);
    while (arrivals === 0) await clock.sleep(5);
    sockets.forEach((socket) => socket.destroy());
    const { result, wasSent } = await delivered;
    expect([result?.kind, wasSent, arrivals]).to.deep.equal(['broken', true, 1]);
  });

  /** Guards against work that goes on at a target for a caller that left. */
  it("closes the target's connection when the attempt is cancelled", async () => {
    let isClosed = false;
    let hasArrived = false;
    const target = await startTarget((socket) => {
      hasArrived = true;
      socket.once('close', () => {
        isClosed = true;
      });
    });
    const { attempt } = start([await startRelay()], target);
    while (!hasArrived) await clock.sleep(5);
    attempt.cancel();
    await clock.sleep(200);
    expect(isClosed).to.equal(true);
  });

  /** Guards against a message that fails because the first entry that is asked can't send it. */
  it('offers a message to another entry if one stops, has lost the path itself or may not send it', async () => {
    const target = await startTarget((socket) => socket.write(WHOLE));
    const relays = [
      await startRelay({ isReady: () => false }),
      await startRelay({ isLost: () => true }),
      await startRelay(),
    ];
    expect((await deliver(relays, target)).body).to.equal('whole');
    // The second one declined this target only.
    expect(failedRelays).to.deep.equal([relays[0]]);
    const withheld = await startRelay({ gate: { admit: () => undefined } });
    const other = await startTarget((socket) => socket.write(WHOLE));
    expect((await deliver([withheld, await startRelay()], other)).body).to.equal('whole');
  });

  /** Guards against a relay whose result fills the memory of the entry that asked it. */
  it('is over if the result of the relay has no end', async () => {
    const server = new peerServer.PeerServer(SECRET, undefined, OBSERVER);
    const piece = Buffer.alloc(65_536, 'x');
    let isClosed = false;
    const relay = http.createServer((_request, response) => {
      response.once('close', () => {
        isClosed = true;
      });
      response.writeHead(503);
      const write = (): void => {
        if (!isClosed) response.write(piece, write);
      };
      write();
    });
    server.serveHttp(relay);
    const port = await server.listen({ host: '127.0.0.1', port: 0 });
    closers.push(() => {
      void server.close();
    });
    const { attempt, delivered } = start([`127.0.0.1:${port}`], '127.0.0.1:1');
    setTimeout(() => attempt.cancel(), 1_000);
    const { result, wasSent } = await delivered;
    expect([result?.kind, wasSent]).to.deep.equal(['broken', true]);
  });

  /** Guards against a message of another entry that ends the process of its relay, or is never answered. */
  it('refuses a message whose head is malformed', async () => {
    const options = { secret: SECRET, localAddress: undefined, timeoutMs: 1_000 };
    const [hostname, port] = (await startRelay()).split(':');
    const rejections: unknown[] = [];
    const note = (error: unknown): number => rejections.push(error);
    process.on('unhandledRejection', note);
    const socket = await new Promise<net.Socket>((resolve, reject) => {
      authenticatedSocket.open({ hostname, port }, options, (error, opened) => {
        if (opened === null) reject(error);
        else resolve(opened);
      });
    });
    let answers = '';
    socket.on('data', (data) => {
      answers += data.toString();
    });
    const head = {
      ...{ target: 't', address: '127.0.0.1:1', purpose: 'request', method: 'POST', path: '/' },
      headers: null,
    };
    const malformed = ['wA==', msgpackr.pack(head).toString('base64'), '!', ''];
    malformed.forEach((each) =>
      socket.write(`POST /messages HTTP/1.1\r\nHost: a\r\nX-Message: ${each}\r\n\r\n`),
    );
    const countAnswers = (): number => answers.split('unreadable message').length - 1;
    for (let i = 0; i < 50 && countAnswers() < malformed.length; i++) await clock.sleep(10);
    process.off('unhandledRejection', note);
    socket.destroy();
    expect([countAnswers(), rejections]).to.deep.equal([malformed.length, []]);
  });

  /** Guards against a message that fills the memory of a relay. */
  it('declines a message without an end', async () => {
    const options = { secret: SECRET, localAddress: undefined, timeoutMs: 1_000 };
    const [hostname, port] = (await startRelay()).split(':');
    const socket = await new Promise<net.Socket>((resolve, reject) => {
      authenticatedSocket.open({ hostname, port }, options, (error, opened) => {
        if (opened === null) reject(error);
        else resolve(opened);
      });
    });
    let answer = '';
    socket.on('data', (data) => {
      answer += data.toString();
    });
    const piece = Buffer.from(harness.chunk('x'.repeat(1_048_576)));
    let bytesWritten = 0;
    const write = (): void => {
      bytesWritten += piece.length;
      if (!socket.destroyed && bytesWritten < 200 * 1_048_576) socket.write(piece, write);
      else socket.destroy();
    };
    socket.write('POST /messages HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n', write);
    await new Promise((resolve) => {
      socket.once('close', resolve);
    });
    expect(answer).to.contain('declined');
    expect(bytesWritten).to.be.below(100 * 1_048_576);
  });

  /** Guards against an entry of an earlier version that gets HTTP where it expects calls. */
  it('is not attempted at an entry that does not know it', async () => {
    const server = new peerServer.PeerServer(SECRET, undefined, OBSERVER);
    const port = await server.listen({ host: '127.0.0.1', port: 0 });
    closers.push(() => {
      void server.close();
    });
    const target = await startTarget((socket) => socket.write(WHOLE));
    const { body, wasSent } = await deliver([`127.0.0.1:${port}`, await startRelay()], target);
    expect([body, wasSent]).to.deep.equal(['whole', true]);
  });
});
