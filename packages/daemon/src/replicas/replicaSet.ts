/**
 * The replicas of all logs in one data folder: the settings log and the ledger shards. Opens their
 * journals, routes incoming messages to their logs, and ticks them.
 */
import * as path from 'node:path';
import * as domain from '@celerydrift/domain';
import { Err, Ok, Result } from 'ts-results';
import * as clock from '../clock';
import type * as observer from '../observability/observer';
import type * as peerClient from '../rpc/peerClient';
import type * as peerServer from '../rpc/peerServer';
import type * as frames from '../storage/frames';
import * as identity from '../storage/identity';
import * as journal from '../storage/journal';
import * as logHost from './logHost';
import type * as stateMachine from './stateMachine';
import * as outbox from './outbox';
import * as wire from './wire';

type Member = domain.replication.messages.Member;

export interface Options {
  folder: string;
  address: string;
  dataCentre: string;
  machines: ReadonlyMap<string, stateMachine.StateMachine>;
  timing: domain.replication.replica.Timing;
  random: domain.shared.random.Random;
  client: peerClient.PeerClient;
  observer: observer.Observer;
  /** Log length in entries at which the log is compacted into a snapshot. */
  snapshotIntervalEntries?: number;
  onDiskFailure: (error: unknown) => void;
}

/** Messages of any logs between two VMs, batched into one frame. */
export interface Envelope {
  /** Peer address of the sender. */
  address: string;
  messages: {
    log: string;
    message: wire.PackedMessage;
    /** Id of the replica that it is for; absent from peers of the last version. */
    to?: string;
  }[];
}

const TICK_MS = 50;

export class ReplicaSet {
  readonly hosts = new Map<string, logHost.LogHost>();

  private timer: NodeJS.Timeout | undefined;

  private readonly outgoing: outbox.Outbox<Envelope['messages'][number]>;

  private constructor(
    readonly id: string,
    private readonly options: Options,
  ) {
    const { client, address } = options;
    this.outgoing = new outbox.Outbox((to, messages) => {
      client.notify(to, 'replicate', { address, messages } satisfies Envelope);
    });
  }

  static async open(options: Options): Promise<Result<ReplicaSet, frames.CorruptFrame>> {
    const { folder, machines } = options;
    const journals = new Map<string, journal.OpenedJournal>();
    for (const log of machines.keys()) {
      const opened = await journal.Journal.open(path.join(folder, log));
      if (opened.err) return Err(opened.val);
      journals.set(log, opened.val);
    }
    // Without a journal the replica has lost its votes and entries, like one with an empty disk.
    const hasState = [...journals.values()].some(({ durable }) => durable !== undefined);
    const id = await (hasState ? identity.readOrCreate(folder) : identity.create(folder));
    const set = new ReplicaSet(id, options);
    for (const [log, opened] of journals) await set.addLog(log, opened);
    return Ok(set);
  }

  get isFounded(): boolean {
    return [...this.hosts.values()].some(({ replica }) => replica.isFounded);
  }

  /** This replica's entry in the member lists of its logs. */
  member(role: domain.replication.messages.Role): Member {
    const { address, dataCentre } = this.options;
    return { id: this.id, address, dataCentre, role };
  }

  start(server: peerServer.PeerServer): void {
    server.add('replicate', (parameters) => {
      const { address, messages } = parameters as Envelope;
      messages.forEach(({ log, message, to }) => {
        const unpacked = wire.unpack(message);
        if (unpacked !== undefined) this.hosts.get(log)?.receive(unpacked, address, to);
      });
    });
    server.add('found', async (parameters) => {
      const { members } = parameters as { members: Member[] };
      if (!(await this.found(members))) throw new Error('disk write failed');
      return { founded: true };
    });
    this.timer = setInterval(() => this.hosts.forEach((host) => host.tick()), TICK_MS);
  }

  /** Makes all replicas founding members; false if a disk error prevented it. */
  async found(members: Member[]): Promise<boolean> {
    for (const host of this.hosts.values()) if (!(await host.found(members))) return false;
    this.options.observer.log('replicaFounded', { members: members.map(({ id }) => id) });
    return true;
  }

  async stop(): Promise<void> {
    clearInterval(this.timer);
    for (const host of this.hosts.values()) await host.close();
  }

  private async addLog(log: string, opened: journal.OpenedJournal): Promise<void> {
    const logMachine = this.options.machines.get(log) as stateMachine.StateMachine;
    const durable = opened.durable ?? domain.replication.messages.emptyDurable();
    if (opened.durable === undefined) await opened.journal.rewrite(durable);
    if (opened.wasTorn) this.options.observer.log('journalCut', { log });
    if (durable.snapshot.index > 0) logMachine.restore(durable.snapshot.state);
    const { timing, random, observer: observe } = this.options;
    const send: logHost.Dependencies['send'] = (peer, to, message) => {
      this.outgoing.add(peer, { log, message: wire.pack(message), to });
    };
    const now = clock.steady;
    const createReplica = (
      durableState: domain.replication.messages.DurableState,
    ): domain.replication.replica.Replica =>
      new domain.replication.replica.Replica(this.id, durableState, timing, random, now());
    this.hosts.set(
      log,
      new logHost.LogHost({
        id: log,
        replica: createReplica(durable),
        reopen: createReplica,
        journal: opened.journal,
        machine: logMachine,
        send,
        now,
        observer: observe,
        snapshotIntervalEntries: this.options.snapshotIntervalEntries,
        onDiskFailure: this.options.onDiskFailure,
      }),
    );
  }
}
