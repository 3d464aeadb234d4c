/**
 * Runs a workload in virtual time against the production allocator, wait queue and admission, with simulated engines. A
 * seed gives the same requests whatever mechanism is switched off, so that results can be compared in pairs.
 */
import { contentionPolicy, placer } from '@celerydrift/daemon';
import * as domain from '@celerydrift/domain';
import * as eventQueue from '../mixed/eventQueue';
import * as engines from './engine';
import type * as workloads from './workloads';

type Placement = domain.allocation.allocator.Placement;

/** The result of one request. */
export interface Outcome {
  kind: workloads.RequestKind;
  /** Seconds since the start of the workload. */
  arrivedAt: number;
  result: 'inTime' | 'late' | 'refused' | 'lost';
  firstMs: number;
  predictedMs: number;
  /** Refusals before the result. */
  refusals: number;
}

export interface Options {
  workload: workloads.Workload;
  seed: number;
  weights: domain.allocation.weights.Weights;
  /** Policy of the wait queue; `arrival` by default. */
  mode?: contentionPolicy.Mode;
  /** Whether callers leave at their time limit, and return once after a refusal, as callers of a fleet do. */
  callersReturn?: boolean;
}

interface Request {
  id: string;
  kind: workloads.RequestKind;
  tokens: number;
  events: number;
  at: number;
  attempt: number;
  refusals: number;
  firstAt: number;
  lastAt: number;
  longestGapMs: number;
  predictedMs: number;
  isFinished: boolean;
}

const SERVICE = 'engines';

/** An engine sends one event for each pass, with a token for each of its steps. */
const EVENT_TOKENS = 51;

/** One-way network delay between an entry and the leader or a target, milliseconds. */
const HOP_MS = 1.5;

/** The part of a caller's timeout that a request may spend waiting for placement. */
const PLACEMENT_WAIT_SHARE = 0.3;

/** Time without events after which an entry detects an unresponsive engine, milliseconds. */
const DETECTION_MS = 900;

const MAX_ATTEMPTS = 2;

/** Most of the time that it has left for which a refused caller waits before it returns. */
const MAX_RETURN_SHARE = 1 / 3;

const ENTRY = 'entry';

export class AllocationSimulation {
  readonly outcomes: Outcome[] = [];

  private readonly events = new eventQueue.EventQueue();

  private readonly random: domain.shared.random.Random;

  private readonly allocator: domain.allocation.allocator.Allocator;

  private readonly placer: placer.Placer;

  private readonly engines = new Map<string, engines.Engine>();

  private requestCount = 0;

  constructor(private readonly options: Options) {
    const { workload, seed, weights } = options;
    this.random = domain.shared.random.independent(seed);
    this.allocator = new domain.allocation.allocator.Allocator(undefined, weights);
    this.allocator.setServices([
      { name: SERVICE, healthPath: '/', maxConnections: 1_000, engine: workload.engine },
    ]);
    for (let i = 0; i < workload.engines; i++) this.addEngine(`t${i}`);
    this.placer = new placer.Placer({
      allocator: this.allocator,
      clock: {
        now: () => this.events.now,
        after: (ms, action) => this.events.at(this.events.now + ms, action),
      },
      random: domain.shared.random.independent(seed + 1),
      onRefused: () => undefined,
      mode: options.mode,
    });
    this.placer.open();
  }

  run(): Outcome[] {
    const { workload } = this.options;
    workload.kinds.forEach((kind) => this.scheduleArrivals(kind));
    workload.faults.forEach((fault) => this.scheduleFault(fault));
    while (this.events.size > 0) this.events.next();
    return this.outcomes;
  }

  private addEngine(id: string): void {
    const { engine } = this.options.workload;
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

  /** Schedules a Poisson process at the peak rate, thinned to the rate at each time. */
  private scheduleArrivals(kind: workloads.RequestKind): void {
    const { workload } = this.options;
    const bursts = workload.bursts.filter(
      (burst) => burst.kind === 'all' || burst.kind === kind.name,
    );
    const peakRate = kind.perSecond * Math.max(1, ...bursts.map(({ rateFactor }) => rateFactor));
    const rateAt = (second: number): number => {
      const active = bursts.filter(
        ({ fromSecond, toSecond }) => second >= fromSecond && second < toSecond,
      );
      return kind.perSecond * active.reduce((factor, burst) => factor * burst.rateFactor, 1);
    };
    let second = 0;
    for (;;) {
      second += domain.shared.random.exponential(this.random, 1 / peakRate);
      if (second >= workload.seconds) return;
      const request = this.drawRequest(kind, second * 1_000);
      if (this.random.uniform() * peakRate < rateAt(second)) {
        this.events.at(request.at + HOP_MS, () => this.requestPlacement(request));
      }
    }
  }

  private drawRequest(kind: workloads.RequestKind, at: number): Request {
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
      refusals: 0,
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

  private scheduleFault({ kind, engines: count, fromSecond, toSecond }: workloads.Fault): void {
    [...this.engines.values()].slice(0, count).forEach((engine) => {
      this.events.at(fromSecond * 1_000, () => {
        if (kind === 'unresponsive') engine.isUnresponsive = true;
        else engine.slowdown = 4;
      });
      this.events.at(toSecond * 1_000, () => {
        if (kind === 'unresponsive') engine.restart();
        else engine.slowdown = 1;
      });
    });
  }

  private requestPlacement(request: Request): void {
    const { kind, tokens, events, at } = request;
    const callerTimeoutMs = callerTimeoutOf(kind);
    const leavesInMs =
      request.firstAt > 0 ? callerTimeoutMs : at + callerTimeoutMs - this.events.now;
    this.placer.placeWithCallback(
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
        patienceMs: PLACEMENT_WAIT_SHARE * callerTimeoutMs,
        organisation: kind.organisation,
        urgency: kind.urgency,
        ...(this.options.mode === 'adaptive' && { content: request.id, leavesInMs }),
      },
      (result) => {
        if (result.kind === 'placed') this.dispatch(request, result.placement);
        else if (result.kind === 'noPlace') this.returnLater(request, result.retryAfterMs);
        else this.finish(request, 'refused');
      },
    );
  }

  /** Lets a caller that was refused once return; a second refusal is final. */
  private returnLater(request: Request, retryAfterMs: number): void {
    const leftMs = request.at + callerTimeoutOf(request.kind) - this.events.now;
    request.refusals += 1;
    const mayReturn = this.options.callersReturn === true && request.attempt === 0;
    if (!mayReturn || request.refusals > 1 || leftMs <= 0) {
      this.finish(request, 'refused');
      return;
    }
    const delayMs = Math.min(retryAfterMs, MAX_RETURN_SHARE * leftMs);
    this.events.at(this.events.now + delayMs, () => this.requestPlacement(request));
  }

  private dispatch(request: Request, { target, helpers, firstTokenMs }: Placement): void {
    if (request.attempt === 0) request.predictedMs = this.events.now - request.at + firstTokenMs;
    request.attempt += 1;
    const id = `${request.id}/${request.attempt - 1}`;
    const targets = [target, ...helpers.map((helper) => helper.target)];
    let remaining = targets.length;
    const onPrefilled = (): void => {
      remaining -= 1;
      if (remaining === 0) this.startDecoding(request, id, target, targets.length);
    };
    targets.forEach((each) => {
      this.engines.get(each)?.prefill(id, request.tokens, targets.length, onPrefilled);
    });
    this.watchEngines(request, id, targets);
  }

  private startDecoding(request: Request, id: string, target: string, parts: number): void {
    this.receiveEvent(request, id, request.events <= 1);
    if (request.isFinished) return;
    this.engines.get(target)?.decode({
      request: id,
      remainingEvents: request.events - 1,
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
    const { kind, firstAt, at, longestGapMs } = request;
    const isInTime = firstAt - at <= kind.objectiveMs && longestGapMs <= kind.pauseMs;
    const hasLeft = this.options.callersReturn === true && firstAt - at > callerTimeoutOf(kind);
    const served = isInTime ? 'inTime' : 'late';
    this.finish(request, hasLeft ? 'lost' : served);
  }

  /** Retries a request elsewhere, up to `MAX_ATTEMPTS`, once one of its engines has become unresponsive. */
  private watchEngines(request: Request, id: string, targets: readonly string[]): void {
    this.events.at(this.events.now + DETECTION_MS, () => {
      if (request.isFinished || !id.endsWith(`/${request.attempt - 1}`)) return;
      const faulty = targets.find((target) => this.engines.get(target)?.isUnresponsive === true);
      if (faulty === undefined) {
        this.watchEngines(request, id, targets);
        return;
      }
      targets.forEach((target) => this.engines.get(target)?.cancel(id));
      this.release(id, 'broken', faulty);
      if (request.attempt < MAX_ATTEMPTS) this.requestPlacement(request);
      else this.finish(request, 'lost');
    });
  }

  private release(id: string, outcome: 'done' | 'broken', faulty?: string): void {
    this.allocator.endDispatch(id, outcome, this.events.now, { faulty });
    this.placer.scheduleServing();
  }

  private finish(request: Request, result: Outcome['result']): void {
    request.isFinished = true;
    const { kind, at, firstAt, predictedMs, refusals } = request;
    const [arrivedAt, firstMs] = [at / 1_000, firstAt - at];
    this.outcomes.push({ kind, arrivedAt, result, firstMs, predictedMs, refusals });
  }
}

/** Time without an event after which the caller leaves, in milliseconds. */
function callerTimeoutOf({ objectiveMs, pauseMs }: workloads.RequestKind): number {
  return Math.max(2_000, 4 * objectiveMs, 8 * pauseMs);
}
