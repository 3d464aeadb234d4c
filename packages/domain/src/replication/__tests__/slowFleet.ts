/**
 * A seeded simulation of replicas on overloaded VMs: each batch of inputs, disk sync and message takes a while, as in the
 * host of a log, which sends the messages of a batch after its sync. Nothing is lost, so all replicas are in touch.
 */
import * as shared from '../../shared';
import * as messages from '../messages';
import * as replica from '../replica';

export interface Node {
  id: string;
  replica: replica.Replica;
  inputs: ((now: number) => messages.Effects)[];
  isBusy: boolean;
  hasTick: boolean;
}

export interface Options {
  replicas: number;
  timing: replica.Timing;
  tickMs: number;
}

/** Shortest batch, sync or message, and the longest on a VM that isn't overloaded, in milliseconds. */
const SHORTEST_MS = 1;
const LONGEST_MS = 5;

export class SlowFleet {
  readonly nodes: Node[];

  now = 1_000;

  /** Longest batch, sync or message in milliseconds. */
  longestMs = LONGEST_MS;

  /** The node that led each term; a second one would be a fault. */
  readonly leaders = new Map<number, string>();

  problem = '';

  private readonly source: shared.random.Random;

  private readonly events: { at: number; order: number; run: () => void }[] = [];

  private scheduled = 0;

  constructor(
    seed: number,
    private readonly options: Options,
  ) {
    this.source = shared.random.seeded(seed);
    const members = Array.from({ length: options.replicas }, (_each, i): messages.Member => {
      return { id: `n${i}`, address: `n${i}`, dataCentre: `dc${i}`, role: 'voter' };
    });
    const empty = messages.emptyDurable();
    const durable = { ...empty, snapshot: { ...empty.snapshot, members } };
    this.nodes = members.map(({ id }) => this.makeNode(id, durable));
    this.nodes.forEach((node) => this.scheduleTick(node, this.source.uniform() * options.tickMs));
  }

  /** The node that leads and has committed in its term. */
  get leader(): Node | undefined {
    return this.nodes.find((node) => node.replica.isConfirmedSince(-Infinity));
  }

  /** Advances time until an event finds the condition true; returns how long that took, or `ms`. */
  advanceUntil(condition: () => boolean, ms: number): number {
    const start = this.now;
    while (!condition()) {
      const event = this.takeNext();
      if (event.at > start + ms) {
        this.schedule(event.at, event.run);
        this.now = start + ms;
        return ms;
      }
      this.now = event.at;
      event.run();
    }
    return this.now - start;
  }

  advance(ms: number): void {
    this.advanceUntil(() => false, ms);
  }

  /** Restarts a process with its disk after `ms`; its messages in between are lost. */
  restart(node: Node, ms: number): void {
    const { durable } = node.replica;
    const restarted = this.makeNode(node.id, structuredClone(durable));
    this.nodes[this.nodes.indexOf(node)] = restarted;
    restarted.isBusy = true;
    this.schedule(this.now + ms, () => {
      const { timing } = this.options;
      restarted.inputs = [];
      const random = shared.random.seeded(Math.floor(this.source.uniform() * 2 ** 31));
      restarted.replica = new replica.Replica(node.id, durable, timing, random, this.now);
      restarted.isBusy = false;
      this.scheduleTick(restarted, 0);
    });
  }

  private makeNode(id: string, durable: messages.DurableState): Node {
    const random = shared.random.seeded(Math.floor(this.source.uniform() * 2 ** 31));
    const { timing } = this.options;
    const running = new replica.Replica(id, structuredClone(durable), timing, random, this.now);
    return { id, replica: running, inputs: [], isBusy: false, hasTick: false };
  }

  private schedule(at: number, run: () => void): void {
    this.scheduled += 1;
    this.events.push({ at, order: this.scheduled, run });
  }

  private takeNext(): { at: number; run: () => void } {
    let first = 0;
    this.events.forEach(({ at, order }, i) => {
      const best = this.events[first];
      if (at < best.at || (at === best.at && order < best.order)) first = i;
    });
    return this.events.splice(first, 1)[0];
  }

  private delay(): number {
    return SHORTEST_MS + this.source.uniform() * this.longestMs;
  }

  private isRunning(node: Node): boolean {
    return this.nodes.includes(node);
  }

  private scheduleTick(node: Node, inMs: number): void {
    this.schedule(this.now + inMs, () => {
      if (!this.isRunning(node)) return;
      // A timer that is late fires once.
      if (!node.hasTick) {
        node.hasTick = true;
        this.enqueue(node, (now) => {
          node.hasTick = false;
          return node.replica.tick(now);
        });
      }
      this.scheduleTick(node, this.options.tickMs);
    });
  }

  private enqueue(node: Node, input: (now: number) => messages.Effects): void {
    node.inputs.push(input);
    if (!node.isBusy) this.processBatch(node);
  }

  private processBatch(node: Node): void {
    node.isBusy = true;
    this.schedule(this.now + this.delay(), () => {
      if (!this.isRunning(node)) return;
      const effects = node.inputs.splice(0).map((input) => input(this.now));
      const isSynced = effects.some(({ persist }) => persist.length > 0);
      this.checkLeader(node);
      this.schedule(this.now + (isSynced ? this.delay() : 0), () => {
        if (!this.isRunning(node)) return;
        effects.forEach(({ send }) => send.forEach((each) => this.send(each)));
        node.isBusy = false;
        if (node.inputs.length > 0) this.processBatch(node);
      });
    });
  }

  private send({ to, message }: messages.Effects['send'][number]): void {
    const received = structuredClone(message);
    this.schedule(this.now + this.delay(), () => {
      const node = this.nodes.find(({ id }) => id === to);
      if (node !== undefined) this.enqueue(node, (now) => node.replica.receive(received, now, to));
    });
  }

  private checkLeader({ id, replica: { state, term } }: Node): void {
    if (state !== 'leader') return;
    const earlier = this.leaders.get(term);
    if (earlier !== undefined && earlier !== id) this.problem = `two leaders in term ${term}`;
    this.leaders.set(term, id);
  }
}
