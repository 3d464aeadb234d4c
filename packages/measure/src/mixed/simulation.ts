/**
 * An experiment with a virtual clock: the daemons' dispatchers and the engine model, exactly as they
 * run in processes, joined by network delays, lagged reports and peers' summaries. A fixed seed gives
 * the same result every time, so policies can be compared on the same work.
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
  /** One-way delay between daemon and engine, in milliseconds. */
  networkMs: number;
  /** Period of the peers' summaries, in milliseconds. */
  summaryMs: number;
  /** One daemon places for all, a hop of so many milliseconds away; undefined: each for itself. */
  allocatorHopMs: number | undefined;
  /** Whether dispatchers see the engines' true state at every moment. */
  clairvoyant: boolean;
  /** Part of each engine that an older system uses, unseen but for load reports. */
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

const { REPORT_EVERY } = standins.engineModel;

/** Requests of the older system: medium prompts in a steady stream. */
const LEGACY_PROMPT_TOKENS = 4_000;

const LEGACY_ANSWER_TOKENS = 100;

/** The dispatcher that places for all. */
const ALLOCATOR_INDEX = 0;

const POLL_MS = 5;

/** Time after the last arrival during which requests may still finish, in milliseconds. */
const DRAIN_MS = 300_000;

/** Pause after memory could not be gathered, in milliseconds. */
const RETRY_MS = 250;

const DEADLINE_MS = 600_000;

export class Simulation {
  private readonly events = new eventQueue.EventQueue();

  private readonly engines = new Map<string, Engine>();

  private readonly dispatchers: Dispatcher[] = [];

  private readonly arrivals = new Map<string, workload.Arrival>();

  private readonly owners = new Map<string, number>();

  /** Memory that other engines lend to a long prompt. */
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

  /** Mean share of time in which engines were stepping. */
  utilisation(seconds: number): number {
    return this.busyMs / (seconds * 1_000 * this.engines.size);
  }

  run(work: readonly workload.Arrival[]): ServedRequest[] {
    work.forEach((arrival) => {
      this.arrivals.set(arrival.id, arrival);
      this.events.at(arrival.at + this.allocatorHopMs, () => this.enqueue(arrival));
    });
    const end = (work.at(-1)?.at ?? 0) + DRAIN_MS;
    if (this.options.legacyShare > 0) this.scheduleLegacyJob(0, work.at(-1)?.at ?? 0);
    this.everyMs(POLL_MS, end, () => this.pollQueues());
    this.everyMs(this.options.summaryMs, end, () => this.exchangeSummaries());
    while (this.events.size > 0 && this.served.length + this.refused < work.length) {
      this.events.next();
    }
    return this.served;
  }

  private get now(): number {
    return this.events.now;
  }

  private makeDispatcher(index: number): Dispatcher {
    const { hash, dispatcher: options } = this.options;
    const policy = this.options.policy(domain.shared.random.seeded(this.options.seed + index));
    const made = new domain.routing.dispatcher.Dispatcher('dc-1', hash, policy, options);
    made.setPosition(index, this.options.daemons);
    const { memoryTokens } = this.options.parameters;
    made.setTargets(
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
    return made;
  }

  private everyMs(period: number, end: number, action: () => void): void {
    const tick = (): void => {
      action();
      if (this.now < end) this.events.at(this.now + period, tick);
    };
    this.events.at(period, tick);
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
    const primary = Math.floor(memoryTokens * domain.routing.dispatcher.PRIMARY_SHARE);
    const remoteTokens = Math.max(0, promptTokens + answerTokens - primary);
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
    const gathered = job.remoteTokens === 0 || this.reserveRemoteMemory(engine, job);
    if (gathered && !(needsRoom && !engine.model.hasRoom(job))) {
      engine.model.submit(job, this.now);
      this.step(engine);
      return;
    }
    if (gathered) this.releaseRemoteMemory(job.id);
    const report = { ...engine.model.trueLoad(this.now), measuredAt: this.now };
    const wait = gathered ? this.options.networkMs + this.allocatorHopMs : RETRY_MS;
    this.events.at(this.now + wait, () => {
      this.dispatchers[index].refused(job.id, report, this.now);
      this.poll(index);
    });
  }

  /** Reserves memory on other engines for a prompt that one can't hold: all of it or none. */
  private reserveRemoteMemory({ name }: Engine, job: standins.engineModel.Job): boolean {
    const others = [...this.engines.values()].filter((other) => other.name !== name);
    const free = (other: Engine): number => other.model.trueLoad(this.now).freeTokens;
    const most = this.options.parameters.memoryTokens * domain.memory.gathering.HELPER_SHARE;
    const parts: { engine: Engine; tokens: number }[] = [];
    let missing = job.remoteTokens;
    others
      .sort((a, b) => free(b) - free(a))
      .forEach((engine) => {
        const tokens = Math.min(missing, most, free(engine));
        if (tokens <= 0 || !engine.model.reserve(tokens)) return;
        parts.push({ engine, tokens });
        missing -= tokens;
      });
    this.remoteReservations.set(job.id, parts);
    if (missing <= 0) return true;
    this.releaseRemoteMemory(job.id);
    return false;
  }

  private releaseRemoteMemory(id: string): void {
    this.remoteReservations
      .get(id)
      ?.forEach(({ engine, tokens }) => engine.model.unreserve(tokens));
    this.remoteReservations.delete(id);
  }

  private step(engine: Engine): void {
    if (engine.model.stepping) return;
    const duration = engine.model.begin();
    if (duration === undefined) return;
    this.busyMs += duration;
    this.events.at(this.now + duration, () => {
      engine.model.finish(this.now).forEach((token) => this.emit(engine, token));
      this.step(engine);
    });
  }

  private emit(engine: Engine, token: standins.engineModel.Token): void {
    const owner = this.owners.get(token.id);
    if (owner === undefined) return;
    if (token.last) this.releaseRemoteMemory(token.id);
    // An allocator hears of loads only with first and last tokens.
    const every = this.options.allocatorHopMs === undefined ? REPORT_EVERY : Infinity;
    const reports = token.position % every === 0 || token.last;
    if (!reports) return;
    const { loadLagMs } = this.options.parameters;
    const load = engine.model.load(this.now);
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

  /** The entry passes the first token on at once; only the allocator hears of it a hop later. */
  private recordFirstToken(id: string): void {
    const { at, promptTokens, organisation } = this.arrivals.get(id) as workload.Arrival;
    const ttftMs = this.now + this.options.networkMs - at;
    this.served.push({ promptTokens, ttftMs, organisation });
  }

  /** What gossip carries between daemons: medium and long work, and demand. */
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
        const told = { short: 0, medium: sum('medium'), long: sum('long') };
        dispatcher.peersReported(name, told, this.now);
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

  /** The clairvoyant dispatcher knows every daemon's outstanding work at this moment. */
  private reportTrueState(dispatcher: Dispatcher): void {
    const others = this.dispatchers.filter((other) => other !== dispatcher);
    const all = others.map((other) => other.outstanding());
    this.engines.forEach(({ name, model }) => {
      const sum = (band: domain.routing.band.Band): number =>
        all.reduce((total, outstanding) => total + (outstanding.get(name)?.[band] ?? 0), 0);
      const told = { short: sum('short'), medium: sum('medium'), long: sum('long') };
      dispatcher.peersReported(name, told, this.now);
      const load = model.trueLoad(this.now);
      dispatcher.reported(name, { ...load, measuredAt: this.now });
    });
  }

  private scheduleLegacyJob(at: number, end: number): void {
    const { tokenMs } = this.options.parameters;
    const workMs = LEGACY_PROMPT_TOKENS * tokenMs;
    const gap = workMs / (this.options.legacyShare * this.engines.size);
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
        this.scheduleLegacyJob(at + domain.shared.random.exponential(this.random, gap), end);
    });
  }
}
