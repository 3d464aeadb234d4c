/**
 * The dispatcher in the daemon: feeds it targets, reports, peers' work and circuits, and hands a
 * waiting request its target when there is one.
 */
import * as domain from '@celerydrift/domain';
import type * as observer from '../observability/observer';
import type * as news from '../membership/news';
import type * as adapter from '../targets/adapter';

type Target = domain.target.target.Target;
type Dispatch = domain.routing.dispatcher.Dispatch;

export interface Options {
  dataCentre: string;
  hash: domain.shared.hashing.Hash;
  policy: domain.routing.policy.Policy;
  adapter: adapter.Adapter;
  observer: observer.Observer;
  now: () => number;
}

/** Why a waiting request leaves the queue without a target. */
export type Ended = 'withdrawn' | 'deadline';

type Waiter = (result: Dispatch | Ended) => void;

const POLL_EVERY_MS = 5;

const CIRCUITS_EVERY_MS = 100;

const CACHE_EVERY_MS = 2_000;

export class Router {
  readonly dispatcher: domain.routing.dispatcher.Dispatcher;

  private readonly circuits = new Map<string, domain.request.circuit.Circuit>();

  private readonly waiters = new Map<string, Waiter>();

  private readonly peers = new Map<string, news.Work>();

  private engines: Target[] = [];

  private readonly sequences = new Map<string, number>();

  private timers: NodeJS.Timeout[] = [];

  private pollTimer: NodeJS.Timeout | undefined;

  constructor(private readonly options: Options) {
    const { dataCentre, hash, policy } = options;
    this.dispatcher = new domain.routing.dispatcher.Dispatcher(dataCentre, hash, policy);
  }

  start(): void {
    this.timers = [
      setInterval(() => this.tickCircuits(), CIRCUITS_EVERY_MS),
      setInterval(() => this.readCaches(), CACHE_EVERY_MS),
    ];
  }

  stop(): void {
    this.timers.forEach((timer) => clearInterval(timer));
    clearTimeout(this.pollTimer);
  }

  /** Sets the engines of the cell that may get work: serving, and under no planned stop. */
  setEngines(engines: readonly Target[]): void {
    this.engines = [...engines];
    this.dispatcher.setTargets(this.engines);
    this.poll();
  }

  /** Puts a request in the queue; resolves when it may go. */
  async acquire(
    request: domain.routing.dispatcher.Request,
  ): Promise<Dispatch | Ended | domain.routing.dispatcher.Refusal> {
    const refusal = this.dispatcher.enqueue(request, this.options.now());
    if (refusal !== undefined) return refusal;
    return new Promise((resolve) => {
      this.waiters.set(request.id, resolve);
      this.poll();
    });
  }

  /** The engine had no room; the request waits again, and this resolves to its next target. */
  async refused(id: string, load: adapter.AgedLoad): Promise<Dispatch | Ended> {
    const now = this.options.now();
    const { ageMs, ...report } = load;
    return new Promise((resolve) => {
      this.waiters.set(id, resolve);
      this.dispatcher.refused(id, { ...report, measuredAt: now - ageMs }, now);
      this.poll();
    });
  }

  /** Where this daemon stands among the live ones. */
  setPosition(index: number, count: number): void {
    this.dispatcher.setPosition(index, count);
  }

  withdraw(id: string): void {
    if (this.dispatcher.withdraw(id)) this.wake(id, 'withdrawn');
  }

  firstToken(id: string): void {
    this.dispatcher.firstToken(id, this.options.now());
    this.poll();
  }

  ended(id: string): void {
    this.dispatcher.ended(id, this.options.now());
    this.poll();
  }

  load(target: string, load: adapter.AgedLoad): void {
    const now = this.options.now();
    const { ageMs, ...report } = load;
    this.dispatcher.reported(target, { ...report, measuredAt: now - ageMs });
  }

  succeeded(target: string): void {
    const circuit = this.circuit(target);
    const wasOpen = circuit.state !== 'closed';
    circuit.succeeded();
    if (wasOpen) this.options.observer.log('circuitClosed', { target });
    this.dispatcher.setBroken(target, false);
  }

  failed(target: string): void {
    const circuit = this.circuit(target);
    const before = circuit.state;
    circuit.failed(this.options.now());
    if (circuit.state !== 'open') return;
    if (before !== 'open') this.options.observer.log('circuitOpened', { target });
    this.dispatcher.setBroken(target, true);
  }

  freeTokens(target: string): number {
    return this.dispatcher.freeTokens(target, this.options.now());
  }

  brokenTargets(): string[] {
    return [...this.circuits.keys()].filter((target) => this.isBroken(target));
  }

  isBroken(target: string): boolean {
    return this.circuit(target).state === 'open';
  }

  /** A peer's word of its own work. */
  peerWork(work: news.Work): void {
    this.peers.set(work.daemon, work);
    this.applyPeers();
  }

  forgetPeer(daemon: string): void {
    if (this.peers.delete(daemon)) this.applyPeers();
  }

  /** Demand of all peers for an organisation, in tokens per second. */
  peerDemand(organisation: string): number {
    return [...this.peers.values()].reduce(
      (sum, { organisations }) => sum + (organisations[organisation] ?? 0),
      0,
    );
  }

  /** Own work for the peers: only what load reports show too late. */
  ownWork(): Pick<news.Work, 'outstanding' | 'demand'> {
    const { quantised } = domain.target.target;
    const outstanding: news.Work['outstanding'] = {};
    this.dispatcher.outstanding().forEach(({ medium, long }, name) => {
      if (medium + long === 0) return;
      outstanding[name] = { short: 0, medium: quantised(medium), long: quantised(long) };
    });
    const demand = this.dispatcher.ownDemand(this.options.now());
    const rounded = (ms: number): number => quantised(ms * 1_000) / 1_000;
    return {
      outstanding,
      demand: {
        short: rounded(demand.short),
        medium: rounded(demand.medium),
        long: rounded(demand.long),
      },
    };
  }

  private tickCircuits(): void {
    const now = this.options.now();
    this.circuits.forEach((circuit, target) => {
      if (!circuit.tick(now)) return;
      this.dispatcher.setBroken(target, false);
      this.poll();
    });
  }

  /** Looks again soon, as long as something waits; an idle daemon does nothing. */
  private pollLater(): void {
    if (this.pollTimer !== undefined || this.dispatcher.queueLength === 0) return;
    this.pollTimer = setTimeout(() => {
      this.pollTimer = undefined;
      const late = this.dispatcher.expire(this.options.now());
      late.forEach(({ id }) => this.wake(id, 'deadline'));
      this.poll();
    }, POLL_EVERY_MS);
  }

  private poll(): void {
    this.dispatcher.poll(this.options.now()).forEach((dispatch) => {
      this.wake(dispatch.request.id, dispatch);
    });
    this.pollLater();
  }

  private wake(id: string, result: Dispatch | Ended): void {
    const waiter = this.waiters.get(id);
    this.waiters.delete(id);
    waiter?.(result);
  }

  private circuit(target: string): domain.request.circuit.Circuit {
    const known = this.circuits.get(target);
    if (known !== undefined) return known;
    const made = new domain.request.circuit.Circuit();
    this.circuits.set(target, made);
    return made;
  }

  private applyPeers(): void {
    const now = this.options.now();
    const works = [...this.peers.values()];
    const sum = (read: (work: news.Work) => number): number =>
      works.reduce((total, work) => total + read(work), 0);
    this.engines.forEach(({ name }) => {
      const part = (band: domain.routing.band.Band): number =>
        sum(({ outstanding }) => outstanding[name]?.[band] ?? 0);
      const outstanding = { short: part('short'), medium: part('medium'), long: part('long') };
      this.dispatcher.peersReported(name, outstanding, now);
    });
    this.dispatcher.setPeerDemand({
      short: sum(({ demand }) => demand.short),
      medium: sum(({ demand }) => demand.medium),
      long: sum(({ demand }) => demand.long),
    });
  }

  private readCaches(): void {
    this.engines.forEach((target) => {
      void this.readCache(target);
    });
  }

  /** Cache events with gaps; a gap is answered by asking for everything. */
  private async readCache(target: Target): Promise<void> {
    const { prefixes } = this.dispatcher;
    const since = this.sequences.get(target.name) ?? -1;
    const listing = await this.options.adapter.cache(target, since);
    if (listing.err) return;
    const { sequence, keys, events = [] } = listing.val;
    if (keys !== undefined) prefixes.resync(target.name, keys, sequence);
    const findings = events.map((event) => prefixes.event(target.name, event));
    const gap = findings.includes('gap') || sequence < since;
    this.sequences.set(target.name, gap ? -1 : sequence);
  }
}
