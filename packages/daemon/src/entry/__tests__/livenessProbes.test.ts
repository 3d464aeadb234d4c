/** Which responses to a liveness probe show that a target is alive. */
import * as http from 'node:http';
import * as net from 'node:net';
import * as chai from 'chai';
import * as domain from '@celerydrift/domain';
import * as observer from '../../observability/observer';
import * as livenessProbes from '../livenessProbes';
import * as harness from './__fixtures__/harness';

const { expect } = chai;

/** Probes a target with this response; `registry` gets the target's address. */
async function probe(
  status: number,
  headers: http.OutgoingHttpHeaders,
  registryFor: (address: string) => livenessProbes.Dependencies['registry'] = () => undefined,
): Promise<{ isAlive: boolean; messages: number }> {
  let messages = 0;
  const server = http.createServer((_request, response) => {
    messages += 1;
    response.writeHead(status, headers).end();
  });
  await new Promise<void>((resolve) => {
    server.listen(0, '127.0.0.1', resolve);
  });
  const { port } = server.address() as net.AddressInfo;
  const address = `127.0.0.1:${port}`;
  const probes = new livenessProbes.LivenessProbes({
    protocol: harness.PROTOCOL,
    registry: registryFor(address),
    limits: { mayProbe: async () => true },
    gate: harness.PERMISSIVE_GATE,
    observer: new observer.Observer('test', 'fatal', undefined),
    source: undefined,
  });
  const isAlive = await probes.isAlive('t', address);
  server.close();
  return { isAlive, messages };
}

describe('liveness probes', () => {
  /**
   * Guards against a target that is given up because it was too busy to answer a probe, and against suspicions of the
   * requests that it ran.
   */
  it('count a target that refuses them as alive, but no other responder', async () => {
    const answers = [
      (await probe(200, {})).isAlive,
      (await probe(503, { 'not-run': '1' })).isAlive,
      (await probe(421, { 'not-run': '1' })).isAlive,
      (await probe(404, {})).isAlive,
      (await probe(503, {})).isAlive,
    ];
    expect(answers).to.deep.equal([true, true, false, false, false]);
  });

  /**
   * Guards against crashes that are counted a second late or not at all: a connection that a target reset while it ended
   * was taken for silence, and a second later the only other VM that could tell didn't answer.
   */
  it('take a connection that is reset for refused', async () => {
    const openSocket = (): net.Socket => {
      const socket = new net.Socket();
      const reset = Object.assign(new Error('connect ECONNRESET'), { code: 'ECONNRESET' });
      setImmediate(() => socket.destroy(reset));
      return socket;
    };
    const probes = new livenessProbes.LivenessProbes({
      protocol: harness.PROTOCOL,
      limits: { mayProbe: async () => true },
      gate: harness.PERMISSIVE_GATE,
      observer: new observer.Observer('test', 'fatal', undefined),
      source: undefined,
      openSocket,
    });
    expect(await probes.probe('t', '127.0.0.1:1')).to.equal('refused');
  });

  /** Guards against probes of a crashed target that reach the next lifetime at its address, which wants no messages. */
  it('are not sent to a lifetime that was replaced', async () => {
    const registryFor = (address: string): domain.registry.registry.Registry => {
      const registry = new domain.registry.registry.Registry();
      const target = { service: 's', address, dataCentre: 'dc0', slots: 1, sequence: 1 };
      registry.announce({ ...target, id: 't', bornAt: 1, state: 'ready' }, 0);
      registry.announce({ ...target, id: 'next', bornAt: 2, state: 'ready' }, 1);
      return registry;
    };
    const { isAlive, messages } = await probe(421, { 'not-run': '1' }, registryFor);
    expect([isAlive, messages]).to.deep.equal([false, 0]);
  });
});
