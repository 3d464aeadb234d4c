/**
 * Control plane of one daemon: its view of the settings and their freshness, the follower that updates it
 * and, if a data folder is configured, the replicas of the logs with the leader's duties.
 */
import * as path from 'node:path';
import * as domain from '@celerydrift/domain';
import { Err, Ok, Result } from 'ts-results';
import type * as configuration from '../configuration/configuration';
import type * as observer from '../observability/observer';
import type * as logHost from '../replicas/logHost';
import type * as stateMachine from '../replicas/stateMachine';
import * as repairer from '../replicas/repairer';
import * as replicaSet from '../replicas/replicaSet';
import * as ledgerClient from '../requests/ledgerClient';
import type * as peerClient from '../rpc/peerClient';
import type * as peerServer from '../rpc/peerServer';
import type * as startErrors from '../errors';
import * as contacts from './contacts';
import * as controlMachine from './controlMachine';
import * as follower from './follower';
import * as ledgerMachine from './ledgerMachine';
import * as logClient from './logClient';
import * as logServer from './logServer';
import * as query from './query';
import * as registrar from './registrar';
import type * as followProtocol from './followProtocol';
import * as stopProgress from './stopProgress';
import * as upstream from './upstream';

export interface Options {
  configuration: configuration.Configuration;
  address: string;
  client: peerClient.PeerClient;
  observer: observer.Observer;
  hash: domain.shared.hashing.Hash;
  random: domain.shared.random.Random;
  now: () => number;
  /** Live daemons of the own data centre, and of all. */
  live: () => { near: string[]; all: string[] };
  onChange: () => void;
  onDiskFailure: (error: unknown) => void;
}

const DUTY_INTERVAL_MS = 250;

const FRESHNESS_EXCHANGE_INTERVAL_MS = 500;

/** Maximum number of daemons queried at once for their index while this one has no lease. */
const EXCHANGE_FANOUT = 16;

export class ControlPlane {
  readonly view = new domain.control.view.View();

  readonly contacts = new contacts.Contacts();

  readonly freshness: domain.membership.freshness.Freshness;

  readonly client: logClient.LogClient;

  readonly query: query.QueryClient;

  private readonly upstream: upstream.Upstream;

  private readonly follower: follower.Follower;

  private readonly machine: controlMachine.ControlMachine;

  private readonly stops: stopProgress.StopProgress;

  private readonly registrar: registrar.Registrar;

  private replicas: replicaSet.ReplicaSet | undefined;

  private repairer: repairer.Repairer | undefined;

  private timers: NodeJS.Timeout[] = [];

  private areDutiesRunning = false;

  /** Term in which this daemon leads with a fresh state, and since when. */
  private tenure: { term: number; since: number } | undefined;

  constructor(private readonly options: Options) {
    const { configuration: settings, client, observer: observe, hash, now } = options;
    this.freshness = new domain.membership.freshness.Freshness(settings.staleness);
    const addresses = (): string[] => this.replicaAddresses();
    this.client = new logClient.LogClient(client, addresses, now);
    this.query = new query.QueryClient(client, addresses);
    const ageMs = (): number => this.ageMs();
    const { view, contacts: contactTable, freshness } = this;
    const leader = (): string => this.leaderAddress();
    this.upstream = new upstream.Upstream({
      view,
      contacts: contactTable,
      hash,
      ageMs,
      now,
      leader,
    });
    const onChange = (): void => this.handleViewChange();
    const upstreams = (): string[] => this.upstreams();
    const self = settings.name;
    const shared = {
      view,
      contacts: contactTable,
      freshness,
      client,
      observer: observe,
      hash,
      now,
    };
    this.follower = new follower.Follower({ ...shared, upstreams, self, onChange });
    this.machine = new controlMachine.ControlMachine(
      (deltas, index) => {
        if (this.view.advance(deltas, index)) this.handleViewChange();
      },
      (state) => {
        if (this.view.adopt(state)) this.handleViewChange();
      },
    );
    this.registrar = new registrar.Registrar({
      configuration: settings,
      address: options.address,
      view,
      contacts: contactTable,
      logs: this.client,
      peers: client,
      observer: observe,
      now,
    });
    this.stops = new stopProgress.StopProgress(() => options.live().all, now);
  }

  /** The local replica of the settings log, if a data folder is configured. */
  get host(): logHost.LogHost | undefined {
    return this.replicas?.hosts.get(logServer.SETTINGS_LOG);
  }

  /** Local replicas of all logs, by log name. */
  get hosts(): ReadonlyMap<string, logHost.LogHost> {
    return this.replicas?.hosts ?? new Map();
  }

  get replicaId(): string {
    return this.replicas?.id ?? '';
  }

  get isFounded(): boolean {
    return this.view.index > 0 || (this.replicas?.isFounded ?? false);
  }

  get ordered(): ReadonlySet<string> {
    return this.machine.state.ordered;
  }

  /**
   * Term and start of this daemon's leadership of the settings log, while its lease holds. A leader whose start isn't
   * recorded yet has none: its orders wait until those of its predecessor are over, counted from that start.
   */
  leadership(): { term: number; since: number } | undefined {
    const { host, tenure } = this;
    if (host === undefined || !host.replica.hasLease(this.options.now())) return undefined;
    return tenure?.term === host.replica.term ? tenure : undefined;
  }

  replicaMembers(): domain.replication.messages.Member[] {
    return this.host?.replica.members ?? [];
  }

  async open(server: peerServer.PeerServer): Promise<Result<void, startErrors.StartError>> {
    const { dataFolder } = this.options.configuration;
    if (dataFolder !== '') {
      const opened = await this.openReplicas(dataFolder);
      if (opened.err) return opened;
      this.replicas?.start(server);
    }
    this.addMethods(server);
    return Ok(undefined);
  }

  start(): void {
    void this.follower.run();
    const duties = (): void => {
      void this.runDuties();
    };
    const exchange = (): void => {
      void this.exchangeFreshness();
    };
    this.timers = [
      setInterval(duties, DUTY_INTERVAL_MS),
      setInterval(exchange, FRESHNESS_EXCHANGE_INTERVAL_MS),
    ];
  }

  async stop(): Promise<void> {
    this.follower.stop();
    this.timers.forEach((timer) => clearInterval(timer));
    await this.replicas?.stop();
  }

  /** Whether this daemon's settings are fresh enough to admit requests. */
  admissionVerdict(): domain.membership.freshness.Admission {
    const registered = [...this.view.daemons.keys()];
    const { name } = this.options.configuration;
    return this.freshness.admission(this.options.now(), name, registered);
  }

  /** Records an automatic action in the audit trail. */
  recordAudit(action: string, subject: string, detail: string): void {
    const command: domain.control.state.Command = { kind: 'note', action, subject, detail, at: 0 };
    void this.client.execute(logServer.SETTINGS_LOG, command);
  }

  /** Reports to every replica how many requests still run here on the targets covered by each stop. */
  reportStopProgress(remainders: domain.stop.stop.RunningCount[]): void {
    const report = { daemon: this.options.configuration.name, remainders };
    this.replicaAddresses().forEach((address) => {
      void this.options.client.call(address, 'stopReport', report);
    });
  }

  private async openReplicas(folder: string): Promise<Result<void, startErrors.StartError>> {
    const { configuration: settings, address, client, observer: observe, random } = this.options;
    const machines = new Map<string, stateMachine.StateMachine>([
      [logServer.SETTINGS_LOG, this.machine],
    ]);
    for (let shard = 0; shard < settings.ledgerShards; shard++) {
      machines.set(ledgerClient.shardName(shard), new ledgerMachine.LedgerMachine());
    }
    try {
      const opened = await replicaSet.ReplicaSet.open({
        folder: path.resolve(folder),
        address,
        dataCentre: settings.dataCentre,
        machines,
        timing: domain.replication.replica.DEFAULT_TIMING,
        random,
        client,
        observer: observe,
        onDiskFailure: this.options.onDiskFailure,
      });
      if (opened.err) {
        observe.log('journalCorrupt', { folder, offset: opened.val.offset });
        const detail = `a journal in ${folder} fails its checksum at byte ${opened.val.offset}`;
        return Err({ kind: 'corruptJournal', detail });
      }
      this.replicas = opened.val;
    } catch (error) {
      return Err({ kind: 'dataFolder', detail: `${folder}: ${String(error)}` });
    }
    this.repairer = new repairer.Repairer({
      size: settings.replicas,
      deadAfterMs: settings.timeouts.deadReplicaMs,
      observer: observe,
      now: this.options.now,
      spares: () => this.spares(),
      recordAudit: (action, subject, detail) => this.recordAudit(action, subject, detail),
    });
    return Ok(undefined);
  }

  private addMethods(server: peerServer.PeerServer): void {
    const hosts = this.replicas?.hosts ?? new Map<string, logHost.LogHost>();
    const registered = (): ReadonlyMap<string, unknown> => this.machine.state.daemons;
    const { now } = this.options;
    const logs = new logServer.LogServer(hosts, registered, this.contacts, now);
    server.add('execute', (parameters) => logs.execute(parameters as logServer.ExecuteRequest));
    server.add('follow', (parameters) =>
      this.handleFollow(parameters as followProtocol.FollowRequest),
    );
    server.add('report', (parameters) => {
      this.contacts.update((parameters as { contacts: contacts.Contact[] }).contacts, now());
      this.follower.reportSoon();
      return { taken: true };
    });
    server.add('parts', (parameters) =>
      this.upstream.parts(parameters as followProtocol.PartsRequest),
    );
    server.add('freshness', () => ({ index: this.view.index }));
    server.add('stopReport', (parameters) => {
      const { daemon, remainders } = parameters as {
        daemon: string;
        remainders: domain.stop.stop.RunningCount[];
      };
      this.stops.update(daemon, remainders);
      return { taken: true };
    });
    server.add('query', (parameters) => this.handleQuery(parameters as query.Query));
  }

  private handleFollow(
    request: followProtocol.FollowRequest,
  ): Promise<followProtocol.FollowResponse> {
    const followed = this.upstream.follow(request);
    this.follower.reportSoon();
    return followed;
  }

  private handleQuery(request: query.Query): query.QueryResponse {
    const { host } = this;
    if (host === undefined) return { kind: 'notLeader', leader: '' };
    const { now } = this.options;
    return new query.QueryServer(host, this.machine, this.contacts, this.stops, now).answer(
      request,
    );
  }

  private ageMs(): number {
    const now = this.options.now();
    // On the leader the view is updated by every applied entry, so under its lease the view is current.
    if (this.host?.hasFreshState() === true) return 0;
    return this.freshness.ageMs(now);
  }

  private handleViewChange(): void {
    if (this.host?.isLeader === true) this.recordSelfContact();
    this.upstream.notifyWaiters();
    this.options.onChange();
  }

  /** The leader has no upstream to report to, so it records itself as holding its view. */
  private recordSelfContact(): void {
    const { name: id } = this.options.configuration;
    const contact = { id, index: this.view.index, ageMs: 0 };
    this.contacts.update([contact], this.options.now());
  }

  private leaderAddress(): string {
    const ownReplicasLeader = this.host?.leaderAddress ?? '';
    return ownReplicasLeader === '' ? this.follower.leader : ownReplicasLeader;
  }

  private replicaAddresses(): string[] {
    const { seeds } = this.options.configuration;
    const registeredReplicas = [...this.view.daemons.values()].filter(
      ({ replica }) => replica !== '',
    );
    const members = this.host?.replica.members ?? [];
    const all = [
      this.leaderAddress(),
      ...members.map(({ address }) => address),
      ...registeredReplicas.map(({ address }) => address),
      ...seeds,
    ];
    return [...new Set(all)].filter((address) => address !== '');
  }

  /** Peer addresses of possible upstreams, best first; none for the leader of the settings log. */
  private upstreams(): string[] {
    const { host } = this;
    const { address: ownAddress, hash, configuration: settings } = this.options;
    if (host?.isLeader === true) return [];
    const others = this.replicaAddresses().filter((address) => address !== ownAddress);
    const isMember = host?.replica.members.some(({ address }) => address === ownAddress) === true;
    if (isMember) return others;
    const { daemons } = this.view;
    const addressOf = (id: string): string => daemons.get(id)?.address ?? '';
    const { near } = this.options.live();
    const relays = domain.membership.relay.relaysOf(hash, settings.dataCentre, near);
    // A relay follows the leader directly, because each hop adds up to a second to the age of its view.
    if (relays.includes(settings.name)) return others;
    const ranked = domain.membership.relay.upstreams(hash, settings.name, relays, others);
    const isAddress = (name: string): boolean => name.includes(':');
    const addresses = ranked.map((name) => (isAddress(name) ? name : addressOf(name)));
    return [...new Set(addresses)].filter((address) => address !== '' && address !== ownAddress);
  }

  /**
   * Registered daemons with a data folder that membership considers live. The contact table would not do:
   * the leader of a ledger shard may be another daemon than the settings leader, and receives no reports.
   */
  private spares(): domain.replication.repair.Spare[] {
    const live = new Set(this.options.live().all);
    return [...this.view.daemons.values()]
      .filter(({ id, replica }) => replica !== '' && live.has(id))
      .map(({ replica, address, dataCentre }) => ({ id: replica, address, dataCentre }));
  }

  private async runDuties(): Promise<void> {
    const now = this.options.now();
    const { host } = this;
    if (host?.hasFreshState() === true) {
      const { term } = host.replica;
      if (this.tenure?.term !== term) this.tenure = { term, since: now };
      this.freshness.renewLease(now);
      this.recordSelfContact();
    } else this.tenure = undefined;
    this.replicas?.hosts.forEach((each) => this.repairer?.step(each));
    if (this.areDutiesRunning) return;
    this.areDutiesRunning = true;
    await this.registrar.found(this.replicas);
    await this.registrar.register(this.replicas);
    const since = this.leadership()?.since;
    if (since !== undefined) await this.registrar.unregisterSilent(since);
    this.areDutiesRunning = false;
  }

  /** Without a lease, queries other registered daemons for their index and catches up with newer ones. */
  private async exchangeFreshness(): Promise<void> {
    const now = this.options.now();
    if (this.freshness.hasLease(now)) return;
    const { name } = this.options.configuration;
    const others = [...this.view.daemons.values()].filter(({ id }) => id !== name);
    const { random, client } = this.options;
    const sampled = others
      .map((daemon) => ({ daemon, order: random.uniform() }))
      .sort((a, b) => a.order - b.order)
      .slice(0, EXCHANGE_FANOUT);
    await Promise.all(
      sampled.map(async ({ daemon: { id, address } }) => {
        const call = { timeoutMs: FRESHNESS_EXCHANGE_INTERVAL_MS, fresh: true };
        const answer = await client.call<{ index: number }>(address, 'freshness', {}, call);
        if (answer.err) return;
        if (answer.val.index > this.view.index) await this.follower.catchUpFrom(address);
        if (answer.val.index <= this.view.index) this.freshness.recordExchange(id, now);
      }),
    );
  }
}
