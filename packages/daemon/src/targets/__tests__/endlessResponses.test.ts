/** Targets that send bytes without end. */
import * as net from 'node:net';
import * as chai from 'chai';
import * as domain from '@celerydrift/domain';
import * as clock from '../../clock';
import * as observer from '../../observability/observer';
import * as serviceProxy from '../../requests/serviceProxy';
import type * as adapter from '../adapter';
import * as httpAdapter from '../httpAdapter';
import * as httpClient from '../httpClient';

type Target = domain.target.target.Target;

const { expect } = chai;

const MIB = 1_048_576;

/** Time within which responses that are too large must be given up, milliseconds. */
const DEADLINE_MS = 5_000;

describe('responses without end', () => {
  let server: net.Server;
  let target: Target;
  let client: httpClient.HttpClient;
  let observe: observer.Observer;
  let sentBytes: number;

  /** Starts a target that sends `head`, and then `part` for ever. */
  async function start(head: string, part: string): Promise<void> {
    sentBytes = 0;
    const chunk = `${part.length.toString(16)}\r\n${part}\r\n`;
    server = net.createServer((socket) => {
      const send = (): void => {
        while (!socket.destroyed && socket.write(chunk)) sentBytes += chunk.length;
      };
      socket.on('error', () => undefined);
      socket.on('drain', send);
      socket.once('data', () => {
        socket.write(`HTTP/1.1 ${head}\r\nTransfer-Encoding: chunked\r\n\r\n`);
        send();
      });
    });
    await new Promise<void>((resolve) => {
      server.listen(0, '127.0.0.1', resolve);
    });
    const { port } = server.address() as net.AddressInfo;
    target = { name: 't', address: `127.0.0.1:${port}` } as Target;
    observe = new observer.Observer('test', 'fatal', undefined);
    client = new httpClient.HttpClient(1_000, undefined, observe);
  }

  afterEach(() => {
    client.close();
    server.close();
  });

  // Guards against a process whose memory a single target fills.
  it('of a service are given up at a bound', async () => {
    await start('200 OK', 'x'.repeat(MIB));
    const proxy = new serviceProxy.ServiceProxy({
      client,
      router: { succeeded: () => {}, failed: () => {}, isCircuitOpen: () => false },
      budget: new domain.request.retry.Budget({
        ...domain.request.retry.DEFAULT_OPTIONS,
        maxBalance: 0,
      }),
      random: domain.shared.random.seeded(1),
      targets: () => [target],
      now: clock.steady,
    } as unknown as serviceProxy.Options);
    const answer = await proxy.handle({
      tenant: { organisation: { name: 'north' } },
      service: { notRepeatable: ['GET /'], timeoutSeconds: DEADLINE_MS / 1_000 },
      deadline: clock.steady() + DEADLINE_MS,
      method: 'GET',
      path: '/',
      body: Buffer.alloc(0),
      key: '',
    } as unknown as serviceProxy.ServiceCall);
    expect(answer.err && answer.val.outcome).to.equal('unknown');
    expect(sentBytes).to.be.below(64 * MIB);
    expect(observe.counters()).to.include({
      'responses.tooLarge.request': 1,
      'event.attemptFailed': 1,
    });
  });

  ['200 OK', '503 Busy'].forEach((status) => {
    it(`to calls of the daemon itself are given up at a bound, with ${status}`, async () => {
      await start(status, ' '.repeat(MIB));
      const answer = await new httpAdapter.HttpAdapter(client).holdings(target);
      expect(answer.err && answer.val.detail).to.include('RESPONSE_TOO_LARGE');
      expect(sentBytes).to.be.below(64 * MIB);
    });
  });

  async function open(): Promise<adapter.EngineStream> {
    const generation = { request: 'r1' } as adapter.GenerateRequest;
    const { signal } = new AbortController();
    return (
      await new httpAdapter.HttpAdapter(client).generate(target, generation, signal)
    ).unwrap();
  }

  it('with an event without end are given up at a bound', async () => {
    await start('200 OK', `data: ${'x'.repeat(MIB)}`);
    const stream = await open();
    const error = await stream.next().catch((each: unknown) => each);
    expect(error).to.include({ code: 'RESPONSE_TOO_LARGE' });
    stream.close();
  });

  it('with more events than are read are not read on', async () => {
    const event = `data: ${JSON.stringify({ text: 'x'.repeat(1_000) })}\n\n`;
    await start('200 OK', event.repeat(100));
    const stream = await open();
    await stream.next();
    await clock.sleep(300);
    const bytes = sentBytes;
    await clock.sleep(300);
    expect(sentBytes).to.equal(bytes);
    for (let i = 0; i < 20_000; i++) await stream.next();
    expect(sentBytes).to.be.above(bytes);
    stream.close();
  });
});
