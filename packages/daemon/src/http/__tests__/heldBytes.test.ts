/** Bytes that an entry holds for slow callers: bodies in virtual time, and a stream over real sockets. */
import * as http from 'node:http';
import * as chai from 'chai';
import type * as domain from '@celerydrift/domain';
import * as clock from '../../clock';
import type * as protocols from '../../edges/protocols';
import * as callerResponse from '../../entry/callerResponse';
import type * as arrivingBodies from '../arrivingBodies';
import * as heldBytes from '../heldBytes';
import * as harness from '../../entry/__tests__/__fixtures__/harness';

const { expect } = chai;

/** Most bytes of a response that are buffered until it is complete. */
const MAX_BUFFERED_BYTES = 1_048_576;

/** The response to a caller that takes nothing, with the head of its target's response. */
function makeResponse(
  kind: domain.catalogue.catalogue.RouteKind,
  isUnderPressure: boolean,
  setBuffered: (bytes: number) => void = () => undefined,
): callerResponse.CallerResponse {
  const response = { write: () => false, writeHead: () => undefined, once: () => undefined };
  const facts = { requestId: 'r1', isSigned: true } as protocols.ResponseMetadata;
  const made = new callerResponse.CallerResponse(
    response as unknown as http.ServerResponse,
    { kind } as domain.catalogue.catalogue.Route,
    { requestId: 'r1' } as protocols.CallerMetadata,
    { setBuffered, offered: () => undefined, isUnderPressure },
  );
  made.beginAttempt();
  made.onHead({ status: 200, raw: [], facts });
  return made;
}

describe('bytes held for callers', () => {
  let now: number;
  let events: string[];
  let counted: string[];
  let tested: heldBytes.HeldBytes;

  const open = (request: string, unsentBytes = (): number => 0): heldBytes.Holding => {
    return tested.open({
      request,
      unsentBytes,
      cut: () => events.push(`cut ${request}`),
    });
  };

  beforeEach(() => {
    now = 0;
    events = [];
    counted = [];
    const observer = { log: () => undefined, count: (metric: string) => counted.push(metric) };
    tested = new heldBytes.HeldBytes({ boundBytes: 1_000_000, now: () => now, observer });
  });

  afterEach(() => tested.close());

  const begin = (request: string, times?: arrivingBodies.Options['times']): heldBytes.Holding => {
    const holding = open(request);
    holding.bodyBegan({ times, giveUp: (reason) => events.push(`${request}: ${reason}`) });
    return holding;
  };

  /** Passes time in which `moving` bodies go on. */
  const pass = (ms: number, moving: heldBytes.Holding[] = []): void => {
    for (const end = now + ms; now < end;) {
      now += 50;
      moving.forEach((holding) => holding.bodyArrived(0));
      tested.check();
    }
  };

  /** Guards against bodies that together exceed the memory, and against none that is ever complete. */
  it('give up bodies that stand still for one that moves', () => {
    const [still, moving] = ['still', 'moving'].map((name) => begin(name));
    still.bodyArrived(400_000);
    pass(1_000);
    moving.bodyArrived(200_000);
    expect([tested.total, events]).to.deep.equal([200_000, ['still: memory']]);
    pass(1_000, [moving]);
    moving.bodyArrived(500_000);
    expect([tested.total, events.length]).to.deep.equal([700_000, 1]);
    moving.bodyEnded();
    moving.close();
    expect([tested.total, tested.isUnderPressure]).to.deep.equal([0, false]);
  });

  /** Guards against callers with short bodies who pay for those with long ones. */
  it('spare short bodies as long as they can', () => {
    const short = Array.from({ length: 5 }, (_, i) => begin(`short ${i}`));
    short.forEach((holding) => holding.bodyArrived(10_000));
    pass(1_000);
    const long = begin('long');
    long.bodyArrived(300_000);
    const longer = begin('longer');
    longer.bodyArrived(400_000);
    pass(1_000);
    expect(events).to.deep.equal(['long: memory']);
  });

  /** Guards against bodies that are kept for good, and against one that is given up as the process stood still. */
  it('give up bodies that are silent or slow, by time in which they could be read', () => {
    const times = { totalMs: 3_000, silentMs: 1_000 };
    const slow = begin('slow', times);
    begin('silent', times);
    now += 10_000;
    tested.check();
    expect(events).to.deep.equal([]);
    pass(5_000, [slow]);
    expect(events).to.deep.equal(['silent: silent', 'slow: slow']);
  });

  /** Guards against a live stream that is cut in place of the caller that stopped reading. */
  it('cut the caller that doesn’t read, and none that reads at the pace of its stream', () => {
    const stalled = open('stalled', () => 900_000);
    const steady = open('steady', () => 50);
    stalled.offered(900_000);
    for (let i = 0; i < 40; i++) {
      now += 100;
      steady.offered(100);
      stalled.setBuffered(i < 20 ? 0 : 300_000);
      tested.check();
    }
    expect([events, tested.total]).to.deep.equal([['cut stalled'], 50]);
    expect(counted).to.deep.equal(['answers.aborted.callerTooSlow']);
  });
});

describe('a stream whose caller reads slowly', () => {
  /** Guards against a healthy target that is given up because the entry doesn't read its response meanwhile. */
  it('isn’t taken for stuck', async () => {
    const event = harness.chunk(`id: 1\ndata: ${'x'.repeat(60_000)}\n\n`);
    const answer = Buffer.from(harness.STREAM_HEAD + event.repeat(300) + harness.LAST_CHUNK);
    const setup = await harness.TestHarness.start((_request, socket) => {
      socket.write(answer);
    });
    const options = { host: '127.0.0.1', port: setup.port, path: '/long/', method: 'POST' };
    const headers = { host: 'a.example', id: 'r1', key: 'k' };
    const response = await new Promise<http.IncomingMessage>((resolve) => {
      http.request({ ...options, headers, agent: false }, resolve).end();
    });
    // The first event may be late on a busy machine; that isn't what is tested.
    const earlyProbes = setup.probes;
    await clock.sleep(900);
    const bytesHeld = setup.held.total;
    response.resume();
    // Unlike `end`, `close` is also emitted for a response that was broken off.
    await new Promise((resolve) => {
      response.once('close', resolve);
    });
    setup.stop();
    const probes = setup.probes - earlyProbes;
    expect([response.complete, probes, setup.outcomes]).to.deep.equal([true, 0, ['done']]);
    expect(bytesHeld).to.be.within(1, 1_000_000);
  });

  /** Guards against a healthy target that is ejected, as it cut a response that the entry didn't read. */
  it('explains that its target cut it after some seconds', () => {
    const tested = makeResponse('streaming', false);
    tested.onData(Buffer.from('id: 1\ndata: x\n\n'));
    const pausedAt = clock.steady();
    const went = [1_500, 2_100].map((ms) => tested.wentUnread(pausedAt + ms));
    tested.beginAttempt();
    expect([...went, tested.wentUnread(pausedAt + 9_000)]).to.deep.equal([false, true, false]);
  });
});

describe('a long response of a call', () => {
  /** Guards against a bound that responses reach which are buffered although their callers could take them. */
  it('is buffered until it is complete, unless memory is short', () => {
    const isForwarded = [false, true].map((isUnderPressure) => {
      const tested = makeResponse('safe', isUnderPressure);
      tested.onData(Buffer.alloc(100_000));
      return tested.wentUnread(Infinity);
    });
    expect(isForwarded).to.deep.equal([false, true]);
  });

  /** Guards against parts so small that what is kept with each takes a hundred times their bytes. */
  it('takes at most twice its memory if it arrives in tiny parts', () => {
    let bytesHeld = 0;
    const tested = makeResponse('safe', false, (bytes) => {
      bytesHeld = bytes;
    });
    const byte = Buffer.from('x');
    for (let i = 0; i < 10_000; i++) tested.onData(byte);
    expect(bytesHeld).to.be.within(10_000, 20_000 + 1_024);
    for (let i = 0; i < MAX_BUFFERED_BYTES; i++) tested.onData(byte);
    expect(tested.wentUnread(Infinity)).to.equal(true);
  });
});
