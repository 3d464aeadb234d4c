/** A daemon: wires its components together, starts them in order and shuts them down in a planned stop. */
import type * as tls from 'node:tls';
import * as domain from '@celerydrift/domain';
import { Err, Ok, Result } from 'ts-results';
import * as clock from './clock';
import * as configuration from './configuration/configuration';
import * as tlsFiles from './configuration/tlsFiles';
import * as controlPlane from './control/controlPlane';
import * as logServer from './control/logServer';
import type * as errors from './errors';
import * as callersApi from './http/callersApi';
import * as heldBytes from './http/heldBytes';
import * as listener from './http/listener';
import * as operatorsApi from './http/operatorsApi';
import * as targetsApi from './http/targetsApi';
import * as members from './membership/members';
import type * as gossipRecords from './membership/gossipRecords';
import * as workloadAnnouncer from './membership/workloadAnnouncer';
import * as observer from './observability/observer';
import * as orderLoop from './orders/orderLoop';
import type * as founding from './replicas/founding';
import * as admission from './requests/admission';
import * as cellTracker from './requests/cellTracker';
import type * as execution from './requests/execution';
import * as allocationClient from './requests/allocationClient';
import * as allocator from './requests/allocator';
import * as promptQuarantine from './requests/promptQuarantine';
import * as gatherer from './requests/gatherer';
import * as leaseLoop from './requests/leaseLoop';
import * as ledgerClient from './requests/ledgerClient';
import * as policies from './requests/policies';
import * as router from './requests/router';
import * as serviceProxy from './requests/serviceProxy';
import * as plannedStopTracker from './requests/plannedStopTracker';
import * as peerClient from './rpc/peerClient';
import * as peerServer from './rpc/peerServer';
import * as httpAdapter from './targets/httpAdapter';
import * as httpClient from './targets/httpClient';
import * as targetTable from './targets/targetTable';

type Target = domain.target.target.Target;

export interface Ports {
  callers: number;
  targets: number;
  operators: number;
  peers: number;
}

const WORKLOAD_REPORT_INTERVAL_MS = 1_000;

const READINESS_CHECK_INTERVAL_MS = 250;

/** Time for the load balancer to notice that this daemon is unready. */
const BALANCER_NOTICE_MS = 500;

export class Daemon {
  readonly observer: observer.Observer;

  readonly peers: peerClient.PeerClient;

  readonly targetsClient: httpClient.HttpClient;

  readonly control: controlPlane.ControlPlane;

  readonly members: members.Members;

  readonly targets: targetTable.TargetTable;

  readonly router: router.Router;

  readonly admission: admission.Admission;

  readonly holdings: leaseLoop.LeaseLoop;

  readonly running = new Set<execution.Execution>();

  /** Ports that the listeners are bound to; 0 before they listen. */
  ports: Ports = { callers: 0, targets: 0, operators: 0, peers: 0 };

  private readonly server: peerServer.PeerServer;

  private readonly orders: orderLoop.OrderLoop;

  private readonly plannedStopTracker: plannedStopTracker.PlannedStopTracker;

  private readonly listeners: listener.Listener[];

  private readonly held: heldBytes.HeldBytes;

  /**
   * Higher than the incarnation of an earlier process of the same name. If the clock was stepped back in between,
   * the first peer that still knows the earlier process makes this one raise its incarnation, as it does to
   * refute a suspicion.
   */
  private readonly incarnation = clock.timeOfDay();

  private readonly now = clock.steady;

  private readonly adapter: httpAdapter.HttpAdapter;

  private timers: NodeJS.Timeout[] = [];

  private isStopping = false;

  private wasReady = false;

  private readonly workloadReporter: workloadAnnouncer.WorkloadAnnouncer;

  private readonly cells: cellTracker.CellTracker;

  private readonly allocator: allocator.Allocator;

  private readonly random: domain.shared.random.Random;

  private readonly retryBudget = new domain.request.retry.Budget();

  private readonly callers: callersApi.CallersApi;

  private constructor(
    private readonly settings: configuration.Configuration,
    private readonly hash: domain.shared.hashing.Hash,
    tlsOptions: tlsFiles.TlsOptions | undefined,
    onDiskFailure: (error: unknown) => void,
  ) {
    const { name, dataCentre, peerSecret, logLevel, statsd, timeouts } = settings;
    const address = configuration.formatAddress(settings.peers);
    const { now } = this;
    this.random = domain.shared.random.independent(this.incarnation ^ hash(name));
    const { random } = this;
    this.observer = new observer.Observer(name, logLevel, statsd);
    this.held = new heldBytes.HeldBytes({
      boundBytes: settings.limits.heldBytes,
      now,
      observer: this.observer,
    });
    this.peers = new peerClient.PeerClient(peerSecret, tlsOptions?.client, this.observer);
    this.server = new peerServer.PeerServer(peerSecret, tlsOptions?.server, this.observer);
    this.targetsClient = new httpClient.HttpClient(
      timeouts.connectMs,
      tlsOptions?.client,
      this.observer,
    );
    this.adapter = new httpAdapter.HttpAdapter(this.targetsClient);
    this.members = new members.Members({
      self: { id: name, address, dataCentre, incarnation: this.incarnation, status: 'alive' },
      seeds: settings.seeds,
      client: this.peers,
      observer: this.observer,
      random,
      hash,
      now,
      onRecord: (record) => this.applyRecord(record),
      onDaemons: () => this.onDaemonsChanged(),
    });
    this.control = new controlPlane.ControlPlane({
      configuration: settings,
      address,
      client: this.peers,
      observer: this.observer,
      hash,
      random,
      now,
      live: () => this.liveDaemons(),
      onChange: () => this.onSettingsChanged(),
      onDiskFailure,
    });
    this.targets = new targetTable.TargetTable({
      client: this.peers,
      observer: this.observer,
      hash,
      now,
      members: () => this.members,
      onChange: (target, before) => this.onTargetChanged(target, before),
    });
    this.router = new router.Router({
      dataCentre,
      hash,
      policy: policies.byName(settings.policy, random),
      adapter: this.adapter,
      observer: this.observer,
      now,
    });
    this.allocator = new allocator.Allocator({
      router: this.router,
      now,
      isDead: (daemon) => this.ownerStanding(daemon).kind === 'dead',
    });
    this.admission = new admission.Admission({
      hash,
      now,
      liveDaemonCount: () => this.liveDaemons().all.length,
      peerDemand: (organisation) => this.router.peerDemand(organisation),
    });
    this.holdings = new leaseLoop.LeaseLoop({
      adapter: this.adapter,
      observer: this.observer,
      now,
      target: (target) => this.targets.get(target),
      keptEngines: () => this.keptEngines(),
      ownerStatus: (daemon) => this.ownerStanding(daemon),
      audit: (action, subject, detail) => this.control.recordAudit(action, subject, detail),
    });
    this.orders = new orderLoop.OrderLoop({
      adapter: this.adapter,
      observer: this.observer,
      now,
      leadership: () => this.control.leadership(),
      requiredModels: () => this.admission.directory.servedModels(),
      targets: () => this.targets.list(),
      ownModels: () => this.control.ordered,
      record: (key, loaded) => this.recordOrder(key, loaded),
    });
    this.plannedStopTracker = new plannedStopTracker.PlannedStopTracker({
      host: settings.peers.host,
      dataCentre,
      stops: () => [...this.control.view.stops.values()],
      target: (target) => this.targets.get(target),
      running: this.running,
      now,
    });
    this.cells = new cellTracker.CellTracker({
      self: { id: name, dataCentre },
      hash,
      members: this.members,
      targets: this.targets,
      router: this.router,
      stops: this.plannedStopTracker,
    });
    this.workloadReporter = new workloadAnnouncer.WorkloadAnnouncer({
      self: name,
      incarnation: this.incarnation,
      router: this.router,
      demand: () => this.admission.demand(),
      post: (record) => this.members.post(record),
    });
    this.callers = this.createCallersApi();
    this.listeners = this.createListeners(tlsOptions?.server);
  }

  /** Starts a daemon, which becomes ready once it has received the current settings. */
  static async start(
    settings: configuration.Configuration,
    onDiskFailure: (error: unknown) => void,
  ): Promise<Result<Daemon, errors.StartError>> {
    const hash = await domain.shared.hashing.load();
    const tlsOptions = await tlsFiles.read(settings.tls);
    if (tlsOptions.err) return tlsOptions;
    const daemon = new Daemon(settings, hash, tlsOptions.val, onDiskFailure);
    const opened = await daemon.open();
    return opened.err ? opened : Ok(daemon);
  }

  /**
   * Runs a planned stop of this daemon. It announces to its peers that it leaves and becomes unready, so that the
   * load balancer sends no more requests; then it waits, for at most the grace period, until all requests have
   * finished and all leased resources are released.
   */
  async stop(): Promise<void> {
    if (this.isStopping) return;
    this.isStopping = true;
    this.observer.log('stopping');
    await this.members.leave();
    await clock.sleep(BALANCER_NOTICE_MS);
    const deadline = this.now() + this.settings.timeouts.stopSeconds * 1_000;
    while ((this.callers.active > 0 || this.holdings.leases.size > 0) && this.now() < deadline) {
      await clock.sleep(20);
    }
    const closed = Promise.all(this.listeners.map((each) => each.close()));
    await Promise.race([closed, clock.sleep(BALANCER_NOTICE_MS)]);
    await this.halt();
    this.observer.log('stopped');
  }

  /** Stops immediately, aborting all requests as a crash would, but closes files and clears timers. */
  async halt(): Promise<void> {
    this.isStopping = true;
    this.timers.forEach((timer) => clearInterval(timer));
    this.orders.stop();
    this.holdings.stop();
    this.targets.stop();
    this.router.stop();
    this.allocator.stop();
    this.members.stop();
    this.listeners.forEach((each) => each.abort());
    await Promise.all(this.listeners.map((each) => each.close()));
    await this.control.stop();
    this.peers.close();
    this.targetsClient.close();
    await this.server.close();
    this.observer.close();
  }

  /** The reason why this daemon admits no requests, or undefined if it is ready. */
  unready(): string | undefined {
    if (this.isStopping) return 'this daemon is stopping';
    if (this.control.view.index === 0) return 'the settings in force are not known yet';
    if (this.plannedStopTracker.ownStop() !== undefined)
      return 'a planned stop of this VM is announced';
    if (this.control.admissionVerdict() === 'refuse')
      return 'the settings held here may be out of date';
    return undefined;
  }

  /** The state of this daemon for operators. */
  status(): unknown {
    const { host } = this.control;
    const { replica } = host ?? {};
    const memory = process.memoryUsage();
    const cpu = process.cpuUsage();
    return {
      daemon: this.settings.name,
      dataCentre: this.settings.dataCentre,
      incarnation: this.incarnation,
      ready: this.unready() === undefined,
      unready: this.unready(),
      settingsIndex: this.control.view.index,
      freshnessMs: Math.min(this.control.freshness.ageMs(this.now()), 1e9),
      replica: this.control.replicaId,
      replicaState: replica?.state,
      term: replica?.term,
      members: replica?.members,
      daemons: this.members.detector.list(),
      targetsKept: this.targets.kept,
      running: this.running.size,
      holdings: this.holdings.leases.size,
      memoryBytes: memory.rss,
      heapBytes: memory.heapUsed,
      cpuMicroseconds: cpu.user + cpu.system,
      uptimeSeconds: process.uptime(),
      counters: this.observer.counters(),
    };
  }

  private async open(): Promise<Result<void, errors.StartError>> {
    const { callers, targets, operators, peers } = this.settings;
    try {
      this.ports.peers = await this.server.listen(peers);
    } catch (error) {
      const detail = `cannot listen for peers on ${configuration.formatAddress(peers)}: ${String(error)}`;
      return Err({ kind: 'addressInUse', detail });
    }
    const opened = await this.control.open(this.server);
    if (opened.err) return opened;
    this.server.add('identify', () => this.identity());
    this.members.start(this.server);
    this.targets.start(this.server);
    this.control.start();
    this.router.start();
    this.allocator.start(this.server);
    this.holdings.start();
    this.orders.start();
    const addresses = [callers, targets, operators];
    const names = ['callers', 'targets', 'operators'] as const;
    for (const [i, address] of addresses.entries()) {
      const name = names[i];
      try {
        this.ports[name] = await this.listeners[i].listen(address);
      } catch (error) {
        const detail = `cannot listen for ${name} on ${configuration.formatAddress(address)}: ${String(error)}`;
        return Err({ kind: 'addressInUse', detail });
      }
    }
    this.timers = [
      setInterval(() => this.workloadReporter.announce(), WORKLOAD_REPORT_INTERVAL_MS),
      setInterval(() => this.checkReadinessAndStops(), READINESS_CHECK_INTERVAL_MS),
    ];
    this.observer.log('started', { ports: this.ports, dataCentre: this.settings.dataCentre });
    return Ok(undefined);
  }

  private owner(): domain.memory.leasedResources.Owner {
    return { daemon: this.settings.name, incarnation: this.incarnation };
  }

  private createCallersApi(): callersApi.CallersApi {
    return new callersApi.CallersApi({
      admission: this.admission,
      services: this.createServiceProxy(),
      execution: this.createExecutionDependencies(),
      observer: this.observer,
      unready: () => this.unready(),
      running: this.running,
      now: this.now,
    });
  }

  private createServiceProxy(): serviceProxy.ServiceProxy {
    const { hash, settings, observer: observe, router: route, retryBudget, random, now } = this;
    const ledger = new ledgerClient.LedgerClient(this.control.client, hash, settings.ledgerShards);
    return new serviceProxy.ServiceProxy({
      client: this.targetsClient,
      ledger,
      router: route,
      observer: observe,
      budget: retryBudget,
      random,
      targets: (service) =>
        this.cells.availableTargets().filter((target) => target.service === service),
      now,
    });
  }

  private createExecutionDependencies(): execution.Dependencies {
    const { adapter, holdings, observer: observe, router: route, retryBudget, random, now } = this;
    const owner = (): domain.memory.leasedResources.Owner => this.owner();
    return {
      router: route,
      allocationClient: new allocationClient.AllocationClient({
        self: this.settings.name,
        router: route,
        client: this.peers,
        observer: observe,
        now,
        allocator: () => this.cells.allocatorAddress(),
        target: (name) => this.cells.availableTarget(name),
      }),
      adapter,
      gatherer: new gatherer.Gatherer({
        adapter,
        leaseLoop: holdings,
        random,
        owner,
        engines: () => this.cells.availableEngines(),
        freeTokens: (target) => route.freeTokens(target),
        now,
      }),
      leaseLoop: holdings,
      observer: observe,
      budget: retryBudget,
      quarantine: new promptQuarantine.PromptQuarantine(now),
      random,
      owner,
      silenceMs: this.settings.timeouts.silenceMs,
      learn: (model, bytes, tokens) => this.admission.estimator.learn(model, bytes, tokens),
      now,
    };
  }

  private createListeners(tlsOptions: tls.TlsOptions | undefined): listener.Listener[] {
    const { settings } = this;
    const targets = new targetsApi.TargetsApi(settings.targetSecret, this.targets);
    const operators = new operatorsApi.OperatorsApi({
      fleetTokenHash: settings.operatorTokenHash,
      directory: () => this.admission.directory,
      client: this.control.client,
      query: this.control.query,
      observer: this.observer,
      status: () => this.status(),
      targets: () => this.targets.list(),
    });
    const routes: Record<string, listener.Route> = {
      callers: (call) => this.callers.route(call),
      targets: (call) => targets.route(call),
      operators: (call) => operators.route(call),
    };
    const { limits } = settings;
    const { held, observer: observe } = this;
    return Object.entries(routes).map(([name, route]) => {
      return new listener.Listener({ name, limits, tlsOptions, route, held, observer: observe });
    });
  }

  private identity(): founding.Identity {
    const { name, dataCentre, peers } = this.settings;
    return {
      daemon: name,
      replica: this.control.replicaId,
      address: configuration.formatAddress(peers),
      dataCentre,
      founded: this.control.isFounded,
      members: this.control.replicaMembers(),
    };
  }

  /** Names of the live daemons: those of this data centre, sorted, and all of them. */
  private liveDaemons(): { near: string[]; all: string[] } {
    const live = this.members.detector.list().filter(domain.membership.daemon.isLive);
    const near = live.filter(({ dataCentre }) => dataCentre === this.settings.dataCentre);
    return { near: near.map(({ id }) => id).sort(), all: live.map(({ id }) => id) };
  }

  private onSettingsChanged(): void {
    const { view } = this.control;
    const subtrees = [...view.subtrees.values()];
    const { directory: formerDirectory } = this.admission;
    this.admission.directory = new domain.settings.directory.Directory(subtrees, formerDirectory);
    this.members.addRegistered(view.daemons.values());
    this.cells.refresh();
    this.observer.log('settingInForce', { index: view.index });
  }

  private onDaemonsChanged(): void {
    this.cells.refresh();
    this.members.detector
      .list()
      .filter(({ status }) => status === 'dead' || status === 'leaving')
      .forEach(({ id }) => this.router.forgetPeer(id));
  }

  /** Forgets the leased resources and closes the pooled connections of a target that restarted or is gone. */
  private onTargetChanged(target: Target, before: Target | undefined): void {
    if (before !== undefined && before.incarnation < target.incarnation) {
      this.holdings.leases.targetRestarted(target.name, target.incarnation);
      this.targetsClient.closePool(before.address);
    }
    if (target.status === 'gone') {
      this.holdings.leases.targetGone(target.name);
      this.targetsClient.closePool(target.address);
    }
    const isUnchanged =
      before?.status === target.status &&
      before.incarnation === target.incarnation &&
      before.models.length === target.models.length &&
      JSON.stringify(before.models) === JSON.stringify(target.models);
    if (!isUnchanged) this.cells.refresh();
  }

  /**
   * The engines whose first keeper is this daemon. Only the first keeper of an engine reclaims the resources of
   * a dead daemon, so the survivors don't all do so.
   */
  private keptEngines(): Target[] {
    const { near } = this.liveDaemons();
    return this.targets.list().filter(({ name, kind, status, dataCentre }) => {
      if (kind !== 'engine' || status === 'gone') return false;
      const live = this.members.liveIn(dataCentre);
      const keepers = domain.target.keeper.keepersOf(
        this.hash,
        name,
        live.length > 0 ? live : near,
      );
      return keepers[0] === this.settings.name;
    });
  }

  /** Whether the owner of a leased resource is live, dead or unknown, as the failure detector sees it. */
  private ownerStanding(daemon: string): domain.memory.leasedResources.OwnerStatus {
    const member = this.members.detector.get(daemon);
    if (member === undefined) return { kind: 'unknown' };
    if (member.status === 'dead') return { kind: 'dead' };
    return { kind: 'live', incarnation: member.incarnation };
  }

  /** Records in the replicated log whether a model is ordered to be loaded; returns whether that succeeded. */
  private async recordOrder(key: string, loaded: boolean): Promise<boolean> {
    const command: domain.control.state.Command = { kind: 'ordered', key, loaded, at: 0 };
    const result = await this.control.client.execute(logServer.SETTINGS_LOG, command, 2_000);
    return result.ok;
  }

  /** Merges a record received by gossip; returns whether it was new, so that gossip passes it on. */
  private applyRecord(record: gossipRecords.GossipRecord): boolean {
    if (record.kind === 'target') return this.targets.merge(record.target);
    if (record.kind === 'work') return this.workloadReporter.receive(record.work);
    return false;
  }

  /** Logs a change of readiness and moves requests away from targets under a planned stop. */
  private checkReadinessAndStops(): void {
    const unready = this.unready();
    if ((unready === undefined) !== this.wasReady) {
      this.wasReady = unready === undefined;
      this.observer.log(this.wasReady ? 'ready' : 'unready', { reason: unready });
    }
    if (this.control.view.stops.size === 0) return;
    this.plannedStopTracker.moveAfterGrace();
    this.control.reportStopProgress(this.plannedStopTracker.remainders());
  }
}
