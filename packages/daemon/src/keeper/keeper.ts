/**
 * A keeper: a process with a disk that holds a replica of the log and serves targets and operators. One keeper leads;
 * the others forward to it what they receive and hold a copy of the registry.
 */
import type * as domain from '@celerydrift/domain';
import * as clock from '../clock';
import * as codecs from '../configuration/codecs';
import type * as roleSettings from '../configuration/roleSettings';
import type * as protocols from '../edges/protocols';
import * as fleetState from '../fleet/fleetState';
import * as leaderLink from '../fleet/leaderLink';
import * as messages from '../fleet/messages';
import * as peers from '../fleet/peers';
import * as heldBytes from '../http/heldBytes';
import * as openFiles from '../http/openFiles';
import type * as observer from '../observability/observer';
import * as founding from '../replicas/founding';
import type * as logHost from '../replicas/logHost';
import * as repairer from '../replicas/repairer';
import * as replicaSet from '../replicas/replicaSet';
import type * as peerClient from '../rpc/peerClient';
import type * as peerServer from '../rpc/peerServer';
import * as announcementRelay from './announcementRelay';
import * as catalogueMachine from './catalogueMachine';
import * as controlServer from './controlServer';
import * as evacuationOrders from './evacuationOrders';
import * as leaderCalls from './leaderCalls';
import * as leadership from './leadership';
import * as quorumWatch from './quorumWatch';
import * as softStateStore from './softStateStore';

export interface Dependencies {
  settings: roleSettings.Settings;
  protocol: protocols.ControlProtocol;
  observer: observer.Observer;
  random: domain.shared.random.Random;
  onDiskFailure: (error: unknown) => void;
}

const LOG = 'catalogue';

/** Share of the descriptors that connections of targets and operators may take; entries and keepers need as many. */
const CONNECTION_SHARE = 3 / 8;

const DUTY_INTERVAL_MS = 100;

/**
 * Replication timing, in milliseconds. Keepers are few and a message between them takes a millisecond or two, so a
 * lost leader is noticed earlier than among the daemons of a wide fleet: callers are refused for as long as no keeper
 * leads after all were down. A keeper that is five times slower than usual still answers in time.
 */
const TIMING: domain.replication.replica.Timing = {
  heartbeat: 120,
  electionMin: 450,
  electionMax: 750,
  // A restarted keeper may vote at once, as reads ask a quorum and don't rely on a leader's lease. A heartbeat and
  // some message delays of a millisecond pass before its first election attempt, and another attempt follows with
  // each tick, so that after an outage of all keepers one leads 0.1 s after a quorum is up.
  restart: { min: 150, max: 200, again: { min: 40, max: 60 } },
};

/** Catalogue versions in the log before a snapshot replaces them; at 10 KB each, the journal stays under 1 MB. */
const SNAPSHOT_INTERVAL_ENTRIES = 64;

/**
 * Time without contact after which a voter is replaced by a spare, if there is one, in milliseconds. A successor must
 * hold everything within 4 s of its start; the rest is for catching up and two changes of the replica set.
 */
const DEAD_AFTER_MS = 2_000;

export class Keeper {
  private readonly client: peerClient.PeerClient;

  private readonly server: peerServer.PeerServer;

  private readonly held: heldBytes.HeldBytes;

  private readonly control: controlServer.ControlServer;

  private readonly fleetState: fleetState.FleetState;

  private readonly link: leaderLink.LeaderLink;

  private readonly machine: catalogueMachine.CatalogueMachine;

  private readonly relay = new announcementRelay.AnnouncementRelay((records) => {
    return this.calls.announce(records);
  });

  private readonly softState: softStateStore.SoftStateStore;

  private readonly timers: NodeJS.Timeout[] = [];

  private replicas!: replicaSet.ReplicaSet;

  private host!: logHost.LogHost;

  private leadership!: leadership.Leadership;

  private calls!: leaderCalls.LeaderCalls;

  private readonly quorum: quorumWatch.QuorumWatch;

  private isFounding = false;

  constructor(private readonly dependencies: Dependencies) {
    const { settings, observer: observe, protocol } = dependencies;
    this.client = peers.clientOf(settings, observe);
    this.quorum = new quorumWatch.QuorumWatch({ observer: observe, now: clock.steady });
    this.server = peers.serverOf(settings, observe);
    this.machine = new catalogueMachine.CatalogueMachine(() => this.applyCommitted());
    this.fleetState = new fleetState.FleetState({
      protocol,
      observer: observe,
      now: clock.steady,
      onCatalogue: ({ catalogue }) => {
        this.leadership?.allocator.setServices(catalogue.services);
        this.leadership?.catalogueChanged();
      },
      onRecord: (record) => {
        this.leadership?.allocator.observe(record);
        this.softState.targetChanged(record);
      },
      onSuspects: () => this.softState.suspectsChanged(),
      onLimits: () => this.softState.limitsChanged(),
      onEvacuationEnded: (dataCentre) => this.leadership?.evacuationEnded(dataCentre),
    });
    this.softState = new softStateStore.SoftStateStore({
      folder: settings.dataFolder,
      fleetState: this.fleetState,
      evacuations: settings.evacuationMs > 0 ? () => this.leadership.evacuations : undefined,
      observer: observe,
    });
    this.link = this.makeLink();
    this.held = new heldBytes.HeldBytes({
      boundBytes: settings.heldBytes || Infinity,
      now: clock.steady,
      observer: observe,
    });
    this.control = new controlServer.ControlServer({
      protocol,
      observer: observe,
      announce: (record) => this.relay.relay(record),
      depart: (departed, isGivenUp) => this.calls.depart(departed, isGivenUp),
      submit: (edition) => this.calls.submit(edition),
      newest: () => this.calls.newest(),
      orders: this.makeOrders(),
      evacuations: () => this.calls.evacuations(),
      held: this.held,
      maxConnections: openFiles.shareOf(CONNECTION_SHARE, settings.connections),
    });
  }

  /** Opens the replica and starts the keeper; returns false if the disk lost data that it had synced. */
  async start(): Promise<boolean> {
    const { settings, observer: observe, random, onDiskFailure } = this.dependencies;
    const opened = await replicaSet.ReplicaSet.open({
      folder: settings.dataFolder,
      address: codecs.formatAddress(settings.advertised),
      dataCentre: settings.dataCentre,
      machines: new Map([[LOG, this.machine]]),
      timing: TIMING,
      random,
      client: this.client,
      observer: observe,
      snapshotIntervalEntries: SNAPSHOT_INTERVAL_ENTRIES,
      onDiskFailure,
    });
    if (opened.err) return false;
    this.replicas = opened.val;
    this.host = this.replicas.hosts.get(LOG) as logHost.LogHost;
    this.leadership = this.makeLeadership();
    const { host, leadership: leader, machine, link, client } = this;
    this.calls = new leaderCalls.LeaderCalls({
      host,
      leadership: leader,
      machine,
      link,
      client,
      observer: observe,
    });
    await this.softState.load();
    this.serveMethods();
    this.serveLeaderMethods();
    this.replicas.start(this.server);
    await this.server.listen(settings.peers);
    await this.control.listen(settings.control as codecs.Address);
    this.link.start();
    this.startDuties();
    return true;
  }

  reload(settings: roleSettings.Settings): void {
    this.link.addSeeds(settings.seeds);
  }

  gauges(): Record<string, number> {
    const { replica } = this.host;
    return {
      leads: this.host.isLeader ? 1 : 0,
      votes: replica.members.some(({ id, role }) => id === replica.id && role === 'voter') ? 1 : 0,
      term: replica.term,
      committed: replica.commit,
      members: replica.members.length,
      voters: replica.voters.length,
      withoutLeaderMs: Math.round(this.quorum.missingMs),
      ...(this.fleetState.version !== undefined && { catalogueVersion: this.fleetState.version }),
      targets: this.fleetState.registry.records().length,
      dispatches: this.leadership.allocator.size,
      limits: this.fleetState.limits.size - this.fleetState.limits.coldSize,
      cold: this.fleetState.limits.coldSize,
      suspects: this.fleetState.quarantine.size,
      quarantined: this.fleetState.quarantine.quarantined,
      evacuations: this.fleetState.evacuations.state.evacuations.length,
      heldBytes: this.held.total,
      connections: this.control.openConnections,
    };
  }

  async stop(): Promise<void> {
    await this.control.close();
    this.held.close();
    this.timers.forEach((timer) => clearInterval(timer));
    this.link.stop();
    await this.softState.close();
    await this.replicas.stop();
    await this.server.close();
    this.client.close();
  }

  private makeLink(): leaderLink.LeaderLink {
    const { settings, observer: observe } = this.dependencies;
    return new leaderLink.LeaderLink({
      name: settings.name,
      role: 'keeper',
      address: codecs.formatAddress(settings.advertised),
      dataCentre: settings.dataCentre,
      replica: () => this.replicas.id,
      seeds: settings.seeds,
      client: this.client,
      fleetState: this.fleetState,
      observer: observe,
      readClocks: clock.readClocks,
      dispatches: () => [],
      onConfirmed: ({ evacuationReplicas }) => {
        if (this.host.isLeader) return;
        this.leadership.evacuations.replaceInformed(evacuationReplicas ?? []);
      },
    });
  }

  private makeOrders(): evacuationOrders.EvacuationOrders {
    const { settings, observer: observe } = this.dependencies;
    return new evacuationOrders.EvacuationOrders({
      isEnabled: settings.evacuationMs > 0,
      dataCentres: settings.dataCentres,
      announcedDataCentres: () => [
        settings.dataCentre,
        ...this.fleetState.registry.records().map(({ dataCentre }) => dataCentre),
      ],
      isEvacuated: (dataCentre) => this.fleetState.evacuations.isEvacuated(dataCentre),
      submit: (command, isGivenUp) => this.calls.evacuate(command, isGivenUp),
      observer: observe,
      timeOfDay: clock.timeOfDay,
    });
  }

  private makeLeadership(): leadership.Leadership {
    const leader = new leadership.Leadership({
      name: this.dependencies.settings.name,
      host: this.host,
      fleetState: this.fleetState,
      client: this.client,
      observer: this.dependencies.observer,
      now: clock.steady,
      random: this.dependencies.random,
      newestCatalogue: () => this.machine.catalogue.newest,
      evacuations: () => this.machine.evacuations.state,
      endsStored: () => this.softState.endsStored(),
      onInformed: () => this.softState.evacuationReplicasChanged(),
      onSuspects: () => this.softState.suspectsChanged(),
      onLimits: () => this.softState.limitsChanged(),
      linkMbps: this.dependencies.settings.linkMbps,
      contentionMode: this.dependencies.settings.contentionMode,
    });
    leader.allocator.setEvacuated((name) => this.fleetState.evacuations.isEvacuated(name));
    const { directory } = this.fleetState;
    if (directory !== undefined) leader.allocator.setServices(directory.catalogue.services);
    return leader;
  }

  /** Puts committed evacuations and catalogues into force here; the leader pushes them to its followers. */
  private applyCommitted(): void {
    const { evacuations, catalogue } = this.machine;
    this.fleetState.applyEvacuations(evacuations.state);
    if (catalogue.newest !== undefined) this.fleetState.applyCatalogue(catalogue.newest);
  }

  private serveMethods(): void {
    const { server, calls } = this;
    server.add('identify', () => this.identity());
    server.add('follow', (request) => this.follow(request as messages.FollowRequest));
    server.add('learn', async (update) => {
      await this.softState.storing(() => {
        this.fleetState.applyUpdate(update as messages.FleetUpdate);
      });
      return { mark: this.fleetState.registryVersion } satisfies messages.UpdateAck;
    });
    server.add('announced', (content) => calls.announceHere(content as messages.AnnouncementBatch));
    server.add('departed', (content) => calls.departHere(content as messages.Departure));
    server.add('lifetime', (content) => calls.lifetimeHere(content as messages.LifetimeRequest));
    server.add('leaving', (content): messages.AppliedAnswer => {
      return this.host.isLeader
        ? this.leadership.leaving(content as messages.DrainingReport)
        : this.redirect();
    });
    server.add('submit', (content) =>
      calls.submitHere((content as messages.SubmitRequest).edition),
    );
    server.add('newest', () => calls.newestHere());
    server.add('orderPosition', () => calls.orderPositionHere());
    server.add('evacuate', (content) => calls.evacuateHere(content as messages.EvacuateRequest));
    server.add('evacuations', () => calls.evacuationsHere());
    server.add('place', (request) => this.place(request as messages.PlaceRequest));
    server.add('ended', (content) => {
      this.leadership.ended(content as messages.FinishedDispatches);
      return {};
    });
  }

  /** Registers the methods by which a leader handles suspect requests and rate limits. */
  private serveLeaderMethods(): void {
    const { server } = this;
    const { suspects } = this.leadership;
    server.add('blame', (content): messages.CrashReportAnswer => {
      if (!this.host.isLeader) return this.redirect();
      return { kind: 'taken', reports: this.leadership.blame(content as messages.CrashReport) };
    });
    server.add('permit', (request): messages.PermitAnswer => {
      return this.host.isLeader
        ? suspects.permit(request as messages.PermitRequest)
        : this.redirect();
    });
    const { leadership: leader } = this;
    server.add('limited', (content): messages.AppliedAnswer => {
      return this.host.isLeader ? leader.limited(content as messages.LimitReport) : this.redirect();
    });
    server.add('grant', (request): messages.GrantAnswer => {
      return this.host.isLeader ? leader.grant(request as messages.GrantRequest) : this.redirect();
    });
    server.add('trialEnded', (content): messages.AppliedAnswer => {
      if (!this.host.isLeader) return this.redirect();
      suspects.trialEnded(content as messages.CanaryEnded);
      return { kind: 'taken' };
    });
  }

  private startDuties(): void {
    const repair = new repairer.Repairer({
      size: this.dependencies.settings.replicas,
      deadAfterMs: DEAD_AFTER_MS,
      observer: this.dependencies.observer,
      now: clock.steady,
      spares: () => this.leadership.spares(),
      recordAudit: () => undefined,
    });
    const duties = (): void => {
      this.leadership.tick();
      repair.step(this.host);
      this.quorum.check(this.host.replica);
      void this.found();
    };
    this.timers.push(setInterval(duties, DUTY_INTERVAL_MS));
  }

  private async found(): Promise<void> {
    const { settings } = this.dependencies;
    const address = codecs.formatAddress(settings.advertised);
    const isFounder = settings.mayFound && settings.seeds.includes(address);
    if (!isFounder || this.isFounding || this.replicas.isFounded) return;
    this.isFounding = true;
    const { replicas: set, client } = this;
    try {
      const { seeds } = settings;
      await founding.attempt({ set, client, founders: seeds, seeds, address });
    } finally {
      this.isFounding = false;
    }
  }

  private identity(): founding.Identity {
    const { settings } = this.dependencies;
    return {
      daemon: settings.name,
      replica: this.replicas.id,
      address: codecs.formatAddress(settings.advertised),
      dataCentre: settings.dataCentre,
      founded: this.replicas.isFounded,
      members: this.host.replica.members,
    };
  }

  private get leader(): string {
    if (this.host.isLeader) return codecs.formatAddress(this.dependencies.settings.advertised);
    return this.host.leaderAddress || this.link.leader;
  }

  private redirect(): messages.Redirect {
    return { kind: 'redirect', leader: this.host.isLeader ? '' : this.leader };
  }

  private async follow(request: messages.FollowRequest): Promise<messages.FollowAnswer> {
    if (!this.host.isLeader) return this.redirect();
    return (await this.leadership.follow(request)) ?? this.redirect();
  }

  private async place(request: messages.PlaceRequest): Promise<messages.PlaceAnswer> {
    return this.host.isLeader ? this.leadership.place(request) : this.redirect();
  }
}
