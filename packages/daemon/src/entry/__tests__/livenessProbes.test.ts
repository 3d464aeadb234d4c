/** Which responses to a liveness probe show that a target is alive. */
import * as http from 'node:http';
import * as net from 'node:net';
import * as chai from 'chai';
import * as domain from '@celerydrift/domain';
import * as observer from '../../observability/observer';
import * as livenessProbes from '../livenessProbes';
import type * as livenessVerdict from '../livenessVerdict';
import * as harness from './__fixtures__/harness';

const { expect } = chai;

const { UNLIMITED } = harness;

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
    limits: UNLIMITED,
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
      limits: UNLIMITED,
      gate: harness.PERMISSIVE_GATE,
      observer: new observer.Observer('test', 'fatal', undefined),
      source: undefined,
      openSocket,
    });
    expect(await probes.probe('t', '127.0.0.1:1')).to.equal('refused');
  });

  /**
   * Probes a target that takes no messages now: one that ended, or one that handles each connection by `accept`. Returns
   * how it responds, and how many bytes it received.
   */
  const probeWithheld = async (
    withheldBy: Pick<livenessProbes.Dependencies, 'limits' | 'gate'>,
    accept: ((socket: net.Socket) => void) | 'ended',
  ): Promise<{ result: string; bytes: number }> => {
    let bytes = 0;
    const server = net.createServer((socket) => {
      socket.on('error', () => undefined);
      socket.on('data', (chunk) => {
        bytes += chunk.length;
      });
      if (accept !== 'ended') accept(socket);
    });
    await new Promise<void>((resolve) => {
      server.listen(0, '127.0.0.1', resolve);
    });
    const { port } = server.address() as net.AddressInfo;
    const closed = new Promise((resolve) => {
      server.once('close', resolve);
    });
    if (accept === 'ended') {
      server.close();
      await closed;
    }
    const probes = new livenessProbes.LivenessProbes({
      protocol: harness.PROTOCOL,
      ...withheldBy,
      observer: new observer.Observer('test', 'fatal', undefined),
      source: undefined,
    });
    const result = await probes.probe('t', `127.0.0.1:${port}`);
    if (accept !== 'ended') server.close();
    return { result, bytes };
  };

  const LIMITED = {
    limits: { ...UNLIMITED, mayProbe: async () => false },
    gate: harness.PERMISSIVE_GATE,
  };
  const IN_BACK_OFF = { limits: UNLIMITED, gate: { admit: () => undefined } };

  /**
   * Guards against crashes that are counted against nobody, or only against requests of other VMs: a target with a rate
   * limit or in a back-off gets no probes, and counted as alive although nothing listened at its address any more.
   */
  it('notice that nothing serves a target which takes no messages now', async () => {
    const ended = { result: 'refused', bytes: 0 };
    expect([
      await probeWithheld(LIMITED, 'ended'),
      await probeWithheld(IN_BACK_OFF, 'ended'),
    ]).to.deep.equal([ended, ended]);
  });

  /** Guards against sound targets that count as crashed at once because they reset connections beyond their limit. */
  it('take a target that takes no messages now and resets connections for silent', async () => {
    const reset = await probeWithheld(LIMITED, (socket) => socket.resetAndDestroy());
    expect(reset).to.deep.equal({ result: 'silent', bytes: 0 });
  });

  /** Guards against messages that a target has asked not to get, and against sound ones that count as crashed. */
  it('send nothing to a target which takes no messages now, and count it as alive', async () => {
    const alive = { result: 'alive', bytes: 0 };
    expect([
      await probeWithheld(LIMITED, () => undefined),
      await probeWithheld(IN_BACK_OFF, () => undefined),
    ]).to.deep.equal([alive, alive]);
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

  /** Guards against silence that counts as a crash, and against a refusal that is noticed late as its path counts as lost. */
  it('tell a refusal from silence where no other VM can tell', async () => {
    const silent = net.createServer();
    await new Promise<void>((resolve) => {
      silent.listen(0, '127.0.0.1', resolve);
    });
    const { port } = silent.address() as net.AddressInfo;
    const verdictOf = (address: string, isLost: boolean): Promise<livenessVerdict.Verdict> => {
      const paths = {
        isLost: () => isLost,
        scopesOf: () => [],
        connected: () => undefined,
        failed: () => undefined,
        responded: () => undefined,
        reachedElsewhere: () => undefined,
      };
      const probes = new livenessProbes.LivenessProbes({
        protocol: harness.PROTOCOL,
        limits: UNLIMITED,
        gate: harness.PERMISSIVE_GATE,
        observer: new observer.Observer('test', 'fatal', undefined),
        source: undefined,
        paths,
        peers: { reach: async () => undefined, size: 2, isAvailable: true },
      });
      return probes.check('t', address);
    };
    const verdicts = [false, true].flatMap((isLost) => {
      return ['127.0.0.1:1', `127.0.0.1:${port}`].map((address) => verdictOf(address, isLost));
    });
    const found = await Promise.all(verdicts);
    silent.close();
    expect(found).to.deep.equal(['refused', 'unknown', 'refused', 'unknown']);
  });
});
