/**
 * The queue of one daemon and its choice of targets. It keeps the beliefs about each target, sizes
 * the bands from demand, and lets a request go when the policy finds a place for it. Several daemons
 * run one each without a central scheduler; what they know of each other are `outstanding` summaries.
 */
import * as hashing from '../shared/hashing';
import * as document from '../settings/document';
import * as target from '../target/target';
import * as band from './band';
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
  /** Milliseconds; after it the request is of no use. */
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
  predictedMs: number;
}

/** Why a request can't be queued. All of these are certain to be "not run". */
export type Refusal = 'queueFull' | 'deadlineInfeasible' | 'noTarget';

export interface Options {
  thresholds: band.Thresholds;
  plan: band.Plan;
  /** Prompt tokens that may wait in this daemon. */
  queueTokens: number;
  /** Requests that may wait in this daemon. */
  queueLength: number;
  /** Extra round trip to a target in another data centre, in milliseconds. */
  remoteMs: number;
}

export const DEFAULT_OPTIONS: Options = {
  thresholds: band.DEFAULT_THRESHOLDS,
  plan: band.DEFAULT_PLAN,
  queueTokens: 40_000_000,
  queueLength: 4_000,
  remoteMs: 1.5,
};

/** Time over which demand is averaged, in milliseconds. */
const DEMAND_WINDOW_MS = 20_000;

/** Between two looks at the sizes of the bands, in milliseconds. */
const REPLAN_MS = 1_000;

interface Waiting extends Request {
  tokens: number;
  band: band.Band;
}

interface Known {
  announced: target.Target;
  belief: estimate.Estimate;
}

interface Running {
  target: string;
  band: band.Band;
}

export class Dispatcher {
  readonly prefixes = new prefixIndex.PrefixIndex();

  private readonly targets = new Map<string, Known>();

  private readonly broken = new Set<string>();

  private readonly queues: band.PerBand<fairQueue.FairQueue<Waiting>> = {
    short: new fairQueue.FairQueue(),
    medium: new fairQueue.FairQueue(),
    long: new fairQueue.FairQueue(),
  };

  private readonly running = new Map<string, Running>();

  private readonly demand: band.Demand = { short: 0, medium: 0, long: 0 };

  private demandAt = 0;

  private peerDemand: band.Demand = { short: 0, medium: 0, long: 0 };

  private size: band.PerBand<number> | undefined;

  private assigned = new Map<string, band.Band>();

  private plannedAt = -Infinity;

  constructor(
    private readonly dataCentre: string,
    private readonly hash: hashing.Hash,
    private readonly choice: policy.Policy,
    private readonly options: Options = DEFAULT_OPTIONS,
  ) {}

  /** Sets the targets in use; leaving and gone ones must already be left out. */
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
    const known = this.targets.get(announced.name);
    const restarted = known !== undefined && known.announced.incarnation !== announced.incarnation;
    if (restarted) this.prefixes.forget(announced.name);
    const belief = known === undefined || restarted ? new estimate.Estimate() : known.belief;
    this.targets.set(announced.name, { announced, belief });
  }

  /** Targets whose circuit is open get nothing until it closes. */
  setBroken(name: string, broken: boolean): void {
    if (broken) this.broken.add(name);
    else this.broken.delete(name);
  }

  /** Largest memory of any one target that serves the model. */
  largestMemory(model: target.Loaded): number {
    const able = [...this.targets.values()].filter(({ announced }) =>
      target.serves(announced, model),
    );
    return Math.max(0, ...able.map(({ announced }) => announced.memoryTokens));
  }

  enqueue(request: Request, now: number): Refusal | undefined {
    const inBand = band.bandOf(request.promptTokens, this.options.thresholds);
    const refusal = this.refusal(request, inBand, now);
    if (refusal !== undefined) return refusal;
    this.queues[inBand].push({ ...request, tokens: request.promptTokens, band: inBand });
    this.countDemand(inBand, request.promptTokens, now);
    return undefined;
  }

  /** Takes a request out that waits no longer, because its caller went or its deadline came. */
  withdraw(id: string): boolean {
    return band.BANDS.some((each) => this.queues[each].remove(id) !== undefined);
  }

  /** Requests whose deadline passed while they waited; they were certainly not run. */
  expire(now: number): Request[] {
    const late = band.BANDS.flatMap((each) => this.queues[each].items()).filter(
      ({ deadline }) => deadline <= now,
    );
    late.forEach(({ id }) => this.withdraw(id));
    return late;
  }

  /** Everything that may go now. */
  poll(now: number): Dispatch[] {
    this.replan(now);
    return band.BANDS.flatMap((each) => this.drain(each, now));
  }

  firstToken(id: string, now: number): void {
    const running = this.running.get(id);
    if (running !== undefined) this.targets.get(running.target)?.belief.firstToken(id, now);
  }

  ended(id: string, now: number): void {
    const running = this.running.get(id);
    if (running === undefined) return;
    this.running.delete(id);
    this.targets.get(running.target)?.belief.ended(id, now);
  }

  reported(name: string, report: estimate.Report, now: number): void {
    this.targets.get(name)?.belief.reported(report, now);
  }

  peersReported(name: string, outstanding: estimate.Outstanding, now: number): void {
    this.targets.get(name)?.belief.peersReported(outstanding, now);
  }

  /** Demand that other daemons see, so that all size the bands for the whole. */
  setPeerDemand(demand: band.Demand): void {
    this.peerDemand = demand;
  }

  /** Own demand, in engine-milliseconds per millisecond by band. */
  ownDemand(now: number): band.Demand {
    this.fadeDemand(now);
    const { short, medium, long } = this.demand;
    return {
      short: short / DEMAND_WINDOW_MS,
      medium: medium / DEMAND_WINDOW_MS,
      long: long / DEMAND_WINDOW_MS,
    };
  }

  /** Own outstanding tokens by target, for the peers. */
  outstanding(): Map<string, estimate.Outstanding> {
    return new Map([...this.targets].map(([name, { belief }]) => [name, belief.outstanding()]));
  }

  /** Running requests on a target. */
  runningOn(name: string): string[] {
    return [...this.running].filter(([, entry]) => entry.target === name).map(([id]) => id);
  }

  get queueLength(): number {
    return band.BANDS.reduce((sum, each) => sum + this.queues[each].length, 0);
  }

  private refusal(request: Request, inBand: band.Band, now: number): Refusal | undefined {
    const waiting = band.BANDS.reduce((sum, each) => sum + this.queues[each].tokens, 0);
    if (waiting + request.promptTokens > this.options.queueTokens) return 'queueFull';
    if (this.queueLength >= this.options.queueLength) return 'queueFull';
    const candidates = this.candidates(request);
    if (candidates.length === 0) return 'noTarget';
    const soonest = Math.min(
      ...candidates.map(({ estimate: belief }) => belief.serviceMs(inBand, request.promptTokens)),
    );
    // Half the belief, since it is a guess: refusing what could have been served is the worse error.
    return now + soonest / 2 > request.deadline ? 'deadlineInfeasible' : undefined;
  }

  private candidates(request: Request): policy.Candidate[] {
    return [...this.targets.values()]
      .filter(({ announced }) => target.serves(announced, request.model))
      .filter(({ announced }) => !request.excluded.has(announced.name))
      .filter(({ announced }) => !this.broken.has(announced.name))
      .map(({ announced, belief }) => ({
        name: announced.name,
        estimate: belief,
        distanceMs: announced.dataCentre === this.dataCentre ? 0 : this.options.remoteMs,
        cachedTokens: this.prefixes.cachedTokens(announced.name, request.prefixKeys),
        band: this.assigned.get(announced.name) ?? 'short',
        memoryTokens: announced.memoryTokens,
      }));
  }

  private drain(inBand: band.Band, now: number): Dispatch[] {
    const dispatches: Dispatch[] = [];
    const queue = this.queues[inBand];
    for (let next = queue.peek(now); next !== undefined; next = queue.peek(now)) {
      const dispatch = this.place(next, now);
      if (dispatch === undefined) break;
      queue.remove(next.id);
      dispatches.push(dispatch);
    }
    return dispatches;
  }

  private place(waiting: Waiting, now: number): Dispatch | undefined {
    const { id, promptTokens: tokens, answerTokens } = waiting;
    const largest = this.largestMemory(waiting.model);
    // Longer than any one engine: the daemon gathers memory of others before it starts.
    const memoryTokens = Math.min(tokens + answerTokens, largest);
    const job = { id, band: waiting.band, tokens, memoryTokens };
    const placement = this.choice.place(job, this.candidates(waiting), now);
    if (placement === undefined) return undefined;
    const { target: name, enginePriority, predictedMs } = placement;
    const known = this.targets.get(name) as Known;
    const cached = this.prefixes.cachedTokens(name, waiting.prefixKeys);
    known.belief.dispatched(id, waiting.band, Math.max(0, tokens - cached), now);
    this.prefixes.expect(name, waiting.prefixKeys);
    this.running.set(id, { target: name, band: waiting.band });
    const { announced } = known;
    return { request: waiting, target: announced, band: waiting.band, enginePriority, predictedMs };
  }

  private countDemand(inBand: band.Band, tokens: number, now: number): void {
    this.fadeDemand(now);
    const beliefs = [...this.targets.values()];
    const total = beliefs.reduce((sum, { belief }) => sum + belief.serviceMs(inBand, tokens), 0);
    this.demand[inBand] += total / Math.max(1, beliefs.length);
  }

  private fadeDemand(now: number): void {
    const factor = Math.exp(-(now - this.demandAt) / DEMAND_WINDOW_MS);
    this.demandAt = now;
    band.BANDS.forEach((each) => {
      this.demand[each] *= factor;
    });
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
    this.size = band.sizes(names.length, demand, this.size, this.options.plan);
    this.assigned = band.assign(hashing.rendezvous(this.hash, 'band', names), this.size);
  }
}
