/**
 * Simulation with a virtual clock: the daemons' dispatchers and the stand-in's engine model, as they run in real
 * processes, connected by network delays, delayed load reports and summaries between daemons. A fixed seed gives the
 * same result every time, so that policies can be compared on the same arrivals.
 */
import * as domain from '@celerydrift/domain';
import * as standins from '@celerydrift/standins';
import * as eventQueue from './eventQueue';
import type * as workload from './workload';

type Parameters = standins.parameters.Parameters;
type Policy = domain.routing.policy.Policy;
type Dispatcher = domain.routing.dispatcher.Dispatcher;

export interface Options {
  engines: number;
  daemons: number;
  parameters: Parameters;
  policy: (source: domain.shared.random.Random) => Policy;
  dispatcher: domain.routing.dispatcher.Options;
  /** One-way delay between a daemon and an engine, milliseconds. */
  networkMs: number;
  /** Interval between summaries of the daemons, milliseconds. */
  summaryMs: number;
  /** One-way delay to the daemon that places all requests, milliseconds; undefined if each daemon places its own. */
  allocatorHopMs: number | undefined;
  /** Whether dispatchers always see the true state of the engines. */
  clairvoyant: boolean;
  /** Fraction of each engine that a legacy system uses; dispatchers see its work in load reports only. */
  legacyShare: number;
  hash: domain.shared.hashing.Hash;
  seed: number;
}

export interface ServedRequest {
  promptTokens: number;
  ttftMs: number;
  organisation: string;
}

interface Engine {
  name: string;
  model: standins.engineModel.EngineModel;
}

const MODEL: domain.target.target.Loaded = { base: 'base', adapter: '', version: '1' };

const { LOAD_REPORT_INTERVAL_TOKENS } = standins.engineModel;

/** The legacy system sends medium prompts at a steady rate. */
const LEGACY_PROMPT_TOKENS = 4_000;

const LEGACY_ANSWER_TOKENS = 100;

/** Index of the dispatcher that places all requests if there is an allocator. */
const ALLOCATOR_INDEX = 0;

const POLL_MS = 5;

/** Time after the last arrival in which requests may still finish, milliseconds. */
const DRAIN_MS = 300_000;

/** Delay of a retry after memory could not be reserved on other engines, milliseconds. */
const RETRY_MS = 250;

const DEADLINE_MS = 600_000;

export class Simulation {
  private readonly events = new eventQueue.EventQueue();

  private readonly engines = new Map<string, Engine>();

  private readonly dispatchers: Dispatcher[] = [];

  private readonly arrivals = new Map<string, workload.Arrival>();

  private readonly owners = new Map<string, number>();

  /** Memory reserved on other engines for long prompts, by request. */
  private readonly remoteReservations = new Map<string, { engine: Engine; tokens: number }[]>();

  private readonly random: domain.shared.random.Random;

  readonly served: ServedRequest[] = [];

  refused = 0;

  private legacyJobs = 0;

  private busyMs = 0;

  constructor(private readonly options: Options) {
    this.random = domain.shared.random.seeded(options.seed);
    for (let i = 0; i < options.engines; i++) {
      const name = `engine-${String(i).padStart(3, '0')}`;
      const model = new standins.engineModel.EngineModel(options.parameters);
      this.engines.set(name, { name, model });
    }
    for (let i = 0; i < options.daemons; i++) this.dispatchers.push(this.makeDispatcher(i));
  }

  /** Mean fraction of the time in which engines ran steps. */
  utilisation(seconds: number): number {
    return this.busyMs / (seconds * 1_000 * this.engines.size);
  }

  run(arrivals: readonly workload.Arrival[]): ServedRequest[] {
    arrivals.forEach((arrival) => {
      this.arrivals.set(arrival.id, arrival);
      this.events.at(arrival.at + this.allocatorHopMs, () => this.enqueue(arrival));
    });
    const end = (arrivals.at(-1)?.at ?? 0) + DRAIN_MS;
    if (this.options.legacyShare > 0) this.scheduleLegacyJob(0, arrivals.at(-1)?.at ?? 0);
    this.everyMs(POLL_MS, end, () => this.pollQueues());
    this.everyMs(this.options.summaryMs, end, () => this.exchangeSummaries());
    while (this.events.size > 0 && this.served.length + this.refused < arrivals.length) {
      this.events.next();
    }
    return this.served;
  }

  private get now(): number {
    return this.events.now;
  }

  private makeDispatcher(index: number): Dispatcher {
    const { hash, dispatcher: dispatcherOptions } = this.options;
    const policy = this.options.policy(domain.shared.random.seeded(this.options.seed + index));
    const dispatcher = new domain.routing.dispatcher.Dispatcher(
      'dc-1',
      hash,
      policy,
      dispatcherOptions,
    );
    dispatcher.setPosition(index, this.options.daemons);
    const { memoryTokens } = this.options.parameters;
    dispatcher.setTargets(
      [...this.engines.keys()].map((name) => ({
        name,
        incarnation: 1,
        sequence: 1,
        kind: 'engine',
        address: name,
        dataCentre: 'dc-1',
        status: 'serving',
        fencing: 'checked',
        service: '',
        models: [MODEL],
        memoryTokens,
        load: { queuedTokens: 0, streams: 0, freeTokens: memoryTokens },
      })),
    );
    return dispatcher;
  }

  private everyMs(intervalMs: number, end: number, action: () => void): void {
    const tick = (): void => {
      action();
      if (this.now < end) this.events.at(this.now + intervalMs, tick);
    };
    this.events.at(intervalMs, tick);
  }

  private get allocatorHopMs(): number {
    return this.options.allocatorHopMs ?? 0;
  }

  private enqueue(arrival: workload.Arrival): void {
    const index = this.options.allocatorHopMs === undefined ? arrival.daemon : ALLOCATOR_INDEX;
    const dispatcher = this.dispatchers[index];
    const refusal = dispatcher.enqueue(
      {
        id: arrival.id,
        organisation: arrival.organisation,
        share: 1,
        priority: 'normal',
        model: MODEL,
        promptTokens: arrival.promptTokens,
        answerTokens: arrival.answerTokens,
        prefixKeys: arrival.prefixKeys,
        enqueuedAt: this.now,
        deadline: this.now + DEADLINE_MS,
        excluded: new Set(),
      },
      this.now,
    );
    if (refusal === undefined) this.poll(index);
    else this.refused += 1;
  }

  private pollQueues(): void {
    this.dispatchers.forEach((dispatcher, index) => {
      if (dispatcher.queueLength > 0) this.poll(index);
    });
  }

  private poll(index: number): void {
    const dispatcher = this.dispatchers[index];
    if (this.options.clairvoyant) this.reportTrueState(dispatcher);
    dispatcher.poll(this.now).forEach((dispatch) => this.dispatch(index, dispatch));
  }

  private dispatch(index: number, dispatch: domain.routing.dispatcher.Dispatch): void {
    const { id } = dispatch.request;
    this.owners.set(id, index);
    const { promptTokens, answerTokens, prefixKeys } = this.arrivals.get(id) as workload.Arrival;
    const { memoryTokens } = this.options.parameters;
    const localTokens = Math.floor(
      memoryTokens * domain.routing.dispatcher.MAX_PRIMARY_MEMORY_FRACTION,
    );
    const remoteTokens = Math.max(0, promptTokens + answerTokens - localTokens);
    const priority = dispatch.enginePriority;
    const job = { id, promptTokens, answerTokens, priority, prefixKeys, remoteTokens };
    const engine = this.engines.get(dispatch.target.name) as Engine;
    this.events.at(this.now + this.allocatorHopMs + this.options.networkMs, () => {
      this.submit(index, engine, job, dispatch.needsRoom);
    });
  }

  private submit(
    index: number,
    engine: Engine,
    job: standins.engineModel.Job,
    needsRoom: boolean,
  ): void {
    const isReserved = job.remoteTokens === 0 || this.reserveRemoteMemory(engine, job);
    if (isReserved && !(needsRoom && !engine.model.hasMemoryFor(job))) {
      engine.model.submit(job, this.now);
      this.step(engine);
      return;
    }
    if (isReserved) this.releaseRemoteMemory(job.id);
    const report = { ...engine.model.currentLoad(this.now), measuredAt: this.now };
    const delayMs = isReserved ? this.options.networkMs + this.allocatorHopMs : RETRY_MS;
    this.events.at(this.now + delayMs, () => {
      this.dispatchers[index].refused(job.id, report, this.now);
      this.poll(index);
    });
  }

  /** Reserves memory on other engines for a prompt that exceeds one engine's: all of it or none. */
  private reserveRemoteMemory({ name }: Engine, job: standins.engineModel.Job): boolean {
    const others = [...this.engines.values()].filter((other) => other.name !== name);
    const freeTokens = (other: Engine): number => other.model.currentLoad(this.now).freeTokens;
    const maxPerEngine =
      this.options.parameters.memoryTokens * domain.memory.gathering.HELPER_SHARE;
    const reservations: { engine: Engine; tokens: number }[] = [];
    let missing = job.remoteTokens;
    others
      .sort((a, b) => freeTokens(b) - freeTokens(a))
      .forEach((engine) => {
        const tokens = Math.min(missing, maxPerEngine, freeTokens(engine));
        if (tokens <= 0 || !engine.model.reserve(tokens)) return;
        reservations.push({ engine, tokens });
        missing -= tokens;
      });
    this.remoteReservations.set(job.id, reservations);
    if (missing <= 0) return true;
    this.releaseRemoteMemory(job.id);
    return false;
  }

  private releaseRemoteMemory(id: string): void {
    this.remoteReservations
      .get(id)
      ?.forEach(({ engine, tokens }) => engine.model.releaseReserved(tokens));
    this.remoteReservations.delete(id);
  }

  private step(engine: Engine): void {
    if (engine.model.isStepping) return;
    const durationMs = engine.model.beginStep();
    if (durationMs === undefined) return;
    this.busyMs += durationMs;
    this.events.at(this.now + durationMs, () => {
      engine.model.finishStep(this.now).forEach((token) => this.emit(engine, token));
      this.step(engine);
    });
  }

  private emit(engine: Engine, token: standins.engineModel.Token): void {
    const owner = this.owners.get(token.id);
    if (owner === undefined) return;
    if (token.last) this.releaseRemoteMemory(token.id);
    // An allocator receives loads only with first and last tokens.
    const reportEvery =
      this.options.allocatorHopMs === undefined ? LOAD_REPORT_INTERVAL_TOKENS : Infinity;
    const isReported = token.position % reportEvery === 0 || token.last;
    if (!isReported) return;
    const { loadLagMs } = this.options.parameters;
    const load = engine.model.reportedLoad(this.now);
    const measuredAt = this.now - loadLagMs;
    if (token.position === 0) this.recordFirstToken(token.id);
    this.events.at(this.now + this.options.networkMs + this.allocatorHopMs, () => {
      const dispatcher = this.dispatchers[owner];
      if (token.position === 0) dispatcher.firstToken(token.id, this.now);
      if (token.last) dispatcher.ended(token.id, this.now);
      dispatcher.reported(engine.name, { ...load, measuredAt });
      this.poll(owner);
    });
  }

  /** The entry forwards the first token at once; only the allocator is notified a hop later. */
  private recordFirstToken(id: string): void {
    const { at, promptTokens, organisation } = this.arrivals.get(id) as workload.Arrival;
    const ttftMs = this.now + this.options.networkMs - at;
    this.served.push({ promptTokens, ttftMs, organisation });
  }

  /** Sends what daemons exchange by gossip: outstanding medium and long work, and demand. */
  private exchangeSummaries(): void {
    const summaries = this.dispatchers.map((dispatcher) => ({
      outstanding: dispatcher.outstanding(),
      demand: dispatcher.ownDemand(this.now),
    }));
    this.dispatchers.forEach((dispatcher, self) => {
      const others = summaries.filter((_summary, index) => index !== self);
      this.engines.forEach(({ name }) => {
        const sum = (band: domain.routing.band.Band): number =>
          others.reduce((all, { outstanding }) => all + (outstanding.get(name)?.[band] ?? 0), 0);
        const reported = { short: 0, medium: sum('medium'), long: sum('long') };
        dispatcher.setPeersOutstanding(name, reported, this.now);
      });
      const demand = (band: domain.routing.band.Band): number =>
        others.reduce((all, other) => all + other.demand[band], 0);
      dispatcher.setPeerDemand({
        short: demand('short'),
        medium: demand('medium'),
        long: demand('long'),
      });
    });
  }

  /** Gives a clairvoyant dispatcher every daemon's current outstanding work and every engine's true load. */
  private reportTrueState(dispatcher: Dispatcher): void {
    const others = this.dispatchers.filter((other) => other !== dispatcher);
    const outstandingOfOthers = others.map((other) => other.outstanding());
    this.engines.forEach(({ name, model }) => {
      const sum = (band: domain.routing.band.Band): number =>
        outstandingOfOthers.reduce(
          (total, outstanding) => total + (outstanding.get(name)?.[band] ?? 0),
          0,
        );
      const reported = { short: sum('short'), medium: sum('medium'), long: sum('long') };
      dispatcher.setPeersOutstanding(name, reported, this.now);
      const load = model.currentLoad(this.now);
      dispatcher.reported(name, { ...load, measuredAt: this.now });
    });
  }

  private scheduleLegacyJob(at: number, end: number): void {
    const { tokenMs } = this.options.parameters;
    const workMs = LEGACY_PROMPT_TOKENS * tokenMs;
    const meanGapMs = workMs / (this.options.legacyShare * this.engines.size);
    this.events.at(at, () => {
      this.legacyJobs += 1;
      const engine = domain.shared.random.pick(this.random, [...this.engines.values()]);
      const job: standins.engineModel.Job = {
        id: `older-${this.legacyJobs}`,
        promptTokens: LEGACY_PROMPT_TOKENS,
        answerTokens: LEGACY_ANSWER_TOKENS,
        priority: 1,
        prefixKeys: [],
        remoteTokens: 0,
      };
      engine.model.submit(job, this.now);
      this.step(engine);
      if (at < end)
        this.scheduleLegacyJob(at + domain.shared.random.exponential(this.random, meanGapMs), end);
    });
  }
}
