/** Responses with neither a length nor chunks, which end with their connection. */
import * as net from 'node:net';
import * as chai from 'chai';
import * as targetClient from '../targetClient';
import * as harness from './__fixtures__/harness';

const { expect } = chai;

const HEAD = 'HTTP/1.1 200 OK\r\nid: r1\r\nsigned: 1\r\n\r\n';

/** Time after which a connection ends, milliseconds; the caller has what was sent before by then. */
const END_DELAY_MS = 30;

const RESPOND: harness.TargetBehaviour = (_request, socket) =>
  socket.write(harness.answer('elsewhere'));

const FIRST_EVENT = 'id: 1\ndata: a\n\n';
const SECOND_EVENT = 'id: 2\ndata: b\n\n';

/** Sends the rest of the stream, in whichever way. */
const RESUME: harness.TargetBehaviour = (_request, socket) =>
  socket.write(harness.STREAM_HEAD + harness.chunk(SECOND_EVENT) + harness.LAST_CHUNK);

type End = 'closed' | 'reset';

function respondUnframed(body: string, end: End): harness.TargetBehaviour {
  return (_request, socket) => {
    socket.write(HEAD + body);
    setTimeout(() => {
      if (end === 'closed') socket.end();
      else socket.resetAndDestroy();
    }, END_DELAY_MS);
  };
}

describe('a response with neither a length nor chunks', () => {
  let setup: harness.TestHarness;

  afterEach(() => setup.stop());

  it('is complete when its connection is closed, and reaches the caller with chunks', async () => {
    setup = await harness.TestHarness.start(respondUnframed('whole', 'closed'), RESPOND);
    const reply = await setup.send('/unsafe/1');
    expect([reply.status, reply.body, reply.isWhole, setup.received.length]).to.deep.equal([
      ...[200, 'whole', true, 1],
    ]);
    expect(reply.headers['transfer-encoding']).to.equal('chunked');
  });

  /** Guards against a truncated response that looks complete to its caller. */
  it('is incomplete when its connection is reset', async () => {
    setup = await harness.TestHarness.start(respondUnframed('who', 'reset'), RESPOND);
    const repeated = await setup.send('/safe/1');
    expect([repeated.status, repeated.body]).to.deep.equal([200, 'elsewhere']);
    setup.stop();
    setup = await harness.TestHarness.start(respondUnframed('who', 'reset'), RESPOND);
    const reply = await setup.send('/unsafe/1');
    expect([reply.status, reply.body, setup.received.length]).to.deep.equal([502, '', 1]);
  });

  const causes: Record<string, (socket: net.Socket) => void> = {
    'its connection is reset': (socket) => socket.resetAndDestroy(),
    'the entry stops': () => setup.ingress.abort(),
  };
  Object.entries(causes).forEach(([cause, cut]) => {
    /** Guards against the same for a caller of HTTP/1.0, which gets no chunks. */
    it(`is incomplete for a caller of HTTP/1.0 when ${cause}`, async () => {
      const stream: harness.TargetBehaviour = (_request, socket) => {
        socket.write(harness.STREAM_HEAD + harness.chunk(FIRST_EVENT));
        setTimeout(() => cut(socket), END_DELAY_MS);
      };
      setup = await harness.TestHarness.start(stream);
      const caller = net.connect(setup.port, '127.0.0.1');
      caller.write('POST /streaming/1 HTTP/1.0\r\nhost: a.example\r\nid: r1\r\nkey: k\r\n\r\n');
      let text = '';
      const ending = await new Promise<string>((resolve) => {
        caller.on('data', (data) => {
          text += data.toString();
        });
        caller.once('end', () => resolve('closed'));
        caller.once('error', ({ message }) => resolve(message));
      });
      expect([ending, text.endsWith(FIRST_EVENT)]).to.deep.equal(['read ECONNRESET', true]);
    });
  });

  it('is complete as a stream when its connection is closed after an event', async () => {
    const stream = respondUnframed(FIRST_EVENT + SECOND_EVENT, 'closed');
    setup = await harness.TestHarness.start(stream, RESUME);
    const reply = await setup.send('/streaming/1');
    expect([reply.body, reply.isWhole]).to.deep.equal([FIRST_EVENT + SECOND_EVENT, true]);
    expect([setup.received.length, setup.outcomes]).to.deep.equal([1, ['done']]);
  });

  /** Guards against a stream that ends as complete although it was broken off, or repeats what the caller has. */
  const broken: [string, string, End][] = [
    ['closed inside an event', `${FIRST_EVENT}id: 2\nda`, 'closed'],
    ['reset inside an event', `${FIRST_EVENT}id: 2\nda`, 'reset'],
    ['reset after an event', FIRST_EVENT, 'reset'],
  ];
  broken.forEach(([how, body, end]) => {
    it(`is resumed elsewhere as a stream when its connection is ${how}`, async () => {
      setup = await harness.TestHarness.start(respondUnframed(body, end), RESUME);
      const reply = await setup.send('/streaming/1');
      expect([reply.body, reply.isWhole]).to.deep.equal([FIRST_EVENT + SECOND_EVENT, true]);
      expect(setup.received[1]).to.contain('resume-after: 1');
    });
  });

  /** Guards against a caller that waits for the end of a connection after a response without a body. */
  it('ends with its head if its status has no body', async () => {
    const head = 'HTTP/1.1 204 No Content\r\nid: r1\r\nsigned: 1\r\n\r\n';
    setup = await harness.TestHarness.start((_request, socket) => socket.write(head));
    const replies = [await setup.send('/safe/1'), await setup.send('/safe/1')];
    expect(replies.map(({ status, isWhole }) => [status, isWhole])).to.deep.equal([
      ...[
        [204, true],
        [204, true],
      ],
    ]);
  });
});

describe('a response with neither a length nor chunks, to a long request', () => {
  const { PROTOCOL: protocol, PERMISSIVE_GATE: gate } = harness;

  /** Sends a request of this size to a target; resolves to how the attempt ended and what it got. */
  async function sendTo(
    onConnection: (socket: net.Socket) => void,
    size: number,
  ): Promise<string[]> {
    const server = net.createServer({ allowHalfOpen: true }, (socket) => {
      socket.on('error', () => undefined);
      onConnection(socket);
    });
    await new Promise<void>((resolve) => {
      server.listen(0, '127.0.0.1', resolve);
    });
    const { port } = server.address() as net.AddressInfo;
    const client = new targetClient.TargetClient({ protocol, gate });
    let received = '';
    const handler = {
      onHead: () => undefined,
      onData: (data: Buffer) => {
        received += data.toString();
      },
    };
    const recipient = { target: 't', address: `127.0.0.1:${port}`, purpose: 'request' } as const;
    const request = { requestId: 'r1', method: 'POST', path: '/', headers: [] };
    const message = { ...recipient, ...request, body: Buffer.alloc(size) };
    const { kind } = await client.send(message, handler).result;
    client.close();
    server.close();
    return [kind, received];
  }

  const LONG = 200_000;

  const VERY_LONG = 8_000_000;

  // Guards against part of a response that looks complete, as its target closes before it has read the request.
  [LONG, VERY_LONG].forEach((size) => {
    it(`is incomplete if its connection is closed before ${size} bytes of it were read`, async () => {
      const answerEarly = (socket: net.Socket): void => {
        socket.once('data', () => {
          socket.end(`${HEAD}part`);
          setImmediate(() => socket.destroy());
        });
      };
      expect((await sendTo(answerEarly, size))[0]).to.equal('broken');
    });
  });

  // Guards against the same if the target only stops to read and to send.
  it('is incomplete if the target sends no more before it has taken the request', async () => {
    const stopEarly = (socket: net.Socket): void => {
      socket.once('data', () => {
        socket.pause();
        socket.end(`${HEAD}part`);
      });
    };
    expect((await sendTo(stopEarly, VERY_LONG))[0]).to.equal('broken');
  });

  // Guards against whole responses that callers don't get.
  it('is complete if its connection is closed once the request was read', async () => {
    const answerLate = (socket: net.Socket): void => {
      let read = 0;
      socket.on('data', (data) => {
        read += data.length;
        if (read > LONG) socket.end(`${HEAD}whole`);
      });
    };
    expect(await sendTo(answerLate, LONG)).to.deep.equal(['complete', 'whole']);
  });
});
