/**
 * What one engine has been given and has not finished, and what more it bears. The allocator's own
 * dispatches are exact where an engine's report is some hundred milliseconds old, so a load is counted
 * from them; what the model gets wrong ends when the request does.
 */
import type * as catalogue from '../catalogue/catalogue';
import type * as rateLimits from '../rateLimits/rateLimits';
import type * as registry from '../registry/registry';
import * as cost from './cost';
import type * as reading from './reading';
import * as readQueue from './readQueue';
import * as soundness from './soundness';

/** One request's share in an engine: as the engine that writes, or as one that only helps to read. */
export interface Task {
  request: string;
  role: 'decoder' | 'helper';
  /** Reading that this engine does for it, milliseconds. */
  prefillMs: number;
  /** Tokens of context that each of its steps costs here. */
  contextTokens: number;
  /** Memory it takes here at its end, tokens. */
  memoryTokens: number;
  /** Longest pause between its events that its caller bears; infinite for a helper. */
  maxGapMs: number;
  /** What is lost if it comes late, in tokens of work. */
  value: number;
}

/**
 * Bounds of a measured pace, and the weight of a new measure: a few answers turn the figure, and one odd
 * answer doesn't.
 */
const SLOWDOWN = { min: 0.8, max: 8, weight: 0.25 } as const;

/**
 * Requests that a remembered engine gets until it has spoken. It may have ended while the keepers were down, and
 * whoever is sent there then waits in vain; engines that live speak within about a second.
 */
const MAX_UNCONFIRMED_REQUESTS = 1;

/** Sums and extremes over an engine's tasks. */
interface Aggregates {
  /** Tokens. */
  freeMemory: number;
  tightestGapMs: number;
  /** Length of a pass on an engine of usual speed. */
  engineStepMs: number;
}

export class Load implements reading.PartSchedule, readQueue.DecodeState {
  private readonly tasks = new Map<string, Task>();

  /** Ids among `tasks` that nobody dispatched. */
  private readonly assumedIds = new Set<string>();

  /** The writers among `tasks`, and the others. */
  private decoderTasks: Task[] = [];

  private helperTasks: Task[] = [];

  /**
   * What follows from the tasks. A plan asks every engine for it some ten times, and tasks change once a
   * request: with 78 engines, kept figures make a plan three times cheaper.
   */
  private aggregates: Aggregates;

  /** What it has to read. */
  readonly prefillQueue = new readQueue.ReadQueue(this);

  readonly health = new soundness.Soundness();

  /**
   * Its time for a piece of work against the model's; over 1 for a slow one. Learned from the pauses between
   * the events of answers that it wrote: the engines of a service differ, and some turn several times slower.
   */
  slowdown = 1;

  constructor(
    readonly engine: catalogue.Engine,
    public record: registry.Announcement,
    private readonly isLimitedAt: (place: rateLimits.Place) => boolean = () => false,
  ) {
    this.aggregates = this.computeAggregates();
  }

  get decodingCount(): number {
    return this.decoderTasks.length;
  }

  get freeSlots(): number {
    const free = Math.min(this.engine.slots, this.record.slots) - this.decodingCount;
    return this.record.isRemembered === true ? Math.min(free, this.unconfirmedQuota) : free;
  }

  /** Whether it may help to read for one request more. */
  mayHelp(maxHelped: number, now: number): boolean {
    if (this.record.isRemembered === true && this.unconfirmedQuota <= 0) return false;
    return this.helpingCount(now) < Math.min(maxHelped, this.engine.slots);
  }

  /** Whether it names how many requests it takes. */
  get isLimited(): boolean {
    return this.isLimitedAt(this.record);
  }

  /** Requests, written or read for, that it may still get before it has spoken. */
  private get unconfirmedQuota(): number {
    return MAX_UNCONFIRMED_REQUESTS - (this.tasks.size - this.assumedIds.size);
  }

  get freeMemory(): number {
    return this.aggregates.freeMemory;
  }

  /** Requests that this engine still helps to read for others. */
  helpingCount(now: number): number {
    if (this.prefillQueue.isIdle(now)) return 0;
    return this.helperTasks.filter(({ request }) => this.prefillQueue.has(request)).length;
  }

  /** Whether somebody's answer is being written here, and not still read. */
  get isWriting(): boolean {
    return this.decoderTasks.some(({ request }) => !this.prefillQueue.has(request));
  }

  /** The tightest pause that a caller of this engine bears, infinite where nobody writes. */
  get tightestGapMs(): number {
    return this.aggregates.tightestGapMs;
  }

  passMs(): number {
    return this.slowdown * this.aggregates.engineStepMs;
  }

  /** A pass without reading took `ms`, with the writers that are here now. */
  observeStep(ms: number): void {
    const sample = Math.min(
      SLOWDOWN.max,
      Math.max(SLOWDOWN.min, ms / this.aggregates.engineStepMs),
    );
    this.slowdown += SLOWDOWN.weight * (sample - this.slowdown);
  }

  /** Time until this engine could begin to read a prompt alone, milliseconds. */
  pendingPrefillMs(now: number): number {
    return this.prefillQueue.stepRestMs(now) + this.prefillQueue.waitingMs(now);
  }

  /** Value of those who write here and bear only pauses shorter than so many milliseconds. */
  valueWithTighterGap(gapMs: number): number {
    return this.decoderTasks
      .filter(({ maxGapMs }) => maxGapMs < gapMs)
      .reduce((sum, { value }) => sum + value, 0);
  }

  completionTime(wanted: reading.Reading, now: number): number | undefined {
    return this.prefillQueue.completionTime(wanted, now);
  }

  /** Counts a writer that isn't known to be there, and has nothing to read. */
  assume(task: Task): void {
    this.assumedIds.add(task.request);
    this.tasks.set(task.request, task);
    this.refresh();
  }

  forgetAssumed(request: string): void {
    this.assumedIds.delete(request);
    this.tasks.delete(request);
    this.refresh();
  }

  /** Takes a share of a request; `isPart` where others read parts of the same prompt. */
  add(task: Task, part: { reading: reading.Reading; isPart: boolean }, now: number): void {
    const leftMs = this.slowdown * task.prefillMs;
    if (leftMs > 0) {
      this.prefillQueue.add({ ...part, leftMs }, now);
      part.reading.addPlace(this);
    }
    this.tasks.set(task.request, task);
    this.refresh();
  }

  remove(request: string, now: number): void {
    this.prefillQueue.remove(request, now);
    this.tasks.delete(request);
    this.refresh();
  }

  private refresh(): void {
    const tasks = [...this.tasks.values()];
    this.decoderTasks = tasks.filter(({ role }) => role === 'decoder');
    this.helperTasks = tasks.filter(({ role }) => role === 'helper');
    this.aggregates = this.computeAggregates();
  }

  private computeAggregates(): Aggregates {
    const tasks = [...this.tasks.values()];
    const used = tasks.reduce((sum, { memoryTokens }) => sum + memoryTokens, 0);
    const context = this.decoderTasks.reduce((sum, { contextTokens }) => sum + contextTokens, 0);
    return {
      freeMemory: this.engine.memoryTokens - used,
      tightestGapMs: Math.min(Infinity, ...this.decoderTasks.map(({ maxGapMs }) => maxGapMs)),
      engineStepMs: cost.engineStepMs(this.engine, this.decoderTasks.length, context),
    };
  }
}
