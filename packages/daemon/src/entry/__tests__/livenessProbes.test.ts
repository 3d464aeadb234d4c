/** Which responses to a liveness probe show that a target is alive. */
import * as http from 'node:http';
import type * as net from 'node:net';
import * as chai from 'chai';
import * as observer from '../../observability/observer';
import * as livenessProbes from '../livenessProbes';
import * as harness from './__fixtures__/harness';

const { expect } = chai;

/** Whether a target with this response counts as alive. */
async function isAlive(status: number, headers: http.OutgoingHttpHeaders): Promise<boolean> {
  const server = http.createServer((_request, response) => {
    response.writeHead(status, headers).end();
  });
  await new Promise<void>((resolve) => {
    server.listen(0, '127.0.0.1', resolve);
  });
  const probes = new livenessProbes.LivenessProbes({
    protocol: harness.PROTOCOL,
    limits: { mayProbe: async () => true },
    gate: harness.PERMISSIVE_GATE,
    observer: new observer.Observer('test', 'fatal', undefined),
    source: undefined,
  });
  const { port } = server.address() as net.AddressInfo;
  const alive = await probes.isAlive('t', `127.0.0.1:${port}`);
  server.close();
  return alive;
}

describe('liveness probes', () => {
  /**
   * Guards against a target that is given up because it was too busy to answer a probe, and against suspicions of the
   * requests that it ran.
   */
  it('count a target that refuses them as alive, but no other responder', async () => {
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
