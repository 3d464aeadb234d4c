/**
 * Fleet membership as seen by this daemon: probes one peer per second by exchanging gossip records with it,
 * and pushes urgent records to all daemons at once. Probes stay in the own data centre first; a relay also
 * exchanges records with a daemon of another data centre.
 */
import * as domain from '@celerydrift/domain';
import type * as observer from '../observability/observer';
import type * as peerClient from '../rpc/peerClient';
import type * as peerServer from '../rpc/peerServer';
import * as gossipRecords from './gossipRecords';

type Daemon = domain.membership.daemon.Daemon;

export interface Options {
  self: Daemon;
  seeds: readonly string[];
  client: peerClient.PeerClient;
  observer: observer.Observer;
  random: domain.shared.random.Random;
  hash: domain.shared.hashing.Hash;
  now: () => number;
  /** Handles records other than daemons; returns whether the record was new. */
  onRecord: (record: gossipRecords.GossipRecord) => boolean;
  onDaemons: () => void;
}

interface GossipExchange {
  from: Daemon;
  /** Checksum of the sender's persistent records; transient ones are left out. */
  checksum: number;
  records: gossipRecords.GossipRecord[];
}

interface PushRequest {
  records: gossipRecords.GossipRecord[];
  /** Whether the receiver forwards the records within its data centre. */
  passOn: boolean;
}

const PROBE_TIMEOUT_MS = 500;

/** Records in one exchange; a new peer receives the rest in later exchanges. */
const BATCH_LIMIT = 200;

/** Helpers of an indirect probe, and daemons per remote data centre that forward a push. */
const REDUNDANT_PEERS = 2;

export class Members {
  readonly detector: domain.membership.detector.Detector;

  private readonly gossipBuffer: domain.membership.gossip.GossipBuffer<gossipRecords.GossipRecord>;

  private timer: NodeJS.Timeout | undefined;

  private seedCursor = 0;

  /** Peers with which an exchange succeeded since they last started. */
  private readonly contacted = new Set<string>();

  constructor(private readonly options: Options) {
    const { self, random, hash } = options;
    this.gossipBuffer = new domain.membership.gossip.GossipBuffer(hash);
    this.detector = new domain.membership.detector.Detector(self, random);
    this.gossipBuffer.put(`daemon/${self.id}`, { kind: 'daemon', daemon: self }, '');
  }

  start(server: peerServer.PeerServer): void {
    server.add('gossip', (parameters) => this.handleExchange(parameters as GossipExchange));
    server.add('push', (parameters) => this.handlePush(parameters as PushRequest));
    server.add('probeFor', (parameters) =>
      this.probeFor((parameters as { address: string }).address),
    );
    const round = (): void => {
      void this.runRound();
    };
    this.timer = setInterval(round, domain.membership.detector.DEFAULT_TIMING.period);
    round();
  }

  stop(): void {
    clearInterval(this.timer);
  }

  get self(): Daemon {
    return this.detector.own;
  }

  /** Live daemons of a data centre, by id. */
  liveIn(dataCentre: string): string[] {
    return this.detector.liveIn(dataCentre);
  }

  isRelay(): boolean {
    const { id, dataCentre } = this.self;
    const live = this.liveIn(dataCentre);
    return domain.membership.relay.relaysOf(this.options.hash, dataCentre, live).includes(id);
  }

  /** Queues a record for the next exchanges. */
  post(record: gossipRecords.GossipRecord): void {
    this.postFrom(record, '');
  }

  private postFrom(record: gossipRecords.GossipRecord, from: string): void {
    this.gossipBuffer.put(gossipRecords.keyOf(record), record, from, record.kind === 'work');
  }

  /**
   * Sends a record immediately to every live daemon of this data centre and to two of each other data centre,
   * which forward it. Gossip carries it as well, so a single broken path doesn't keep it from anyone.
   */
  async push(record: gossipRecords.GossipRecord): Promise<void> {
    this.post(record);
    const livePeers = this.detector.list().filter(domain.membership.daemon.isLive);
    const localPeers = livePeers.filter(({ dataCentre }) => dataCentre === this.self.dataCentre);
    const remotePeers = livePeers.filter(({ dataCentre }) => dataCentre !== this.self.dataCentre);
    const forwarders = [...new Set(remotePeers.map(({ dataCentre }) => dataCentre))].flatMap(
      (name) =>
        remotePeers.filter(({ dataCentre }) => dataCentre === name).slice(0, REDUNDANT_PEERS),
    );
    await Promise.all([
      ...localPeers.map((peer) => this.pushTo(peer, record, false)),
      ...forwarders.map((peer) => this.pushTo(peer, record, true)),
    ]);
  }

  /** Adds registered daemons that are not known yet, so that they are probed like the others. */
  addRegistered(daemons: Iterable<domain.control.state.RegisteredDaemon>): void {
    for (const { id, address, dataCentre } of daemons) {
      if (id === this.self.id || this.detector.get(id) !== undefined) continue;
      this.mergeDaemon({ id, address, dataCentre, incarnation: 0, status: 'alive' }, '');
    }
  }

  async leave(): Promise<void> {
    const daemon = this.detector.leave();
    await this.push({ kind: 'daemon', daemon });
  }

  private async pushTo(
    peer: Daemon,
    record: gossipRecords.GossipRecord,
    passOn: boolean,
  ): Promise<void> {
    if (peer.id === this.self.id) return;
    const message: PushRequest = { records: [record], passOn };
    const { client } = this.options;
    const sent = await client.call(peer.address, 'push', message, { timeoutMs: PROBE_TIMEOUT_MS });
    // The open connection may have stalled; a new one may work.
    if (sent.err) {
      await client.call(peer.address, 'push', message, {
        timeoutMs: PROBE_TIMEOUT_MS,
        fresh: true,
      });
    }
  }

  private handlePush({ records, passOn }: PushRequest): { taken: true } {
    const newRecords = records.filter((record) => this.mergeRecord(record, ''));
    if (passOn) {
      const localPeers = this.liveIn(this.self.dataCentre);
      localPeers
        .map((id) => this.detector.get(id))
        .forEach((peer) => {
          if (peer === undefined) return;
          newRecords.forEach((record) => {
            void this.pushTo(peer, record, false);
          });
        });
    }
    return { taken: true };
  }

  private async runRound(): Promise<void> {
    const now = this.options.now();
    this.detector.expire(now).forEach((changed) => this.handleChange(changed, ''));
    const peer = this.detector.nextProbe();
    if (peer !== undefined) void this.probe(peer);
    if (this.detector.list().length === 1) void this.contactSeed();
    if (this.isRelay()) void this.exchangeWithRemoteDataCentre();
  }

  /** Contacts the configured seeds in turn while no peer is known. */
  private async contactSeed(): Promise<void> {
    const seeds = this.options.seeds.filter((address) => address !== this.self.address);
    if (seeds.length === 0) return;
    this.seedCursor += 1;
    await this.exchange(seeds[this.seedCursor % seeds.length], '', false);
  }

  private async exchangeWithRemoteDataCentre(): Promise<void> {
    const remotePeers = this.detector
      .list()
      .filter(({ dataCentre }) => dataCentre !== this.self.dataCentre)
      .filter(domain.membership.daemon.isLive);
    if (remotePeers.length === 0) return;
    const peer = domain.shared.random.pick(this.options.random, remotePeers);
    const reached = await this.exchange(peer.address, peer.id, false);
    if (!reached) await this.exchange(peer.address, peer.id, true);
  }

  private async probe(peer: Daemon): Promise<void> {
    if (await this.exchange(peer.address, peer.id, false)) return;
    // Only the open connection may have failed; a new one may work.
    if (await this.exchange(peer.address, peer.id, true)) return;
    const helpers = this.detector.indirectProbers(peer.id, REDUNDANT_PEERS);
    const answers = await Promise.all(
      helpers.map(({ address }) =>
        this.options.client.call<boolean>(
          address,
          'probeFor',
          { address: peer.address },
          { timeoutMs: PROBE_TIMEOUT_MS * 2 },
        ),
      ),
    );
    if (answers.some((answer) => answer.ok && answer.val)) return;
    this.detector
      .suspect(peer.id, this.options.now())
      .forEach((each) => this.handleChange(each, ''));
  }

  private async probeFor(address: string): Promise<boolean> {
    const { client } = this.options;
    const answer = await client.call(address, 'identify', {}, { timeoutMs: PROBE_TIMEOUT_MS });
    return answer.ok;
  }

  private async exchange(address: string, id: string, fresh: boolean): Promise<boolean> {
    // The first exchange sends only the checksum: the answer shows whether the peer lacks any records.
    const isKnown = this.contacted.has(id);
    const batch = this.gossipBuffer.batchFor(id, isKnown ? BATCH_LIMIT : 0);
    const { checksum } = this.gossipBuffer;
    const message: GossipExchange = { from: this.self, checksum, records: batch.records };
    const options = { timeoutMs: PROBE_TIMEOUT_MS, fresh };
    const answer = await this.options.client.call<GossipExchange>(
      address,
      'gossip',
      message,
      options,
    );
    if (answer.err) return false;
    this.contacted.add(id);
    if (answer.val.checksum === checksum) this.gossipBuffer.markInSync(id);
    else this.gossipBuffer.acknowledge(id, batch.upTo);
    this.mergeExchange(answer.val);
    return true;
  }

  private handleExchange(exchange: GossipExchange): GossipExchange {
    this.mergeExchange(exchange);
    const { id } = exchange.from;
    const { checksum } = this.gossipBuffer;
    if (exchange.checksum === checksum) this.gossipBuffer.markInSync(id);
    const batch = this.gossipBuffer.batchFor(id, BATCH_LIMIT);
    // Records in a lost answer are not resent to this peer; it receives them from others and by its own probes.
    this.gossipBuffer.acknowledge(id, batch.upTo);
    return { from: this.self, checksum, records: batch.records };
  }

  private mergeExchange({ from, records }: GossipExchange): void {
    const previous = this.detector.get(from.id);
    const hasRestarted = previous !== undefined && previous.incarnation < from.incarnation;
    if (hasRestarted) {
      this.gossipBuffer.resetPeer(from.id);
      this.contacted.delete(from.id);
    }
    this.mergeRecord({ kind: 'daemon', daemon: from }, from.id);
    records.forEach((record) => this.mergeRecord(record, from.id));
  }

  private mergeRecord(record: gossipRecords.GossipRecord, from: string): boolean {
    if (record.kind === 'daemon') return this.mergeDaemon(record.daemon, from);
    const isNew = this.options.onRecord(record);
    if (isNew) this.postFrom(record, from);
    return isNew;
  }

  private mergeDaemon(daemon: Daemon, from: string): boolean {
    const changes = this.detector.merge(daemon, this.options.now());
    changes.forEach((changed) => this.handleChange(changed, from));
    return changes.length > 0;
  }

  private handleChange(daemon: Daemon, from: string): void {
    this.gossipBuffer.put(`daemon/${daemon.id}`, { kind: 'daemon', daemon }, from);
    const { id, status } = daemon;
    if (status === 'suspect') this.options.observer.log('daemonSuspected', { id });
    if (status === 'dead') this.options.observer.log('daemonDead', { id });
    if (status === 'alive') this.options.observer.log('daemonAlive', { id });
    this.options.onDaemons();
  }
}
