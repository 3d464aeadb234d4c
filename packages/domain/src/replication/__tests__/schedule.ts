/**
 * A seeded simulation of replicas, disks and a network, small enough to run thousands of times. Its
 * steps are ticks, deliveries, message losses, duplicates, crashes during writes, partitions, disk
 * losses and proposals.
 */
import * as shared from '../../shared';
import * as messages from '../messages';
import * as repair from '../repair';
import * as replica from '../replica';

interface Disk {
  durable: messages.DurableState;
}

interface Node {
  id: string;
  /** Its VM; a replica that starts with an empty disk has the address of its predecessor. */
  address: string;
  disk: Disk;
  replica: replica.Replica | undefined;
  /** Commands applied by this process, by index. */
  applied: Map<number, unknown>;
  /** Offset of its clock, in milliseconds. */
  skew: number;
}

interface InFlight {
  from: string;
  to: string;
  /** The VM that it is sent to, which may run another replica by now. */
  address: string;
  message: messages.Message;
  at: number;
}

export interface Finding {
  seed: number;
  problem: string;
}

export interface Options {
  voters: number;
  spares: number;
  steps: number;
  /** Chance of a crash at each write. */
  crash: number;
  loss: number;
  timing?: replica.Timing;
}

const LATENCY_MS = 5;

/** Interval between two checks of the leader's repair. */
const REPAIR_INTERVAL_MS = 100;

function applyRecord(
  durable: messages.DurableState,
  record: messages.StorageRecord,
): messages.DurableState {
  if (record.kind === 'vote') return { ...durable, vote: record.vote };
  if (record.kind === 'append') {
    return { ...durable, entries: [...durable.entries, ...record.entries] };
  }
  if (record.kind === 'truncate') {
    return { ...durable, entries: durable.entries.filter(({ index }) => index < record.from) };
  }
  return durable;
}

export class Schedule {
  readonly nodes = new Map<string, Node>();

  /** The node that runs at each address. */
  private readonly byAddress = new Map<string, Node>();

  private now = 1_000;

  private inFlight: InFlight[] = [];

  private readonly source: shared.random.Random;

  private isolated = new Set<string>();

  private readonly cutLinks = new Set<string>();

  /**
   * The reference store: the entry committed at each index, by the first replica that applied it.
   */
  readonly committed = new Map<number, string>();

  /** Proposals that were acknowledged, with their index. */
  readonly acknowledged = new Map<string, number>();

  private readonly pending = new Map<string, { index: number; term: number; node: string }>();

  private readonly leaders = new Map<number, string>();

  private readonly votes = new Map<string, string>();

  private proposals = 0;

  private wiped = 0;

  problem = '';

  /** Whether the faults are over, so that writes no longer crash. */
  private isHealing = false;

  constructor(
    readonly seed: number,
    private readonly options: Options,
  ) {
    this.source = shared.random.seeded(seed);
    const ids = Array.from({ length: options.voters }, (_v, i) => `n${i}`);
    const members = ids.map((id): messages.Member => {
      return { id, address: id, dataCentre: `dc${id}`, role: 'voter' };
    });
    ids.forEach((id) => {
      const empty = messages.emptyDurable();
      this.addNode(id, { ...empty, snapshot: { ...empty.snapshot, members } });
    });
    for (let i = 0; i < options.spares; i++) this.addNode(`s${i}`, messages.emptyDurable());
  }

  run(): Finding | undefined {
    for (let i = 0; i < this.options.steps && this.problem === ''; i++) this.step();
    return this.problem === '' ? undefined : { seed: this.seed, problem: this.problem };
  }

  /** Ends all faults; afterwards all live replicas must agree and accept a new command. */
  heal(ms: number): void {
    this.isHealing = true;
    this.isolated.clear();
    this.nodes.forEach((node) => this.start(node));
    this.advance(ms);
  }

  /** Advances time without new faults; partitions stay. */
  advance(ms: number): void {
    for (let t = 0; t < ms && this.problem === ''; t += 10) {
      this.now += 10;
      this.tickAll();
      this.deliverDue(0);
      this.checkLeases();
    }
  }

  /** The schedule's own time; a node's clock is off by its skew. */
  get clock(): number {
    return this.now;
  }

  /** The clock of one node. */
  clockOf(id: string): number {
    return this.nowAt(this.nodes.get(id) as Node);
  }

  leader(): Node | undefined {
    return [...this.nodes.values()].find((node) =>
      node.replica?.hasQuorumContact(this.nowAt(node)),
    );
  }

  propose(): string {
    const node = this.leader();
    this.proposals += 1;
    const command = `c${this.proposals}`;
    if (node?.replica === undefined) return '';
    const { positions, effects } = node.replica.propose([command], this.nowAt(node));
    const position = positions[0];
    if (position !== undefined) this.pending.set(command, { ...position, node: node.id });
    this.applyEffects(node, effects);
    return position === undefined ? '' : command;
  }

  /** Removes a VM and its disk for good. */
  destroy(id: string): void {
    const node = this.nodes.get(id);
    if (node !== undefined) {
      node.replica = undefined;
      this.byAddress.delete(node.address);
    }
    this.nodes.delete(id);
  }

  /** Empties the disk of a VM, which restarts as a new replica; returns the id of that. */
  wipe(id: string): string {
    const { address } = this.nodes.get(id) as Node;
    this.destroy(id);
    this.wiped += 1;
    const successor = `s${address}.${this.wiped}`;
    this.addNode(successor, messages.emptyDurable(), address);
    return successor;
  }

  /** Advances time with the leader's repair. */
  advanceWithRepair(ms: number, size: number, deadAfterMs: number): void {
    for (let t = 0; t < ms && this.problem === ''; t += REPAIR_INTERVAL_MS) {
      this.repairStep(size, deadAfterMs);
      this.advance(REPAIR_INTERVAL_MS);
    }
  }

  /** One check of the leader's repair; spares are the nodes in no replica set. */
  repairStep(size: number, deadAfterMs: number): repair.RepairStep | undefined {
    const node = this.leader();
    const leader = node?.replica;
    if (node === undefined || leader === undefined) return undefined;
    const now = this.nowAt(node);
    const health = leader.members
      .filter(({ id }) => id !== node.id)
      .map(({ id }) => ({
        id,
        silentFor: leader.silentFor(id, now),
        caughtUp: leader.isCaughtUp(id),
      }));
    const spares = [...this.nodes.values()]
      .filter(({ id }) => id.startsWith('s'))
      .map(({ id, address }) => ({ id, address, dataCentre: `dc${id}`, silentFor: 0 }));
    const { members } = leader;
    const step = repair.nextStep({ members, health, spares, size, deadAfterMs });
    if (step === undefined) return undefined;
    const { refusal, effects } = leader.changeMembers(step.members, now);
    this.applyEffects(node, effects);
    return refusal === undefined ? step : undefined;
  }

  isolate(id: string): void {
    this.isolated.add(id);
  }

  /** Silently cuts the link between two nodes; both still reach the others. */
  cutLink(a: string, b: string): void {
    this.cutLinks.add([a, b].sort().join());
  }

  /** Restarts a process at once with its disk. */
  restart(id: string): void {
    const node = this.nodes.get(id) as Node;
    this.crash(node);
    this.start(node);
  }

  private addNode(id: string, durable: messages.DurableState, address = id): void {
    const skew = Math.floor(this.source.uniform() * 1_000);
    const disk = { durable };
    const node: Node = { id, address, disk, replica: undefined, applied: new Map(), skew };
    this.nodes.set(id, node);
    this.byAddress.set(address, node);
    this.start(node);
  }

  /**
   * All nodes crash and messages in flight are lost; the `first` ones start at once, the others
   * later.
   */
  restartStaggered(first: number, laterMs: number): void {
    const nodes = [...this.nodes.values()];
    nodes.forEach((node) => this.crash(node));
    this.inFlight = [];
    nodes.slice(0, first).forEach((node) => this.start(node));
    this.advance(laterMs);
    nodes.forEach((node) => this.start(node));
  }

  private start(node: Node): void {
    if (node.replica !== undefined) return;
    const random = shared.random.seeded(Math.floor(this.source.uniform() * 2 ** 31));
    const timing = this.options.timing ?? replica.DEFAULT_TIMING;
    node.replica = new replica.Replica(
      node.id,
      structuredClone(node.disk.durable),
      timing,
      random,
      this.nowAt(node),
    );
    node.applied = new Map();
  }

  private nowAt(node: Node): number {
    return this.now + node.skew;
  }

  /** Two leases at the same time would let two leaders answer reads as fresh. */
  private checkLeases(): void {
    const holders = [...this.nodes.values()].filter((node) => {
      return node.replica?.hasLease(this.nowAt(node));
    });
    if (holders.length > 1) this.problem = `two leases: ${holders.map(({ id }) => id).join()}`;
  }

  private step(): void {
    this.checkLeases();
    this.now += Math.floor(this.source.uniform() * 40);
    const choice = this.source.uniform();
    if (choice < 0.015) this.toggleIsolation();
    else if (choice < 0.025) this.crash(this.pickNode());
    else if (choice < 0.065) this.start(this.pickNode());
    else if (choice < 0.15) this.propose();
    else if (choice < 0.16) this.compact(this.pickNode());
    else if (choice < 0.175) this.duplicate();
    else if (choice < 0.5) this.deliverDue(this.options.loss);
    else this.tickAll();
  }

  private pickNode(): Node {
    return shared.random.pick(this.source, [...this.nodes.values()]);
  }

  private toggleIsolation(): void {
    const { id } = this.pickNode();
    if (!this.isolated.delete(id)) this.isolated.add(id);
  }

  /** Restarts all replicas at the same moment. */
  restartAll(): void {
    this.nodes.forEach((node) => this.crash(node));
    this.nodes.forEach((node) => this.start(node));
  }

  private crash(node: Node): void {
    node.replica = undefined;
  }

  private duplicate(): void {
    if (this.inFlight.length > 0)
      this.inFlight.push(shared.random.pick(this.source, this.inFlight));
  }

  private compact(node: Node): void {
    if (node.replica === undefined) return;
    const { commit } = node.replica;
    this.applyEffects(node, node.replica.compact(commit, [...node.applied]));
  }

  private tickAll(): void {
    this.nodes.forEach((node) => {
      if (node.replica !== undefined) {
        this.applyEffects(node, node.replica.tick(this.nowAt(node)));
      }
    });
  }

  private deliverDue(loss: number): void {
    const due = this.inFlight.filter(({ at }) => at <= this.now);
    this.inFlight = this.inFlight.filter(({ at }) => at > this.now);
    due.forEach(({ from, to, address, message }) => {
      const node = this.byAddress.get(address);
      const isLinked = !this.cutLinks.has([from, to].sort().join());
      const isSameSide = this.isolated.has(from) === this.isolated.has(to);
      const isLost = !isLinked || !isSameSide || this.source.uniform() < loss;
      if (isLost || node?.replica === undefined) return;
      const received = structuredClone(message);
      this.applyEffects(node, node.replica.receive(received, this.nowAt(node), to));
    });
  }

  private applyEffects(node: Node, effects: messages.Effects): void {
    if (effects.persist.length > 0) {
      // A crash during a write: either the whole batch is on disk or none of it, and nothing was
      // sent.
      const crash = !this.isHealing && this.source.uniform() < this.options.crash;
      const synced = !crash || this.source.uniform() < 0.5;
      if (synced) {
        // A snapshot rewrites the journal from the replica's state, as the daemon does.
        const rewrite = effects.persist.some(({ kind }) => kind === 'snapshot');
        const durable = rewrite ? node.replica?.durable : undefined;
        node.disk.durable =
          durable === undefined
            ? effects.persist.reduce(applyRecord, node.disk.durable)
            : structuredClone(durable);
        this.checkVote(node);
      }
      if (crash) {
        this.crash(node);
        return;
      }
    }
    const { replica: running } = node;
    effects.send.forEach(({ to, message }) => {
      const jitter = this.source.uniform() * LATENCY_MS * 4;
      const at = this.now + LATENCY_MS + jitter;
      const address = this.addressOf(to, running);
      this.inFlight.push({ from: node.id, to, address, message: structuredClone(message), at });
    });
    if (effects.install !== undefined) {
      node.applied = new Map(effects.install.state as [number, unknown][]);
    }
    effects.apply.forEach((entry) => this.apply(node, entry));
    if (running?.state === 'leader') this.checkLeader(node, running.term);
  }

  /** The address of a replica as its peers know it, also when another one runs there. */
  private addressOf(id: string, sender: replica.Replica | undefined): string {
    const known = this.nodes.get(id)?.address;
    return known ?? sender?.members.find((each) => each.id === id)?.address ?? id;
  }

  private checkVote({ id, disk }: Node): void {
    const { term, votedFor } = disk.durable.vote;
    if (votedFor === '') return;
    const key = `${id}/${term}`;
    const earlier = this.votes.get(key);
    if (earlier !== undefined && earlier !== votedFor) {
      this.problem = `${id} voted for ${earlier} and ${votedFor} in term ${term}`;
    }
    this.votes.set(key, votedFor);
  }

  private checkLeader({ id }: Node, term: number): void {
    const earlier = this.leaders.get(term);
    if (earlier !== undefined && earlier !== id) {
      this.problem = `${earlier} and ${id} both lead term ${term}`;
    }
    this.leaders.set(term, id);
  }

  private apply(node: Node, entry: messages.Entry): void {
    const value = JSON.stringify(entry);
    const first = this.committed.get(entry.index);
    if (first === undefined) this.committed.set(entry.index, value);
    else if (first !== value) {
      this.problem = `index ${entry.index}: ${first} was committed, ${node.id} applies ${value}`;
    }
    if (entry.kind !== 'command') return;
    node.applied.set(entry.index, entry.command);
    const command = String(entry.command);
    const pending = this.pending.get(command);
    if (pending?.node === node.id && pending.term === entry.term) {
      this.acknowledged.set(command, entry.index);
    }
  }
}
