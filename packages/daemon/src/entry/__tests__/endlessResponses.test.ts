/** Responses of targets that don't end: what callers get, and when the entry stops reading. */
import * as net from 'node:net';
import * as chai from 'chai';
import * as clock from '../../clock';
import * as targetClient from '../targetClient';
import * as harness from './__fixtures__/harness';

const { expect } = chai;

/** Most bytes that a target may write before its connection is closed: buffers of the operating system, mostly. */
const MAX_WRITTEN_BYTES = 16 * 1_048_576;

/** Time in which a caller of an unsafe call learns that it failed, milliseconds; its deadline is later. */
const PROMPT_MS = 1_000;

/** Time in which a target notices that its connection was closed, milliseconds, and the interval of the checks. */
const CLOSE_MS = 500;
const POLL_MS = 5;

const PIECE_BYTES = 65_536;

/** A chunk with so many extensions of 1,100 bytes almost fills a piece. */
const MANY_EXTENSIONS = 55;

const CHUNKED = 'Transfer-Encoding: chunked\r\n\r\n';
const UNSIGNED_HEAD = `HTTP/1.1 200 OK\r\nid: r1\r\n${CHUNKED}`;
const EARLY_HINTS = 'HTTP/1.1 103 Early Hints\r\nlink: </a>\r\n\r\n';
const EVENT = 'id: 1\ndata: a\n\n';
const REST = 'id: 2\ndata: b\n\n';

/** A target that writes a head and then the same bytes for as long as its connection is open. */
class EndlessTarget {
  bytesWritten = 0;

  isClosed = false;

  constructor(
    private readonly head: string,
    private readonly part: string,
  ) {}

  readonly behave: harness.TargetBehaviour = (_message, socket) => {
    socket.once('close', () => {
      this.isClosed = true;
    });
    socket.write(this.head);
    const piece = Buffer.from(this.part.repeat(Math.ceil(PIECE_BYTES / this.part.length)));
    this.write(piece, socket);
  };

  /** Resolves when the connection is closed, or after a while. */
  async closed(): Promise<void> {
    const givenUpAt = clock.steady() + CLOSE_MS;
    while (!this.isClosed && clock.steady() < givenUpAt) await clock.sleep(POLL_MS);
  }

  private write(piece: Buffer, socket: net.Socket): void {
    if (socket.destroyed) return;
    this.bytesWritten += piece.length;
    socket.write(piece, () => this.write(piece, socket));
  }
}

const RESPOND: harness.TargetBehaviour = (_request, socket) =>
  socket.write(harness.answer('elsewhere'));

const RESUME: harness.TargetBehaviour = (_request, socket) =>
  socket.write(harness.STREAM_HEAD + harness.chunk(REST) + harness.LAST_CHUNK);

describe('a response without an end', () => {
  let setup: harness.TestHarness;

  afterEach(() => setup.stop());

  const start = async (
    target: EndlessTarget,
    second: harness.TargetBehaviour = RESPOND,
  ): Promise<void> => {
    setup = await harness.TestHarness.start(harness.answeringProbes(target.behave), second);
  };

  const expectClosed = async (target: EndlessTarget): Promise<void> => {
    await target.closed();
    expect([target.isClosed, setup.held.total]).to.deep.equal([true, 0]);
    expect(target.bytesWritten).to.be.below(MAX_WRITTEN_BYTES);
    const lines = setup.logged.filter(({ event }) => event === 5031);
    expect(lines.map(({ target: id }) => id)).to.deep.equal(['t0']);
  };

  const plainChunk = harness.chunk('x'.repeat(1_000));
  const extension = ';name=value'.repeat(100);
  const kinds: Record<string, [head: string, part: string]> = {
    'an unsigned body': [UNSIGNED_HEAD, plainChunk],
    'a body of a status that states nothing': [
      `HTTP/1.1 503 X\r\nid: r1\r\nsigned: 1\r\n${CHUNKED}`,
      plainChunk,
    ],
    'informational responses': ['', EARLY_HINTS],
    'a reason phrase': ['HTTP/1.1 200 ', 'x'],
    'a chunk extension': [`${harness.STREAM_HEAD}5`, extension],
    'a chunk extension for each byte': [
      harness.STREAM_HEAD,
      `1${extension.repeat(MANY_EXTENSIONS)}\r\nx\r\n`,
    ],
  };
  Object.entries(kinds).forEach(([title, [head, part]]) => {
    // Guards against a call that waits for its deadline, and bytes that fill the memory, while other targets are sound.
    it(`is given up at once, with ${title}`, async () => {
      const safe = new EndlessTarget(head, part);
      await start(safe);
      const reply = await setup.send('/safe/1');
      expect([reply.status, reply.body]).to.deep.equal([200, 'elsewhere']);
      await expectClosed(safe);
      setup.stop();
      const unsafe = new EndlessTarget(head, part);
      await start(unsafe);
      const sentAt = clock.steady();
      expect([(await setup.send('/unsafe/1')).status, setup.received.length]).to.deep.equal([
        ...[502, 1],
      ]);
      expect(clock.steady() - sentAt).to.be.below(PROMPT_MS);
      await expectClosed(unsafe);
    });
  });

  const inStreams: Record<string, [head: string, part: string]> = {
    'an event': [harness.STREAM_HEAD + harness.chunk(EVENT), plainChunk],
    'a chunk extension': [`${harness.STREAM_HEAD + harness.chunk(EVENT)}5`, extension],
    'a chunk extension for each byte': [
      harness.STREAM_HEAD + harness.chunk(EVENT),
      `1${extension.repeat(MANY_EXTENSIONS)}\r\nx\r\n`,
    ],
  };
  Object.entries(inStreams).forEach(([title, [head, part]]) => {
    // Guards against an event that is kept until the memory is full, and against a stream that it ends.
    it(`is resumed elsewhere as a stream, with ${title}`, async () => {
      const target = new EndlessTarget(head, part);
      await start(target, RESUME);
      const reply = await setup.send('/streaming/1');
      expect([reply.body, reply.isWhole]).to.deep.equal([EVENT + REST, true]);
      expect(setup.received[1]).to.contain('resume-after: 1');
      await expectClosed(target);
    });
  });

  // Guards against an answer to the second attempt that is kept without a bound, as it can't continue the stream.
  it('is given up where only a stream can follow', async () => {
    const first: harness.TargetBehaviour = (request, socket) => {
      if (request.includes('resume-after')) RESUME(request, socket);
      else socket.end(harness.STREAM_HEAD + harness.chunk(EVENT));
    };
    const head = `HTTP/1.1 404 X\r\nid: r1\r\nsigned: 1\r\n${CHUNKED}`;
    const second = new EndlessTarget(head, plainChunk);
    setup = await harness.TestHarness.start(first, second.behave);
    const sentAt = clock.steady();
    const reply = await setup.send('/streaming/1');
    expect([reply.body, reply.isWhole]).to.deep.equal([EVENT + REST, true]);
    expect(clock.steady() - sentAt).to.be.below(PROMPT_MS);
    await second.closed();
    expect([second.isClosed, setup.held.total]).to.deep.equal([true, 0]);
  });

  // Guards against a head that shows that the response is unusable, and a body that trickles until the deadline.
  it('is given up soon if nothing can make it usable', async () => {
    setup = await harness.TestHarness.start((_request, socket) => {
      socket.write(UNSIGNED_HEAD);
    }, RESPOND);
    const sentAt = clock.steady();
    expect((await setup.send('/unsafe/1')).status).to.equal(502);
    expect(clock.steady() - sentAt).to.be.below(PROMPT_MS);
  });

  // Guards against a refusal that holds a call until its deadline, and against one of another call that counts for it.
  it('is a refusal if its head states so with the id of the request', async () => {
    const refuse =
      (id: string): harness.TargetBehaviour =>
      (_request, socket) => {
        const head = `HTTP/1.1 503 X\r\nid: ${id}\r\nsigned: 1\r\nnot-run: 1\r\n`;
        socket.write(`${head}Content-Length: 10\r\n\r\nabc`);
      };
    const sentAt = clock.steady();
    setup = await harness.TestHarness.start(refuse('r1'), RESPOND);
    expect([(await setup.send('/unsafe/1')).status, setup.received.length]).to.deep.equal([503, 1]);
    expect((await setup.send('/safe/1')).body).to.equal('elsewhere');
    expect(clock.steady() - sentAt).to.be.below(PROMPT_MS);
    setup.stop();
    setup = await harness.TestHarness.start(refuse('r0'), RESPOND);
    expect([(await setup.send('/unsafe/1')).status, setup.received.length]).to.deep.equal([502, 1]);
  });

  // Guards against a target that fills the log.
  it('is logged once a second for each target', async () => {
    await start(new EndlessTarget(UNSIGNED_HEAD, plainChunk));
    for (let i = 0; i < 5; i++) await setup.send('/unsafe/1');
    const lines = setup.logged.filter(({ event }) => event === 5031);
    expect(lines.length).to.be.within(1, 2);
  });

  // Guards against informational responses, and a long body of an answer to the caller, that are taken for endless.
  it('is none if a few informational responses come first', async () => {
    const body = 'x'.repeat(300_000);
    setup = await harness.TestHarness.start((_request, socket) => {
      socket.write(EARLY_HINTS.repeat(5) + harness.answer(body));
    });
    const reply = await setup.send('/unsafe/1');
    expect([reply.status, reply.body === body]).to.deep.equal([200, true]);
  });
});

describe('an answer to a call of this daemon', () => {
  // Guards against a probe or an order whose answer is read at full speed until its time limit.
  it('is given up if it has no end', async () => {
    const head = `HTTP/1.1 200 OK\r\nsigned: 1\r\n${CHUNKED}`;
    const target = new EndlessTarget(head, harness.chunk('x'.repeat(1_000)));
    const server = net.createServer((socket) => {
      socket.on('error', () => undefined);
      socket.once('data', () => target.behave('', socket));
    });
    await new Promise<void>((resolve) => {
      server.listen(0, '127.0.0.1', resolve);
    });
    const { port } = server.address() as net.AddressInfo;
    const { PROTOCOL: protocol, PERMISSIVE_GATE: gate } = harness;
    const client = new targetClient.TargetClient({ protocol, gate });
    const recipient = { target: 't', address: `127.0.0.1:${port}`, purpose: 'check' } as const;
    const sentAt = clock.steady();
    const result = await client.call(recipient, protocol.stateCall('t'), 2 * PROMPT_MS);
    const tookMs = clock.steady() - sentAt;
    await target.closed();
    client.close();
    server.close();
    expect([result.kind, target.isClosed]).to.deep.equal(['silent', true]);
    expect(tookMs).to.be.below(PROMPT_MS);
    expect(target.bytesWritten).to.be.below(MAX_WRITTEN_BYTES);
  });
});
