/** What an entry without paths to targets learns from others about a target that crashed. */
import * as chai from 'chai';
import * as domain from '@celerydrift/domain';
import { Ok } from 'ts-results';
import * as clock from '../../clock';
import * as observer from '../../observability/observer';
import type * as peerClient from '../../rpc/peerClient';
import type * as peerServer from '../../rpc/peerServer';
import * as livenessProbes from '../livenessProbes';
import type * as livenessVerdict from '../livenessVerdict';
import * as quarantineClient from '../quarantineClient';
import * as reachability from '../reachability';
import * as relayPeers from '../relayPeers';
import type * as targetClient from '../targetClient';
import * as harness from './__fixtures__/harness';

const { expect } = chai;

const OBSERVER = new observer.Observer('test', 'fatal', undefined);

const RELAY = { address: '10.0.0.1:1', dataCentre: 'dc0' };

/** The only targets of a service in one data centre, one in another, and one of another service. */
const WEST = ['west-1', 'west-2'];
const EAST = 'east-1';
const OTHER = 'east-2';

const CONTENT = '4-culprit';

function registryOfAll(): domain.registry.registry.Registry {
  const registry = new domain.registry.registry.Registry();
  [...WEST, EAST, OTHER].forEach((id, i) => {
    const [dataCentre] = id.split('-');
    const service = id === OTHER ? 'plain' : 'engines';
    const place = { service, address: `10.0.1.${i}:1`, dataCentre };
    registry.announce({ ...place, id, bornAt: 1, slots: 1, state: 'ready', sequence: 1 }, 0);
  });
  return registry;
}

/** An entry that relays, at which probes of a target end in `probe`; with the calls that it serves. */
function relayAt(
  registry: domain.registry.registry.Registry,
  probe: (target: string, relay: reachability.Reachability) => livenessVerdict.ProbeResult,
): { relay: reachability.Reachability; call: (method: string, request: object) => unknown } {
  const methods = new Map<string, (request: object) => unknown>();
  const relay: reachability.Reachability = new reachability.Reachability({
    settings: { dataCentre: 'dc0', secret: '', source: undefined },
    protocol: harness.PROTOCOL,
    fleetState: { registry },
    client: {} as peerClient.PeerClient,
    targets: () => ({ forget: () => undefined }) as unknown as targetClient.TargetClient,
    liveness: () => ({
      probe: async (target) => probe(target, relay),
      probePath: async () => undefined,
      isPathProbeDue: () => true,
    }),
    isServing: () => true,
    observer: OBSERVER,
    random: domain.shared.random.seeded(1),
  });
  relay.serve({
    add: (name: string, method: (request: object) => unknown) => methods.set(name, method),
    serveHttp: () => undefined,
  } as unknown as peerServer.PeerServer);
  return { relay, call: (method, request) => methods.get(method)?.(request) };
}

/** Crashes that an entry without paths counts against a request that its relay sent to a target. */
async function crashesCounted(
  registry: domain.registry.registry.Registry,
  target: string,
  call: (method: string, request: object) => unknown,
): Promise<number> {
  const quarantine = new domain.quarantine.quarantine.Quarantine();
  const peers = new relayPeers.RelayPeers({
    client: {
      call: async <T>(_address: string, method: string, request: object) =>
        Ok((await call(method, request)) as T),
    },
    dataCentre: 'dc0',
    now: clock.steady,
  });
  peers.replace([RELAY]);
  await peers.refresh();
  const liveness = new livenessProbes.LivenessProbes({
    protocol: harness.PROTOCOL,
    limits: harness.UNLIMITED,
    gate: harness.PERMISSIVE_GATE,
    observer: OBSERVER,
    source: undefined,
    paths: {
      connected: () => undefined,
      failed: () => undefined,
      responded: () => undefined,
      reachedElsewhere: () => undefined,
      isLost: () => true,
      scopesOf: () => [],
    },
    peers,
  });
  const client = new quarantineClient.QuarantineClient({
    name: 'e0',
    fleetState: { quarantine, registry },
    link: { leader: '' },
    client: { call: async <T>() => Ok({ kind: 'taken', reports: [] } as T) },
    liveness,
    paths: { reachOfService: () => 'lost', failingSince: () => undefined },
    observer: OBSERVER,
    now: clock.steady,
  });
  const request = {
    requestId: 'r1',
    bodyBytes: 4,
    fingerprint: () => CONTENT,
    sharedParts: () => [],
    service: 'engines',
    excluded: [],
  };
  const { address = '', bornAt = 0 } = registry.get(target) ?? {};
  const run = { isCanaryOf: () => false };
  const sent = { target, address, bornAt, sentAt: clock.steady(), run, hasBegun: false };
  await client.checkForCrash(request, sent);
  client.close();
  return quarantine.crashCount(CONTENT);
}

describe('a crash under a request that an entry without paths sent by its relay', () => {
  /**
   * Guards against an innocent request that is quarantined in place of the culprit beside it. Two crashes in a data centre
   * with two targets look to the relay like a loss of its paths there, so it left open whether they had crashed, and the
   * entry counted nothing against the culprit; the relay, which others of the service answered, counted its own request.
   */
  it('counts against it although the relay took the crashes for a loss of its own paths', async () => {
    const registry = registryOfAll();
    const { relay, call } = relayAt(registry, (target, { paths }) => {
      if (!WEST.includes(target)) return 'alive';
      paths.failed(target);
      paths.responded(EAST, clock.steady());
      return 'refused';
    });
    relay.paths.failed(WEST[0]);
    expect(await crashesCounted(registry, WEST[1], call)).to.equal(1);
    expect(relay.paths.lostScopes).to.deep.equal(['engines@west']);
  });

  /**
   * Guards against the same where the relay has nothing else to send: it learned too late for the asking entry that others
   * of the service respond.
   */
  it('counts against it although the relay sends no requests to others of the service', async () => {
    const registry = registryOfAll();
    const { relay, call } = relayAt(registry, (target, { paths }) => {
      if (WEST.includes(target)) {
        paths.failed(target);
        return 'refused';
      }
      paths.responded(target, clock.steady());
      return 'alive';
    });
    relay.paths.failed(WEST[0]);
    expect(await crashesCounted(registry, WEST[1], call)).to.equal(1);
  });

  /** Guards against sound targets that count as crashed as soon as a relay loses its paths, too. */
  it('does not count where no target responds to the relay', async () => {
    const registry = registryOfAll();
    const { relay, call } = relayAt(registry, (target, { paths }) => {
      paths.failed(target);
      return 'refused';
    });
    relay.paths.failed(WEST[0]);
    expect(await crashesCounted(registry, WEST[1], call)).to.equal(0);
  });

  /** Guards against sound targets that count as crashed because all of a data centre are silent for a second. */
  it('does not count where the target is silent', async () => {
    const registry = registryOfAll();
    const { relay, call } = relayAt(registry, (target, { paths }) => {
      if (WEST.includes(target)) {
        paths.failed(target);
        return 'silent';
      }
      paths.responded(target, clock.steady());
      return 'alive';
    });
    relay.paths.failed(WEST[0]);
    expect(await crashesCounted(registry, WEST[1], call)).to.equal(0);
  });

  /** Guards against a sound target that counts as crashed because only the relay's path to it is lost. */
  it('does not count where the target has responded to another VM', async () => {
    const registry = registryOfAll();
    const { relay, call } = relayAt(registry, (target, { paths }) => {
      if (!WEST.includes(target)) return 'alive';
      paths.failed(target);
      paths.responded(EAST, clock.steady());
      return 'refused';
    });
    relay.paths.failed(WEST[1]);
    relay.paths.reachedElsewhere(WEST[1]);
    expect(await crashesCounted(registry, WEST[1], call)).to.equal(0);
  });
});
