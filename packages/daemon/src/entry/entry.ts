/**
 * An entry: a stateless process that serves callers' requests. It receives the settings and the targets from the leader
 * of the keepers within a second of its start, so it needs no disk.
 */
import type * as http from 'node:http';
import * as domain from '@celerydrift/domain';
import * as clock from '../clock';
import * as codecs from '../configuration/codecs';
import type * as roleSettings from '../configuration/roleSettings';
import type * as protocols from '../edges/protocols';
import * as fleetState from '../fleet/fleetState';
import * as leaderLink from '../fleet/leaderLink';
import type * as messages from '../fleet/messages';
import * as peers from '../fleet/peers';
import * as heldBytes from '../http/heldBytes';
import * as listening from '../http/listening';
import * as openFiles from '../http/openFiles';
import * as probeServer from '../http/probeServer';
import type * as observer from '../observability/observer';
import type * as peerClient from '../rpc/peerClient';
import type * as peerServer from '../rpc/peerServer';
import * as targetSelector from './targetSelector';
import * as quarantineClient from './quarantineClient';
import * as coldGrants from './coldGrants';
import type * as connectionTracker from './connectionTracker';
import * as exchange from './exchange';
import * as failureVerification from './failureVerification';
import * as guaranteeAudit from './guaranteeAudit';
import * as ingress from './ingress';
import * as livenessProbes from './livenessProbes';
import * as pushedUpdate from './pushedUpdate';
import * as rateLimitClient from './rateLimitClient';
import * as reachability from './reachability';
import * as targetClient from './targetClient';
import * as targetSignals from './targetSignals';
import * as unavailableTargets from './unavailableTargets';

export interface Dependencies {
  settings: roleSettings.Settings;
  control: protocols.ControlProtocol;
  traffic: protocols.TrafficProtocol;
  observer: observer.Observer;
  random: domain.shared.random.Random;
  earlyListener?: listening.EarlyListener;
  /** Opens connections to targets; `net.connect` by default. */
  openSocket?: connectionTracker.SocketOpener;
}

/** Share of the descriptors that callers' connections may take; targets and other VMs need some too. */
const CONNECTION_SHARE = 1 / 2;

/**
 * An entry without a confirmation from a leader admits keys for this share of `revokeMs`, the time after which a
 * revoked key must be refused. The rest, one second of five, covers the transit to its target of a request that is
 * admitted at the last moment.
 */
const LEASE_SHARE = 0.8;

/**
 * How long new requests are served after a planned stop begins, milliseconds. The balancer sends new connections until
 * two readiness checks, one a second, have failed; a third second is added. A later request could be interrupted by the
 * end of the process, so it is refused as not run, and its caller retries at another entry.
 */
const LINGER_MS = 3_000;

/** Time before the end of a planned stop at which requests still in progress are aborted, milliseconds. */
const STOP_MARGIN_MS = 500;

const STOP_POLL_MS = 50;

export class Entry {
  private readonly client: peerClient.PeerClient;

  private readonly server: peerServer.PeerServer;

  private readonly fleetState: fleetState.FleetState;

  private readonly link: leaderLink.LeaderLink;

  private readonly held: heldBytes.HeldBytes;

  private readonly ingress: ingress.Ingress;

  private readonly targets: targetClient.TargetClient;

  private readonly reachability: reachability.Reachability;

  private readonly unavailableTargets: unavailableTargets.UnavailableTargets;

  private readonly selector: targetSelector.TargetSelector;

  private readonly liveness: livenessProbes.LivenessProbes;

  private readonly limits: rateLimitClient.RateLimitClient;

  private readonly audit: guaranteeAudit.GuaranteeAudit;

  private readonly signals: targetSignals.TargetSignals;

  private readonly coldGrants: coldGrants.ColdGrants;

  private readonly quarantine: quarantineClient.QuarantineClient;

  private readonly budgets: domain.request.repeatBudget.RepeatBudgets;

  private readonly readiness: http.Server;

  private readonly onLeaderLost = (): void => {
    this.limits.leaderLost();
    this.signals.leaderLost();
  };

  private isDraining = false;

  private wasFresh = false;

  constructor(private readonly dependencies: Dependencies) {
    const { settings, observer: observe, control, random } = dependencies;
    this.client = peers.clientOf(settings, observe);
    this.server = peers.serverOf(settings, observe);
    this.budgets = new domain.request.repeatBudget.RepeatBudgets(settings.repeats);
    this.fleetState = new fleetState.FleetState({
      protocol: control,
      observer: observe,
      now: clock.steady,
      onCatalogue: (directory) => this.applyCatalogue(directory),
      onRecord: (record) => this.applyRecord(record),
    });
    this.link = new leaderLink.LeaderLink({
      name: settings.name,
      role: 'entry',
      address: codecs.formatAddress(settings.advertised),
      dataCentre: settings.dataCentre,
      replica: () => undefined,
      seeds: settings.seeds,
      client: this.client,
      fleetState: this.fleetState,
      observer: observe,
      readClocks: clock.readClocks,
      dispatches: () => this.selector.dispatches,
      reachability: () => this.reachability.statement,
      onConfirmed: ({ entries, entryRank, crowding, relays }) => {
        if (relays !== undefined) this.reachability.applyRelays(relays);
        this.selector.fallback.assumeAverageLoads(crowding);
        this.limits.leaderFound(entries, entryRank);
        this.signals.leaderFound(this.link.leader, entries);
        this.link.onLost(this.onLeaderLost);
        if (entries > 0) this.budgets.setEntryCount(entries, clock.steady());
        this.ingress.wake();
      },
    });
    this.limits = new rateLimitClient.RateLimitClient({
      fleetState: this.fleetState,
      link: this.link,
      client: this.client,
      observer: observe,
      now: clock.steady,
    });
    this.coldGrants = new coldGrants.ColdGrants({
      limits: this.fleetState.limits,
      registry: this.fleetState.registry,
      readClocks: clock.readClocks,
    });
    this.audit = new guaranteeAudit.GuaranteeAudit({ observer: observe, now: clock.steady });
    this.signals = new targetSignals.TargetSignals({
      audit: this.audit,
      fleetState: this.fleetState,
      limits: this.limits,
      coldGrants: this.coldGrants,
      link: this.link,
      client: this.client,
      observer: observe,
      now: clock.steady,
    });
    this.reachability = new reachability.Reachability({
      settings,
      protocol: dependencies.traffic,
      fleetState: this.fleetState,
      client: this.client,
      targets: () => this.targets,
      signals: this.signals,
      liveness: () => this.liveness,
      isServing: () => this.isServing,
      observer: observe,
      random,
    });
    this.targets = new targetClient.TargetClient({
      protocol: dependencies.traffic,
      gate: this.signals,
      source: settings.source,
      openSocket: dependencies.openSocket,
      paths: this.reachability.paths,
      relays: this.reachability.relays,
    });
    const { signals, reachability: reach } = this;
    this.unavailableTargets = new unavailableTargets.UnavailableTargets({
      signals,
      reachability: reach,
    });
    this.selector = new targetSelector.TargetSelector({
      name: settings.name,
      dataCentre: settings.dataCentre,
      fleetState: this.fleetState,
      link: this.link,
      client: this.client,
      limits: this.limits,
      coldGrants: this.coldGrants,
      unavailableTargets: this.unavailableTargets,
      observer: observe,
      random,
      now: clock.steady,
    });
    this.liveness = new livenessProbes.LivenessProbes({
      protocol: dependencies.traffic,
      registry: this.fleetState.registry,
      limits: this.limits,
      gate: this.signals,
      observer: observe,
      source: settings.source,
      openSocket: dependencies.openSocket,
      paths: this.reachability.paths,
      peers: this.reachability.peers,
    });
    this.quarantine = new quarantineClient.QuarantineClient({
      name: settings.name,
      fleetState: this.fleetState,
      link: this.link,
      client: this.client,
      liveness: this.liveness,
      paths: this.reachability.paths,
      observer: observe,
      now: clock.steady,
    });
    this.held = new heldBytes.HeldBytes({
      boundBytes: settings.heldBytes || Infinity,
      now: clock.steady,
      observer: observe,
    });
    this.ingress = this.makeIngress();
    this.readiness = probeServer.create({
      name: 'readiness',
      answer: () => ({ status: this.isReady ? 200 : 503, headers: {}, content: '' }),
      observer: observe,
    });
  }

  async start(): Promise<void> {
    const { settings } = this.dependencies;
    this.server.add('learn', (update) => {
      const wasConfirmed = Number.isFinite(this.link.confirmationAgeMs);
      this.fleetState.applyUpdate(
        pushedUpdate.usablePart(update as messages.FleetUpdate, wasConfirmed),
      );
      return { mark: this.fleetState.registryVersion } satisfies messages.UpdateAck;
    });
    this.reachability.serve(this.server);
    await this.server.listen(settings.peers);
    await this.ingress.listen(settings.callers as codecs.Address, this.dependencies.earlyListener);
    await listening.listen(
      this.readiness,
      settings.readiness as codecs.Address,
      this.dependencies.observer,
    );
    this.coldGrants.start();
    this.reachability.start();
    this.link.start();
  }

  reload(settings: roleSettings.Settings): void {
    this.link.addSeeds(settings.seeds);
  }

  /**
   * Runs a planned stop: becomes unready at once, serves new requests for `LINGER_MS`, and finishes those in progress.
   */
  async stop(): Promise<void> {
    const startedAt = clock.steady();
    this.isDraining = true;
    this.link.announceStop();
    this.ingress.drain();
    await clock.sleep(LINGER_MS);
    this.ingress.refuseNew();
    const deadline = startedAt + this.dependencies.settings.stopMs - STOP_MARGIN_MS;
    while (this.hasWork && clock.steady() < deadline) await clock.sleep(STOP_POLL_MS);
    this.ingress.abort();
    this.link.stop();
    this.quarantine.close();
    this.limits.close();
    this.coldGrants.stop();
    this.reachability.stop();
    this.signals.close();
    this.held.close();
    this.readiness.close();
    this.targets.close();
    await this.server.close();
    this.client.close();
  }

  gauges(): Record<string, number> {
    return {
      ready: this.isReady ? 1 : 0,
      ...(this.fleetState.version !== undefined && { catalogueVersion: this.fleetState.version }),
      confirmedMsAgo: Math.min(this.link.confirmationAgeMs, Number.MAX_SAFE_INTEGER),
      targets: this.fleetState.registry.records().length,
      limits: this.fleetState.limits.size - this.fleetState.limits.coldSize,
      cold: this.fleetState.limits.coldSize,
      backingOff: this.signals.backingOff,
      outOfTurnTargets: this.targets.outOfTurnCount,
      evacuations: this.fleetState.evacuations.size,
      suspects: this.fleetState.quarantine.size,
      quarantined: this.fleetState.quarantine.quarantined,
      activeRequests: this.ingress.activeRequests,
      heldBytes: this.held.total,
      ...this.ingress.gauges(),
      ...this.reachability.gauges(),
    };
  }

  /** Whether the balancer should send callers here. */
  get isReady(): boolean {
    return this.isServing && this.isFresh() && !this.reachability.isCutOff;
  }

  /** Whether this entry has settings and isn't being stopped. */
  private get isServing(): boolean {
    return !this.isDraining && this.fleetState.directory !== undefined;
  }

  private get hasWork(): boolean {
    return this.ingress.activeRequests > 0 || this.reachability.relayedMessages > 0;
  }

  private isFresh(): boolean {
    const isFresh = this.link.confirmationAgeMs < this.dependencies.settings.revokeMs * LEASE_SHARE;
    if (this.wasFresh && !isFresh) {
      this.dependencies.observer.log('leaseEnded', {
        confirmedMsAgo: Math.round(this.link.confirmationAgeMs),
      });
    }
    this.wasFresh = isFresh;
    return isFresh;
  }

  private makeIngress(): ingress.Ingress {
    const { traffic, observer: observe, random } = this.dependencies;
    const { liveness, selector } = this;
    const services: exchange.Dependencies = {
      protocol: traffic,
      selector,
      targets: this.targets,
      liveness,
      verification: new failureVerification.FailureVerification({ liveness, selector }),
      reachability: this.reachability,
      limits: this.limits,
      signals: this.signals,
      unavailableTargets: this.unavailableTargets,
      quarantine: this.quarantine,
      budgets: this.budgets,
      audit: this.audit,
      observer: observe,
      random,
      now: clock.steady,
      isFresh: () => this.isFresh(),
      contentionMode: this.dependencies.settings.contentionMode,
    };
    return new ingress.Ingress({
      protocol: traffic,
      observer: observe,
      now: clock.steady,
      directory: () => this.fleetState.directory,
      isFresh: () => this.isFresh(),
      held: this.held,
      maxConnections: openFiles.shareOf(CONNECTION_SHARE, this.dependencies.settings.connections),
      serve: (admitted) => new exchange.Exchange(admitted, services).run(),
    });
  }

  private applyCatalogue(directory: domain.catalogue.directory.Directory): void {
    this.ingress.applyLimits(directory.catalogue.limits);
    this.selector.fallback.setServices(directory.catalogue.services);
    this.fleetState.registry.records().forEach((record) => this.selector.fallback.observe(record));
  }

  private applyRecord(record: domain.registry.registry.Announcement): void {
    this.selector.fallback.observe(record);
    if (record.state !== 'gone') {
      this.signals.observe(record);
      return;
    }
    this.targets.forget(record.id);
    this.liveness.forget(record.id);
    this.reachability.paths.forget(record.id);
    this.selector.forget(record.id);
    this.signals.forget(record);
  }
}
