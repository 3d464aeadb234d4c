/**
 * Plays a load in virtual time: the product's allocator, waiting and refusing, before engines that compute as the users
 * publish it. A seed gives the same requests whatever is switched off, so that mechanisms are compared pair by pair.
 */
import { placing } from '@celerydrift/daemon';
import * as domain from '@celerydrift/domain';
import * as eventQueue from '../mixed/eventQueue';
import * as engines from './engine';
import type * as loads from './workloads';

type Placement = domain.allocation.allocator.Placement;

/** What came of one request. */
export interface Outcome {
  kind: loads.RequestKind;
  /** Seconds. */
  arrivedAt: number;
  result: 'inTime' | 'late' | 'refused' | 'lost';
  firstMs: number;
  predictedMs: number;
}

export interface Options {
  load: loads.Workload;
  seed: number;
  weights: domain.allocation.weights.Weights;
}

interface Request {
  id: string;
  kind: loads.RequestKind;
  tokens: number;
  events: number;
  at: number;
  attempt: number;
  firstAt: number;
  lastAt: number;
  longestGapMs: number;
  predictedMs: number;
  isFinished: boolean;
}

const SERVICE = 'engines';

/** Tokens of an event: the steps of a pass. */
const EVENT_TOKENS = 51;

/** An entry asks the leader and the target over the network; one way, milliseconds. */
const HOP_MS = 1.5;

/** Part of the time after which callers leave that a request may wait for a place. */
const PLACEMENT_WAIT_SHARE = 0.3;

/** A dark engine is noticed after its streams were silent for so long, milliseconds. */
const DETECTION_MS = 900;

const MAX_ATTEMPTS = 2;

const ENTRY = 'entry';

export class AllocationSimulation {
  readonly outcomes: Outcome[] = [];

  private readonly events = new eventQueue.EventQueue();

  private readonly random: domain.shared.random.Random;

  private readonly allocator: domain.allocation.allocator.Allocator;

  private readonly placer: placing.Placing;

  private readonly engines = new Map<string, engines.Engine>();

  private requestCount = 0;

  constructor(private readonly options: Options) {
    const { load, seed, weights } = options;
    this.random = domain.shared.random.independent(seed);
    this.allocator = new domain.allocation.allocator.Allocator(undefined, weights);
    this.allocator.setServices([
      { name: SERVICE, healthPath: '/', maxConnections: 1_000, engine: load.engine },
    ]);
    for (let i = 0; i < load.engines; i++) this.addEngine(`t${i}`);
    this.placer = new placing.Placing({
      allocator: this.allocator,
      clock: {
        now: () => this.events.now,
        after: (ms, action) => this.events.at(this.events.now + ms, action),
      },
      random: domain.shared.random.independent(seed + 1),
      onRefused: () => undefined,
    });
    this.placer.open();
  }

  run(): Outcome[] {
    const { load } = this.options;
    load.kinds.forEach((kind) => this.scheduleArrivals(kind));
    load.faults.forEach((trouble) => this.scheduleFault(trouble));
    while (this.events.size > 0) this.events.next();
    return this.outcomes;
  }

  private addEngine(id: string): void {
    const { engine } = this.options.load;
    this.engines.set(id, new engines.Engine(engine, this.events));
    this.allocator.observe({
      id,
      bornAt: 0,
      service: SERVICE,
      address: id,
      dataCentre: '',
      slots: engine.slots,
      state: 'ready',
      sequence: 1,
    });
  }

  /** A Poisson stream, thinned to the rate of the moment. */
  private scheduleArrivals(kind: loads.RequestKind): void {
    const { load } = this.options;
    const rates = load.bursts.filter((burst) => burst.kind === 'all' || burst.kind === kind.name);
    const most = kind.perSecond * Math.max(1, ...rates.map(({ rateFactor: times }) => times));
    const rateAt = (second: number): number => {
      const now = rates.filter(
        ({ fromSecond, toSecond }) => second >= fromSecond && second < toSecond,
      );
      return kind.perSecond * now.reduce((times, burst) => times * burst.rateFactor, 1);
    };
    let second = 0;
    for (;;) {
      second += domain.shared.random.exponential(this.random, 1 / most);
      if (second >= load.seconds) return;
      const request = this.drawRequest(kind, second * 1_000);
      if (this.random.uniform() * most < rateAt(second)) {
        this.events.at(request.at + HOP_MS, () => this.requestPlacement(request));
      }
    }
  }

  private drawRequest(kind: loads.RequestKind, at: number): Request {
    this.requestCount += 1;
    const tokens = kind.tokens * Math.exp(kind.spread * this.drawNormal() - kind.spread ** 2 / 2);
    const events = 1 + Math.floor(domain.shared.random.exponential(this.random, kind.events - 1));
    return {
      id: `r${this.requestCount}`,
      kind,
      tokens: Math.min(kind.maxTokens, Math.max(100, Math.round(tokens))),
      events: Math.min(events, 3 * kind.events),
      at,
      attempt: 0,
      firstAt: 0,
      lastAt: 0,
      longestGapMs: 0,
      predictedMs: 0,
      isFinished: false,
    };
  }

  private drawNormal(): number {
    const radius = Math.sqrt(-2 * Math.log(1 - this.random.uniform()));
    return radius * Math.cos(2 * Math.PI * this.random.uniform());
  }

  private scheduleFault({ kind: what, engines: count, fromSecond, toSecond }: loads.Fault): void {
    [...this.engines.values()].slice(0, count).forEach((engine) => {
      this.events.at(fromSecond * 1_000, () => {
        if (what === 'dark') engine.isUnresponsive = true;
        else engine.slowdown = 4;
      });
      this.events.at(toSecond * 1_000, () => {
        if (what === 'dark') engine.restart();
        else engine.slowdown = 1;
      });
    });
  }

  private requestPlacement(request: Request): void {
    const { kind, tokens, events, at } = request;
    const giveUpMs = Math.max(2_000, 4 * kind.objectiveMs, 8 * kind.pauseMs);
    this.placer.ask(
      {
        id: `${request.id}/${request.attempt}`,
        entry: ENTRY,
        service: SERVICE,
        tokens,
        answerTokens: events * EVENT_TOKENS,
        objectiveMs: kind.objectiveMs,
        pauseMs: kind.pauseMs,
        waitedMs: request.firstAt > 0 ? 0 : Math.min(kind.objectiveMs, this.events.now - at),
        dataCentre: '',
        excluded: [],
        patienceMs: PLACEMENT_WAIT_SHARE * giveUpMs,
      },
      (answer) => {
        if (answer.kind === 'placed') this.dispatch(request, answer.placement);
        else this.finish(request, 'refused');
      },
    );
  }

  private dispatch(request: Request, { target, helpers, firstTokenMs }: Placement): void {
    if (request.attempt === 0) request.predictedMs = this.events.now - request.at + firstTokenMs;
    request.attempt += 1;
    const id = `${request.id}/${request.attempt - 1}`;
    const names = [target, ...helpers.map((each) => each.target)];
    let left = names.length;
    const onRead = (): void => {
      left -= 1;
      if (left === 0) this.startDecoding(request, id, target, names.length);
    };
    names.forEach((name) => {
      this.engines.get(name)?.prefill(id, request.tokens, names.length, onRead);
    });
    this.watchEngines(request, id, names);
  }

  private startDecoding(request: Request, id: string, target: string, parts: number): void {
    this.receiveEvent(request, id, request.events <= 1);
    if (request.isFinished) return;
    this.engines.get(target)?.decode({
      request: id,
      leftEvents: request.events - 1,
      contextTokens: request.tokens / parts,
      onEvent: (isLast) => this.receiveEvent(request, id, isLast),
    });
  }

  private receiveEvent(request: Request, id: string, isLast: boolean): void {
    const now = this.events.now + HOP_MS;
    if (request.firstAt === 0) request.firstAt = now;
    else request.longestGapMs = Math.max(request.longestGapMs, now - request.lastAt);
    request.lastAt = now;
    if (!isLast) return;
    this.release(id, 'done');
    const { kind, firstAt, at, longestGapMs: longestPauseMs } = request;
    const isInTime = firstAt - at <= kind.objectiveMs && longestPauseMs <= kind.pauseMs;
    this.finish(request, isInTime ? 'inTime' : 'late');
  }

  /** One of its engines is dark: the request goes elsewhere once, as its entry notices. */
  private watchEngines(request: Request, id: string, names: readonly string[]): void {
    this.events.at(this.events.now + DETECTION_MS, () => {
      if (request.isFinished || !id.endsWith(`/${request.attempt - 1}`)) return;
      const dark = names.find((name) => this.engines.get(name)?.isUnresponsive === true);
      if (dark === undefined) {
        this.watchEngines(request, id, names);
        return;
      }
      names.forEach((name) => this.engines.get(name)?.cancel(id));
      this.release(id, 'broken', dark);
      if (request.attempt < MAX_ATTEMPTS) this.requestPlacement(request);
      else this.finish(request, 'lost');
    });
  }

  private release(id: string, ending: 'done' | 'broken', faulty?: string): void {
    this.allocator.ended(id, ending, this.events.now, { faulty });
    this.placer.serveSoon();
  }

  private finish(request: Request, result: Outcome['result']): void {
    request.isFinished = true;
    const { kind, at, firstAt, predictedMs } = request;
    this.outcomes.push({ kind, arrivedAt: at / 1_000, result, firstMs: firstAt - at, predictedMs });
  }
}
