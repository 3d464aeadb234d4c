/**
 * This entry's part in reaching targets where VMs have lost their paths: it watches its own paths, sends messages by way
 * of other entries where they are lost, and sends those of other entries.
 */
import type * as domain from '@celerydrift/domain';
import * as clock from '../clock';
import type * as roleSettings from '../configuration/roleSettings';
import type * as protocols from '../edges/protocols';
import type * as fleetState from '../fleet/fleetState';
import type * as messages from '../fleet/messages';
import type * as observer from '../observability/observer';
import type * as peerClient from '../rpc/peerClient';
import type * as peerServer from '../rpc/peerServer';
import * as pathMonitor from './pathMonitor';
import * as relayClient from './relayClient';
import * as relayPeers from './relayPeers';
import type * as relayProtocol from './relayProtocol';
import * as relayServer from './relayServer';
import type * as livenessProbes from './livenessProbes';
import type * as targetClient from './targetClient';
import type * as targetSignals from './targetSignals';
import * as withheldLog from './withheldLog';

export interface Dependencies {
  settings: Pick<roleSettings.Settings, 'dataCentre' | 'secret' | 'source'>;
  protocol: protocols.TrafficProtocol;
  fleetState: Pick<fleetState.FleetState, 'registry'>;
  client: peerClient.PeerClient;
  targets: () => targetClient.TargetClient;
  /** What the gate of this entry withholds, for entries whose messages this one sends; nothing by default. */
  signals?: Pick<targetSignals.TargetSignals, 'withheld' | 'withheldMs'>;
  liveness: () => Pick<livenessProbes.LivenessProbes, 'probe' | 'probePath' | 'isPathProbeDue'>;
  /** Whether this entry serves and goes on running, apart from its paths. */
  isServing: () => boolean;
  observer: observer.Observer;
  random: domain.shared.random.Random;
}

/** Interval at which an entry asks the leader for entries that relay its messages, milliseconds. */
const RELAYS_REFRESH_MS = 2_000;

/**
 * Time after the loss of all paths from which requests are refused at once while no other entry relays them,
 * milliseconds: the relays have been asked by then.
 */
const UNSERVED_AFTER_MS = 500;

/**
 * Time after a question about a target until which a response of others of its service is waited for, and the interval at
 * which it is looked for, milliseconds. The asking VM waits 350 ms for the answer.
 */
const OTHERS_WAIT_MS = 300;
const OTHERS_POLL_MS = 20;

export class Reachability {
  readonly paths: pathMonitor.PathMonitor;

  readonly peers: relayPeers.RelayPeers;

  readonly relays: relayClient.RelayClient;

  private readonly server: relayServer.RelayServer;

  private readonly withheldLog: withheldLog.WithheldLog;

  /** When the leader last named the entries that relay messages for this one. */
  private relaysKnownAt = -Infinity;

  constructor(private readonly dependencies: Dependencies) {
    const { settings, protocol, client, observer: observe, random, targets } = dependencies;
    const { dataCentre, secret, source } = settings;
    this.withheldLog = new withheldLog.WithheldLog(observe);
    this.peers = new relayPeers.RelayPeers({
      ...{ client, dataCentre, now: clock.steady },
      onWithheld: () => this.withheldLog.update(this.withheld()),
    });
    this.paths = new pathMonitor.PathMonitor({
      fleetState: dependencies.fleetState,
      observer: observe,
      random,
      now: clock.steady,
      tryConnection: (target, address) => targets().tryConnection(target, address),
      probe: (target, address) => {
        void dependencies.liveness().probe(target, address);
      },
      probeLost: (target, address) => {
        void dependencies.liveness().probePath(target, address);
      },
      isProbeDue: (target) => dependencies.liveness().isPathProbeDue(target),
      onLost: (lost) => lost.forEach((target) => targets().forget(target)),
      onImpaired: () => {
        void this.peers.refresh();
      },
    });
    this.relays = new relayClient.RelayClient({
      ...{ protocol, secret, source, observer: observe },
      peers: this.peers,
      scopesOf: (target) => this.paths.scopesOf(target),
    });
    this.server = new relayServer.RelayServer({
      targets: { sendDirectly: (message, handler) => targets().sendDirectly(message, handler) },
      isReady: () => this.isRelay,
      isLost: (target) => this.paths.isLost(target),
      lostScopes: () => this.paths.lostScopes,
      withheld: () => dependencies.signals?.withheld ?? [],
      withheldMs: (target) => dependencies.signals?.withheldMs(target),
      observer: observe,
    });
  }

  /** Registers the calls of other entries, and the connections on which they hand over messages. */
  serve(server: peerServer.PeerServer): void {
    server.add('relayStatus', () => this.server.status);
    server.add('reach', (request) => this.reach(request as relayProtocol.ReachRequest));
    server.serveHttp(this.server.server);
  }

  start(): void {
    this.paths.start();
  }

  stop(): void {
    this.paths.stop();
    this.relays.close();
  }

  /** Number of messages of other entries that are being sent. */
  get relayedMessages(): number {
    return this.server.active;
  }

  /** Whether this entry has reached no target for a while, directly or by way of another entry. */
  get isCutOff(): boolean {
    return this.paths.isolatedMs > UNSERVED_AFTER_MS && !this.peers.isAvailable;
  }

  /** Targets of a service that this entry doesn't reach itself, and that all entries which relay withhold. */
  withheldTargets(service: string): string[] {
    const { registry } = this.dependencies.fleetState;
    return this.withheld()
      .map(({ target }) => target)
      .filter((target) => registry.get(target)?.service === service);
  }

  /** Time for which the same holds for a target, milliseconds; 0 if it doesn't. */
  withheldMs(target: string): number {
    if (!this.paths.isLost(target)) return 0;
    return this.peers.withheldMs(target, this.paths.scopesOf(target));
  }

  get statement(): messages.PathStatement {
    const { isIsolated, lostScopes } = this.paths;
    const isOld = clock.steady() - this.relaysKnownAt > RELAYS_REFRESH_MS;
    const wantsRelays = isOld || lostScopes.length > 0;
    return { isRelay: this.isRelay, isIsolated, lostScopes, wantsRelays };
  }

  /** Applies the relays that the leader named. */
  applyRelays(relays: readonly messages.Relay[]): void {
    this.peers.replace(relays);
    if (relays.length > 0) this.relaysKnownAt = clock.steady();
  }

  gauges(): Record<string, number> {
    return {
      isolated: this.paths.isIsolated ? 1 : 0,
      lostTargets: this.paths.lostTargets,
      relays: this.peers.size,
      relayedMessages: this.relayedMessages,
    };
  }

  private withheld(): withheldLog.LeftOut[] {
    return this.peers.withheldTargets
      .map((target) => ({ target, forMs: this.withheldMs(target) }))
      .filter(({ forMs }) => forMs > 0);
  }

  /** Whether this entry sends messages of others to targets. */
  private get isRelay(): boolean {
    return this.dependencies.isServing() && !this.paths.isIsolated;
  }

  /**
   * Whether a target responds to this VM; left open if this VM's own path to it is lost. Where all targets of a data centre
   * have crashed, that looks the same, so the answer then says whether others of the service respond: by that this VM
   * judges the crashes under its own requests, and the asking VM, which has no paths, can't.
   */
  private async reach({
    target,
    address,
  }: relayProtocol.ReachRequest): Promise<relayProtocol.ReachAnswer> {
    const askedAt = clock.steady();
    if (this.paths.isIsolated || this.paths.isReachedElsewhere(target)) return {};
    const result = await this.dependencies.liveness().probe(target, address);
    if (result === 'alive') return { isAlive: true };
    if (!this.paths.isLost(target)) return { isAlive: false, isSilent: result === 'silent' };
    // A sound target may be silent for a second, and with it all of its data centre.
    if (result === 'silent' || this.paths.isReachedElsewhere(target)) return {};
    return (await this.doOthersRespond(target, askedAt)) ? { doOthersRespond: true } : {};
  }

  /** Whether a target's service responds to messages sent since a time; waits for a while until that is known. */
  private async doOthersRespond(target: string, since: number): Promise<boolean> {
    const deadline = since + OTHERS_WAIT_MS;
    let reach = this.paths.reachOfService(target, since);
    while (reach === 'unknown' && clock.steady() < deadline) {
      await clock.sleep(OTHERS_POLL_MS);
      reach = this.paths.reachOfService(target, since);
    }
    return reach === 'reached';
  }
}
