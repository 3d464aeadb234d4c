/**
 * The queue of one daemon and its choice of targets. It keeps an estimate of each target, sizes the
 * bands from demand and dispatches a request when the policy finds a target for it. Each daemon runs
 * its own dispatcher, without a central scheduler; they exchange `outstanding` summaries.
 */
import * as hashing from '../shared/hashing';
import * as document from '../settings/document';
import * as target from '../target/target';
import * as band from './band';
import * as cost from './cost';
import * as demandMeter from './demandMeter';
import * as estimate from './estimate';
import * as fairQueue from './fairQueue';
import * as policy from './policy';
import * as prefixIndex from './prefixIndex';

/** A request as the dispatcher sees it. */
export interface Request {
  id: string;
  organisation: string;
  share: number;
  priority: document.Priority;
  model: target.Loaded;
  /** Estimated prompt and answer tokens. */
  promptTokens: number;
  answerTokens: number;
  prefixKeys: readonly number[];
  enqueuedAt: number;
  /** Milliseconds; after it the request is useless. */
  deadline: number;
  /** Targets on which it was already tried. */
  excluded: ReadonlySet<string>;
}

/** A request that leaves the queue for a target. */
export interface Dispatch {
  request: Request;
  target: target.Target;
  band: band.Band;
  enginePriority: number;
  /** Whether an engine that lacks memory for the request should refuse it instead of queueing it. */
  needsRoom: boolean;
  predictedMs: number;
}

/** Why a request can't be queued. Each reason implies that it was not run. */
export type Refusal = 'queueFull' | 'deadlineInfeasible' | 'noTarget';

export interface Options {
  thresholds: band.Thresholds;
  plan: band.ReservePlan;
  /** Most prompt tokens that may wait in this daemon. */
  queueTokens: number;
  /** Most requests that may wait in this daemon. */
  queueLength: number;
  /** Extra round trip to a target in another data centre, in milliseconds. */
  crossDataCentreMs: number;
}

export const DEFAULT_OPTIONS: Options = {
  thresholds: band.DEFAULT_THRESHOLDS,
  plan: band.DEFAULT_PLAN,
  queueTokens: 40_000_000,
  queueLength: 4_000,
  crossDataCentreMs: 1.5,
};

/** Interval at which the bands are resized, in milliseconds. */
const REPLAN_MS = 1_000;

/**
 * Largest fraction of an engine's memory for one prompt; other engines hold the rest of a longer
 * one. Leaves room for shorter requests on every engine.
 */
export const MAX_PRIMARY_MEMORY_FRACTION = 0.8;

interface QueuedRequest extends Request {
  tokens: number;
  band: band.Band;
}

interface TargetState {
  announced: target.Target;
  targetEstimate: estimate.Estimate;
}

interface Running {
  target: string;
  queued: QueuedRequest;
  /** Its start tag in the fair queue, in case the target refuses it. */
  start: number;
}

export class Dispatcher {
  readonly prefixes = new prefixIndex.PrefixIndex();

  private readonly targets = new Map<string, TargetState>();

  private readonly sharedCost = new cost.SharedCost();

  private readonly openCircuits = new Set<string>();

  private readonly queues: band.PerBand<fairQueue.FairQueue<QueuedRequest>> = {
    short: new fairQueue.FairQueue(),
    medium: new fairQueue.FairQueue(),
    long: new fairQueue.FairQueue(),
  };

  private readonly running = new Map<string, Running>();

  private readonly demand = new demandMeter.DemandMeter();

  private peerDemand: band.Demand = { short: 0, medium: 0, long: 0 };

  private reserveSize: number | undefined;

  private reservedTargets = new Set<string>();

  /**
   * Position of each target on the circle from which daemons derive their preferences, from 0 to 1.
   */
  private preferencePositions = new Map<string, number>();

  private offset = 0;

  private plannedAt = -Infinity;

  constructor(
    private readonly dataCentre: string,
    private readonly hash: hashing.Hash,
    private readonly placer: policy.Policy,
    private readonly options: Options = DEFAULT_OPTIONS,
  ) {}

  /** Sets the targets in use, without draining and gone ones. */
  setTargets(targets: readonly target.Target[]): void {
    const names = new Set(targets.map(({ name }) => name));
    [...this.targets.keys()]
      .filter((name) => !names.has(name))
      .forEach((name) => {
        this.targets.delete(name);
        this.prefixes.forget(name);
      });
    targets.forEach((announced) => this.setTarget(announced));
    this.plannedAt = -Infinity;
  }

  private setTarget(announced: target.Target): void {
    const previous = this.targets.get(announced.name);
    const hasRestarted =
      previous !== undefined && previous.announced.incarnation !== announced.incarnation;
    if (hasRestarted) this.prefixes.forget(announced.name);
    const targetEstimate =
      previous === undefined || hasRestarted
        ? this.newEstimate(announced)
        : previous.targetEstimate;
    this.targets.set(announced.name, { announced, targetEstimate });
  }

  private newEstimate({ memoryTokens }: target.Target): estimate.Estimate {
    return new estimate.Estimate(new cost.Cost(this.sharedCost), memoryTokens);
  }

  /**
   * Sets the index of this daemon among the `count` live ones. Their preferences are spread evenly
   * over the targets, because a daemon learns of the dispatches of others only with a delay.
   */
  setPosition(index: number, count: number): void {
    this.offset = count > 0 ? index / count : 0;
  }

  /** Targets whose circuit is open get nothing until it closes. */
  setCircuitOpen(name: string, isOpen: boolean): void {
    if (isOpen) this.openCircuits.add(name);
    else this.openCircuits.delete(name);
  }

  /** Largest memory of a single target that serves the model. */
  largestMemory(model: target.Loaded): number {
    const serving = [...this.targets.values()].filter(({ announced }) =>
      target.serves(announced, model),
    );
    return Math.max(0, ...serving.map(({ announced }) => announced.memoryTokens));
  }

  /** Estimated free memory on a target, in tokens. */
  freeTokens(name: string, now: number): number {
    return this.targets.get(name)?.targetEstimate.freeTokens(now) ?? 0;
  }

  enqueue(request: Request, now: number): Refusal | undefined {
    const inBand = band.bandOf(request.promptTokens, this.options.thresholds);
    const refusal = this.refusal(request, inBand, now);
    if (refusal !== undefined) return refusal;
    this.queues[inBand].push({ ...request, tokens: request.promptTokens, band: inBand });
    this.countDemand(inBand, request.promptTokens, now);
    return undefined;
  }

  /** Removes a waiting request whose caller left or whose deadline passed; false if not queued. */
  withdraw(id: string): boolean {
    return band.BANDS.some((each) => this.queues[each].remove(id) !== undefined);
  }

  /** Removes and returns waiting requests whose deadline passed; they were certainly not run. */
  expire(now: number): Request[] {
    const expired = band.BANDS.flatMap((each) => this.queues[each].items()).filter(
      ({ deadline }) => deadline <= now,
    );
    expired.forEach(({ id }) => this.withdraw(id));
    return expired;
  }

  /** Dispatches everything that the policy places now. */
  poll(now: number): Dispatch[] {
    this.replan(now);
    return band.BANDS.flatMap((each) => this.drain(each, now));
  }

  firstToken(id: string, now: number): void {
    const running = this.running.get(id);
    if (running !== undefined) this.targets.get(running.target)?.targetEstimate.firstToken(id, now);
  }

  ended(id: string, now: number): void {
    const running = this.running.get(id);
    if (running === undefined) return;
    this.running.delete(id);
    this.targets.get(running.target)?.targetEstimate.ended(id, now);
  }

  /** The target had no room and ran nothing; the request returns to its old place in the queue. */
  refused(id: string, report: estimate.Report, now: number): void {
    const running = this.running.get(id);
    if (running === undefined) return;
    this.ended(id, now);
    this.targets.get(running.target)?.targetEstimate.reported(report);
    this.queues[running.queued.band].putBack(running.queued, running.start);
  }

  reported(name: string, report: estimate.Report): void {
    this.targets.get(name)?.targetEstimate.reported(report);
  }

  setPeersOutstanding(name: string, outstanding: estimate.Outstanding, now: number): void {
    this.targets.get(name)?.targetEstimate.setPeersOutstanding(outstanding, now);
  }

  /** Demand measured by the other daemons, so that all size the bands for the total. */
  setPeerDemand(demand: band.Demand): void {
    this.peerDemand = demand;
  }

  /** Own demand, in engine-milliseconds per millisecond by band. */
  ownDemand(now: number): band.Demand {
    return this.demand.rate(now);
  }

  /** Own outstanding tokens by target, for the peers. */
  outstanding(): Map<string, estimate.Outstanding> {
    return new Map(
      [...this.targets].map(([name, { targetEstimate }]) => [name, targetEstimate.outstanding()]),
    );
  }

  /** Running requests on a target. */
  runningOn(name: string): string[] {
    return [...this.running]
      .filter(([, runningRequest]) => runningRequest.target === name)
      .map(([id]) => id);
  }

  get queueLength(): number {
    return band.BANDS.reduce((sum, each) => sum + this.queues[each].length, 0);
  }

  private refusal(request: Request, inBand: band.Band, now: number): Refusal | undefined {
    const waitingTokens = band.BANDS.reduce((sum, each) => sum + this.queues[each].tokens, 0);
    if (waitingTokens + request.promptTokens > this.options.queueTokens) return 'queueFull';
    if (this.queueLength >= this.options.queueLength) return 'queueFull';
    if (this.serving(request).length === 0) return 'noTarget';
    const candidates = this.candidates(request);
    // All circuits are open: the request waits for the next trial, as long as its deadline allows.
    if (candidates.length === 0) return undefined;
    const soonest = Math.min(
      ...candidates.map(({ estimate: targetEstimate }) =>
        targetEstimate.costs.serviceMs(inBand, request.promptTokens),
      ),
    );
    // Half the estimate, as it is uncertain: refusing a request that could have been served is the
    // worse error.
    return now + soonest / 2 > request.deadline ? 'deadlineInfeasible' : undefined;
  }

  private serving({ model }: Request): TargetState[] {
    return [...this.targets.values()].filter(({ announced }) => target.serves(announced, model));
  }

  /**
   * Targets with a closed circuit that were not tried yet; if all were tried, all of them, as a
   * target that failed once is better than none.
   */
  private candidates(request: Request): policy.Candidate[] {
    const healthy = this.serving(request).filter(
      ({ announced }) => !this.openCircuits.has(announced.name),
    );
    const untried = healthy.filter(({ announced }) => !request.excluded.has(announced.name));
    return (untried.length > 0 ? untried : healthy).map(({ announced, targetEstimate }) => ({
      name: announced.name,
      estimate: targetEstimate,
      distanceMs: announced.dataCentre === this.dataCentre ? 0 : this.options.crossDataCentreMs,
      cachedTokens: this.prefixes.cachedTokens(announced.name, request.prefixKeys),
      reserved: this.reservedTargets.has(announced.name),
      preference: this.preferenceOf(announced.name),
      memoryTokens: announced.memoryTokens,
    }));
  }

  private preferenceOf(name: string): number {
    const position = this.preferencePositions.get(name) ?? 0;
    return (position - this.offset + 1) % 1;
  }

  private drain(inBand: band.Band, now: number): Dispatch[] {
    const dispatches: Dispatch[] = [];
    const queue = this.queues[inBand];
    for (let next = queue.peek(now); next !== undefined; next = queue.peek(now)) {
      const dispatch = this.place(next, now);
      if (dispatch === undefined) break;
      const start = queue.remove(next.id)?.start ?? 0;
      this.running.set(next.id, { target: dispatch.target.name, queued: next, start });
      dispatches.push(dispatch);
    }
    return dispatches;
  }

  private place(waiting: QueuedRequest, now: number): Dispatch | undefined {
    const { id, promptTokens: tokens, answerTokens } = waiting;
    const largest = this.largestMemory(waiting.model);
    // For a longer prompt, the daemon reserves the rest of the memory on further engines before the
    // prompt starts.
    const memoryTokens = Math.min(
      tokens + answerTokens,
      Math.floor(largest * MAX_PRIMARY_MEMORY_FRACTION),
    );
    const job = { id, band: waiting.band, tokens, memoryTokens };
    const placement = this.placer.place(job, this.candidates(waiting), now);
    if (placement === undefined) return undefined;
    const { target: name, enginePriority, needsRoom, predictedMs } = placement;
    const chosen = this.targets.get(name) as TargetState;
    const cached = this.prefixes.cachedTokens(name, waiting.prefixKeys);
    const uncached = Math.max(0, tokens - cached);
    chosen.targetEstimate.dispatched(id, waiting.band, uncached, memoryTokens, now);
    this.prefixes.expectCached(name, waiting.prefixKeys);
    const { announced } = chosen;
    const { band: inBand } = waiting;
    return {
      request: waiting,
      target: announced,
      band: inBand,
      enginePriority,
      needsRoom,
      predictedMs,
    };
  }

  private countDemand(inBand: band.Band, tokens: number, now: number): void {
    const states = [...this.targets.values()];
    const total = states.reduce(
      (sum, { targetEstimate }) => sum + targetEstimate.costs.serviceMs(inBand, tokens),
      0,
    );
    this.demand.count(inBand, total / Math.max(1, states.length), now);
  }

  private replan(now: number): void {
    if (now - this.plannedAt < REPLAN_MS) return;
    this.plannedAt = now;
    const own = this.ownDemand(now);
    const peers = this.peerDemand;
    const demand = {
      short: own.short + peers.short,
      medium: own.medium + peers.medium,
      long: own.long + peers.long,
    };
    const names = [...this.targets.keys()];
    const othersWait = this.queues.medium.length + this.queues.long.length > 0;
    this.reserveSize = band.reserveSize(
      names.length,
      demand,
      othersWait,
      this.reserveSize,
      this.options.plan,
    );
    // All daemons rank the names identically, so they agree on the reserve without communicating,
    // except for targets near its boundary while their views of demand differ.
    const ranked = hashing.rendezvous(this.hash, 'reserve', names);
    const reserved = ranked.slice(0, this.reserveSize);
    const unreserved = ranked.slice(this.reserveSize);
    this.reservedTargets = new Set(reserved);
    this.preferencePositions = new Map(
      [reserved, unreserved].flatMap((part) =>
        part.map((name, i): [string, number] => [name, i / part.length]),
      ),
    );
  }
}
