/** What probes of lost paths leave to callers where targets have a rate limit. */
import * as net from 'node:net';
import * as test from 'node:test';
import * as chai from 'chai';
import * as domain from '@celerydrift/domain';
import { Ok } from 'ts-results';
import type * as messages from '../../fleet/messages';
import * as limitCoordinator from '../../keeper/limitCoordinator';
import * as observer from '../../observability/observer';
import type * as peerClient from '../../rpc/peerClient';
import * as livenessProbes from '../livenessProbes';
import * as rateLimitClient from '../rateLimitClient';
import * as reachability from '../reachability';
import * as harness from './__fixtures__/harness';

const { expect } = chai;

const TARGETS: domain.registry.registry.Announcement[] = [1, 2, 3].map((i) => ({
  id: `t${i}`,
  service: 's',
  address: `10.0.0.${i}:80`,
  dataCentre: `dc${i}`,
  slots: 8,
  state: 'ready',
  bornAt: 0,
  sequence: 1,
}));

/** Requests that each target admits, per second. */
const LIMIT = 1.25;

/** Interval between two requests of callers, and that between two checks of lost paths, milliseconds. */
const REQUEST_INTERVAL_MS = 50;
const CHECK_INTERVAL_MS = 300;

const DURATION_MS = 30_000;

const OBSERVER = new observer.Observer('test', 'fatal', undefined);

/** Entries and their leader; time passes for limits and checks only when it is advanced. */
class Fleet {
  now = 0;

  /** Connections that were tried to targets; all are refused. */
  tried = 0;

  readonly registry = new domain.registry.registry.Registry();

  /** An entry whose paths are lost. */
  readonly severed: reachability.Reachability;

  /** The grants of another entry. */
  readonly sound: rateLimitClient.RateLimitClient;

  private readonly leader: limitCoordinator.LimitCoordinator;

  constructor() {
    TARGETS.forEach((target) => this.registry.announce(target, 0));
    const now = (): number => this.now;
    this.leader = new limitCoordinator.LimitCoordinator({
      limits: this.knownLimits(),
      ...{ registry: this.registry, observer: OBSERVER, now, publish: () => undefined },
    });
    this.leader.setLeading(true);
    this.sound = this.createClient();
    const liveness = new livenessProbes.LivenessProbes({
      protocol: harness.PROTOCOL,
      limits: this.createClient(),
      gate: harness.PERMISSIVE_GATE,
      observer: OBSERVER,
      source: undefined,
      openSocket: () => this.refuse(),
    });
    this.severed = new reachability.Reachability({
      settings: { dataCentre: 'dc1', secret: 'a-secret-of-the-test', source: undefined },
      protocol: harness.PROTOCOL,
      fleetState: this,
      client: undefined as unknown as peerClient.PeerClient,
      targets: () => {
        return { forget: () => undefined } as unknown as ReturnType<
          reachability.Dependencies['targets']
        >;
      },
      liveness: () => liveness,
      isServing: () => true,
      observer: OBSERVER,
      random: domain.shared.random.seeded(1),
    });
  }

  private knownLimits(): domain.rateLimits.rateLimits.RateLimits {
    const limits = new domain.rateLimits.rateLimits.RateLimits();
    TARGETS.forEach(({ service, address }) => {
      limits.set({ service, address, perSecond: LIMIT }, 0);
    });
    return limits;
  }

  private createClient(): rateLimitClient.RateLimitClient {
    const call = async (_address: string, _method: string, content: object): Promise<unknown> => {
      return Ok(this.leader.grant(content as messages.GrantRequest));
    };
    return new rateLimitClient.RateLimitClient({
      fleetState: { registry: this.registry, limits: this.knownLimits() },
      link: { leader: '10.0.0.9:1' },
      client: { call: call as peerClient.PeerClient['call'] },
      observer: OBSERVER,
      now: () => this.now,
    });
  }

  private refuse(): net.Socket {
    this.tried += 1;
    const socket = new net.Socket();
    setImmediate(() => socket.destroy(new Error('refused')));
    return socket;
  }
}

/** Lets pending calls and refusals end. */
async function settle(): Promise<void> {
  for (let turn = 0; turn < 4; turn++) {
    await new Promise((resolve) => {
      setImmediate(resolve);
    });
  }
}

describe('probes of lost paths', () => {
  afterEach(() => test.mock.timers.reset());

  /**
   * Guards against a VM without paths whose probes take all that rate limits admit, so that callers of every VM are
   * refused.
   */
  it('leave most of what rate limits admit to requests, but go on', async () => {
    test.mock.timers.enable({ apis: ['setInterval'] });
    const fleet = new Fleet();
    fleet.severed.start();
    TARGETS.forEach(({ id }) => fleet.severed.paths.failed(id));
    await settle();
    expect(fleet.severed.paths.lostScopes).to.deep.equal(['all', 's']);
    fleet.tried = 0;
    let served = 0;
    while (fleet.now < DURATION_MS) {
      fleet.now += REQUEST_INTERVAL_MS;
      if (fleet.now % CHECK_INTERVAL_MS === 0) {
        test.mock.timers.tick(CHECK_INTERVAL_MS);
        await settle();
      }
      const grant = await fleet.sound.grant(TARGETS);
      if (grant.kind === 'granted') served += 1;
    }
    fleet.severed.stop();
    const admitted = (TARGETS.length * LIMIT * DURATION_MS) / 1_000;
    expect(served).to.be.greaterThan(0.7 * admitted);
    expect(fleet.tried).to.be.greaterThan(0.1 * admitted);
  });
});
