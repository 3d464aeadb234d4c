/**
 * Connects the dispatcher to the daemon: passes it targets, load reports, peer workloads and circuit
 * states, and resolves each waiting request once a target is chosen for it.
 */
import * as domain from '@celerydrift/domain';
import * as background from '../background';
import type * as observer from '../observability/observer';
import type * as gossipRecords from '../membership/gossipRecords';
import type * as adapter from '../targets/adapter';
import type * as agedLoad from '../targets/agedLoad';

type Target = domain.target.target.Target;
type Dispatch = domain.routing.dispatcher.Dispatch;

export interface Options {
  dataCentre: string;
  hash: domain.shared.hashing.Hash;
  policy: domain.routing.policy.Policy;
  adapter: adapter.EngineAdapter;
  observer: observer.Observer;
  now: () => number;
}

/** Why a request left the queue without a target. */
export type DequeueReason = 'withdrawn' | 'deadline';

type Waiter = (result: Dispatch | DequeueReason) => void;

const POLL_INTERVAL_MS = 5;

const CIRCUIT_TICK_INTERVAL_MS = 100;

const CACHE_POLL_INTERVAL_MS = 2_000;

export class Router {
  readonly dispatcher: domain.routing.dispatcher.Dispatcher;

  private readonly circuits = new Map<string, domain.request.circuit.Circuit>();

  private readonly waiters = new Map<string, Waiter>();

  private readonly peerWorkloads = new Map<string, gossipRecords.Workload>();

  private engines: Target[] = [];

  private readonly cacheSequences = new Map<string, number>();

  private timers: NodeJS.Timeout[] = [];

  private pollTimer: NodeJS.Timeout | undefined;

  constructor(private readonly options: Options) {
    const { dataCentre, hash, policy } = options;
    this.dispatcher = new domain.routing.dispatcher.Dispatcher(dataCentre, hash, policy);
  }

  start(): void {
    this.timers = [
      setInterval(() => this.tickCircuits(), CIRCUIT_TICK_INTERVAL_MS),
      setInterval(() => this.pollCaches(), CACHE_POLL_INTERVAL_MS),
    ];
  }

  stop(): void {
    this.timers.forEach((timer) => clearInterval(timer));
    clearTimeout(this.pollTimer);
  }

  /** Sets the engines of the cell that accept new work: serving, and not covered by a planned stop. */
  setEngines(engines: readonly Target[]): void {
    this.engines = [...engines];
    this.dispatcher.setTargets(this.engines);
    this.poll();
  }

  /** Engines that serve a model of this one and whose circuits aren't open. */
  alternatives(target: Target): Target[] {
    return this.engines.filter((engine) => {
      if (engine.name === target.name || this.isCircuitOpen(engine.name)) return false;
      return target.models.some((model) => domain.target.target.serves(engine, model));
    });
  }

  /** Queues a request; resolves once it is dispatched, withdrawn or expired, or at once if it is refused. */
  async acquire(
    request: domain.routing.dispatcher.Request,
  ): Promise<Dispatch | DequeueReason | domain.routing.dispatcher.Refusal> {
    const refusal = this.dispatcher.enqueue(request, this.options.now());
    if (refusal !== undefined) return refusal;
    return new Promise((resolve) => {
      this.waiters.set(request.id, resolve);
      this.poll();
    });
  }

  /** Queues a request that an engine refused for lack of memory again; resolves to its next target. */
  async requeue(id: string, load: agedLoad.AgedLoad): Promise<Dispatch | DequeueReason> {
    const now = this.options.now();
    const { ageMs, ...report } = load;
    return new Promise((resolve) => {
      this.waiters.set(id, resolve);
      this.dispatcher.refused(id, { ...report, measuredAt: now - ageMs }, now);
      this.poll();
    });
  }

  /** Sets this daemon's index among the live daemons. */
  setPosition(index: number, count: number): void {
    this.dispatcher.setPosition(index, count);
  }

  withdraw(id: string): void {
    if (this.dispatcher.withdraw(id)) this.resolveWaiter(id, 'withdrawn');
  }

  firstToken(id: string): void {
    this.dispatcher.firstToken(id, this.options.now());
    this.poll();
  }

  finished(id: string): void {
    this.dispatcher.ended(id, this.options.now());
    this.poll();
  }

  reportLoad(target: string, load: agedLoad.AgedLoad): void {
    const now = this.options.now();
    const { ageMs, ...report } = load;
    this.dispatcher.reported(target, { ...report, measuredAt: now - ageMs });
  }

  succeeded(target: string): void {
    const circuit = this.circuit(target);
    const wasOpen = circuit.state !== 'closed';
    circuit.succeeded();
    if (wasOpen) this.options.observer.log('circuitClosed', { target });
    this.dispatcher.setCircuitOpen(target, false);
  }

  failed(target: string): void {
    const circuit = this.circuit(target);
    const formerState = circuit.state;
    circuit.failed(this.options.now());
    if (circuit.state !== 'open') return;
    if (formerState !== 'open') this.options.observer.log('circuitOpened', { target });
    this.dispatcher.setCircuitOpen(target, true);
  }

  freeTokens(target: string): number {
    return this.dispatcher.freeTokens(target, this.options.now());
  }

  openCircuitTargets(): string[] {
    return [...this.circuits.keys()].filter((target) => this.isCircuitOpen(target));
  }

  isCircuitOpen(target: string): boolean {
    return this.circuit(target).state === 'open';
  }

  /** Applies a peer's workload report. */
  updatePeerWorkload(workload: gossipRecords.Workload): void {
    this.peerWorkloads.set(workload.daemon, workload);
    this.applyPeerWorkloads();
  }

  forgetPeer(daemon: string): void {
    if (this.peerWorkloads.delete(daemon)) this.applyPeerWorkloads();
  }

  /** Demand of all peers for an organisation, in tokens per second. */
  peerDemand(organisation: string): number {
    return [...this.peerWorkloads.values()].reduce(
      (sum, { organisations }) => sum + (organisations[organisation] ?? 0),
      0,
    );
  }

  /** Own workload for the peers; short requests are omitted since the engines' load reports cover them in time. */
  ownWorkload(): Pick<gossipRecords.Workload, 'outstanding' | 'demand'> {
    const { quantised } = domain.target.target;
    const outstanding: gossipRecords.Workload['outstanding'] = {};
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
      this.dispatcher.setCircuitOpen(target, false);
      this.poll();
    });
  }

  /** Schedules the next poll while requests wait; an idle daemon runs no timer. */
  private schedulePoll(): void {
    if (this.pollTimer !== undefined || this.dispatcher.queueLength === 0) return;
    this.pollTimer = setTimeout(() => {
      this.pollTimer = undefined;
      const expired = this.dispatcher.expire(this.options.now());
      expired.forEach(({ id }) => this.resolveWaiter(id, 'deadline'));
      this.poll();
    }, POLL_INTERVAL_MS);
  }

  private poll(): void {
    this.dispatcher.poll(this.options.now()).forEach((dispatch) => {
      this.resolveWaiter(dispatch.request.id, dispatch);
    });
    this.schedulePoll();
  }

  private resolveWaiter(id: string, result: Dispatch | DequeueReason): void {
    const waiter = this.waiters.get(id);
    this.waiters.delete(id);
    waiter?.(result);
  }

  private circuit(target: string): domain.request.circuit.Circuit {
    const existing = this.circuits.get(target);
    if (existing !== undefined) return existing;
    const created = new domain.request.circuit.Circuit();
    this.circuits.set(target, created);
    return created;
  }

  private applyPeerWorkloads(): void {
    const now = this.options.now();
    const workloads = [...this.peerWorkloads.values()];
    const sum = (select: (work: gossipRecords.Workload) => number): number =>
      workloads.reduce((total, work) => total + select(work), 0);
    this.engines.forEach(({ name }) => {
      const tokensIn = (band: domain.routing.band.Band): number =>
        sum(({ outstanding }) => outstanding[name]?.[band] ?? 0);
      const outstanding = {
        short: tokensIn('short'),
        medium: tokensIn('medium'),
        long: tokensIn('long'),
      };
      this.dispatcher.setPeersOutstanding(name, outstanding, now);
    });
    this.dispatcher.setPeerDemand({
      short: sum(({ demand }) => demand.short),
      medium: sum(({ demand }) => demand.medium),
      long: sum(({ demand }) => demand.long),
    });
  }

  private pollCaches(): void {
    this.engines.forEach((target) => {
      background.run(this.pollCache(target), this.options.observer, { target: target.name });
    });
  }

  /** Applies an engine's cache events; after a gap in their sequence the next poll requests the full listing. */
  private async pollCache(target: Target): Promise<void> {
    const { prefixes } = this.dispatcher;
    const since = this.cacheSequences.get(target.name) ?? -1;
    const response = await this.options.adapter.cache(target, since);
    if (response.err) return;
    const { sequence, keys, events = [] } = response.val;
    if (keys !== undefined) prefixes.resync(target.name, keys, sequence);
    const findings = events.map((event) => prefixes.applyEvent(target.name, event));
    const hasGap = findings.includes('gap') || sequence < since;
    this.cacheSequences.set(target.name, hasGap ? -1 : sequence);
  }
}
