/** Targets that send the response to a message once more, where the response to the next one is due. */
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

const PAUSE_MS = 10;

const NO_ID = 'x-other: 1';

/** Refuses messages that contain `full`, and repeats each response before the next one. */
function createTarget(repeatsIds: boolean): net.Server {
  return net.createServer((socket) => {
    let response = '';
    socket.on('data', (data) => {
      const text = data.toString();
      const [id = NO_ID] = /^x-celerydrift-message-id: .*$/m.exec(text) ?? [];
      const isRefused = text.includes('full');
      const content = JSON.stringify({ text, granted: !isRefused, notRun: isRefused });
      const status = isRefused ? '409 Conflict\r\nx-not-run: true' : '200 OK';
      const fields = `${repeatsIds ? id : NO_ID}\r\ncontent-length: ${content.length}`;
      socket.write(response);
      response = `HTTP/1.1 ${status}\r\n${fields}\r\n\r\n${content}`;
      setTimeout(() => socket.write(response), PAUSE_MS / 2);
    });
    socket.on('error', () => undefined);
  });
}

describe('late responses of targets', () => {
  for (const repeatsIds of [true, false]) {
    // Guards against the body of another call, and against a refusal or a grant that was meant for another message.
    it(`are believed of no target that ${repeatsIds ? 'repeats' : 'ignores'} ids`, async () => {
      const server = createTarget(repeatsIds);
      await new Promise<void>((resolve) => {
        server.listen(0, '127.0.0.1', resolve);
      });
      const { port } = server.address() as net.AddressInfo;
      const target = { name: 't', address: `127.0.0.1:${port}` } as Target;
      const observe = new observer.Observer('test', 'fatal', undefined);
      const client = new httpClient.HttpClient(1_000, undefined, observe);
      const engine = new httpAdapter.HttpAdapter(client);
      const proxy = new serviceProxy.ServiceProxy({
        client,
        router: { succeeded: () => {}, failed: () => {}, isCircuitOpen: () => false },
        budget: new domain.request.retry.Budget(),
        random: domain.shared.random.seeded(1),
        targets: () => [target],
        now: clock.steady,
      } as unknown as serviceProxy.Options);
      const call = async (path: string): Promise<string> => {
        const tenant = { organisation: { name: 'north' } };
        const service = { notRepeatable: [], timeoutSeconds: 5 };
        const deadline = clock.steady() + 5_000;
        const sent = { tenant, service, deadline, method: 'GET', path, body: Buffer.alloc(0) };
        const answer = await proxy.handle(sent as unknown as serviceProxy.ServiceCall);
        if (answer.err) return answer.val.outcome;
        return answer.val.body.includes(path) ? 'own body' : 'body of another call';
      };
      const generate = async (request: string): Promise<string> => {
        const { signal } = new AbortController();
        const opened = await engine.generate(
          target,
          { request } as adapter.GenerateRequest,
          signal,
        );
        return opened.ok ? 'opened' : opened.val.progress;
      };
      const reserve = async (id: string): Promise<string> => {
        const reservation = { id, tokens: 1, leaseMs: 1_000 } as adapter.ReservationRequest;
        const reserved = await engine.reserve(target, reservation);
        return reserved.ok ? `granted: ${reserved.val}` : reserved.val.progress;
      };
      // The first message teaches whether the target repeats ids; the late ones arrive at each second one after it.
      const steps: [(name: string) => Promise<string>, name: string, expected: string][] = [
        [call, '/full-1', 'notRun'],
        [call, '/full-2', 'notRun'],
        [call, '/a', repeatsIds ? 'failed' : 'own body'],
        [call, '/b', 'own body'],
        [call, '/c', repeatsIds ? 'failed' : 'own body'],
        [generate, 'full-3', 'refusedByTarget'],
        [generate, 'd', repeatsIds ? 'sent' : 'opened'],
        [reserve, 'e', 'granted: true'],
        [reserve, 'full-4', repeatsIds ? 'sent' : 'granted: false'],
      ];
      const results: string[] = [];
      for (const [send, name] of steps) {
        results.push(await send(name));
        await clock.sleep(PAUSE_MS);
      }
      client.close();
      server.close();
      chai.expect(results).to.deep.equal(steps.map(([, , expected]) => expected));
    });
  }
});
