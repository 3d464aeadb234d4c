/** What an answer to the question whether a target lives proves. */
import * as http from 'node:http';
import type * as net from 'node:net';
import * as chai from 'chai';
import * as observer from '../../observability/observer';
import * as livenessProbes from '../livenessProbes';
import * as harness from './__fixtures__/bench';

const { expect } = chai;

/** Whether a target counts as alive that answers so. */
async function isAlive(status: number, headers: http.OutgoingHttpHeaders): Promise<boolean> {
  const server = http.createServer((_request, response) => {
    response.writeHead(status, headers).end();
  });
  await new Promise<void>((resolve) => {
    server.listen(0, '127.0.0.1', resolve);
  });
  const checks = new livenessProbes.LivenessProbes({
    protocol: harness.PROTOCOL,
    limits: { mayProbe: async () => true },
    gate: harness.PERMISSIVE_GATE,
    observer: new observer.Observer('test', 'fatal', undefined),
    source: undefined,
  });
  const { port } = server.address() as net.AddressInfo;
  const alive = await checks.isAlive('t', `127.0.0.1:${port}`);
  server.close();
  return alive;
}

describe('life checks', () => {
  /** Guards against a target that is given up, and blamed on the requests that it ran, as it was too busy to say how it is. */
  it('take a target for alive that turns them away, and not whoever else answers', async () => {
    const answers = [
      await isAlive(200, {}),
      await isAlive(503, { 'not-run': '1' }),
      await isAlive(421, { 'not-run': '1' }),
      await isAlive(404, {}),
      await isAlive(503, {}),
    ];
    expect(answers).to.deep.equal([true, true, false, false, false]);
  });
});
