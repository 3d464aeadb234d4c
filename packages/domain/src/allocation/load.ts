/**
 * Tracks the unfinished work of one engine and what more it can take. The allocator's own
 * dispatches are exact, whereas an engine's report is some hundred milliseconds old, so the load is
 * computed from the dispatches; an error of the cost model lasts only until its request ends.
 */
import type * as catalogue from '../catalogue/catalogue';
import type * as rateLimits from '../rateLimits/rateLimits';
import type * as registry from '../registry/registry';
import * as cost from './cost';
import type * as prefills from './prefill';
import * as prefillQueue from './prefillQueue';
import * as targetHealth from './targetHealth';

/** One request's work on an engine: as the decoder, or as a prefill helper. */
export interface Task {
  request: string;
  role: 'decoder' | 'helper';
  /** Prefill work on this engine, milliseconds. */
  prefillMs: number;
  /** Context tokens that add to the duration of each engine step here while the request decodes. */
  contextTokens: number;
  /** Memory held here when the request ends, tokens. */
  memoryTokens: number;
  /** Longest inter-token gap that its caller tolerates; infinite for a helper. */
  maxGapMs: number;
  /** Value of the request, in tokens of work. */
  value: number;
}

/**
 * Bounds of a slowdown sample and the weight of a new one: a few answers change the average, and
 * one outlier doesn't.
 */
const SLOWDOWN = { min: 0.8, max: 8, weight: 0.25 } as const;

/**
 * Most requests sent to an engine that is known only from state loaded from disk, until it
 * announces itself. It may have stopped while the keepers were down, and a request sent there would
 * wait in vain; live engines announce themselves within about a second.
 */
const MAX_UNCONFIRMED_REQUESTS = 1;

/** Aggregates over an engine's tasks. */
interface Aggregates {
  /** Tokens. */
  freeMemory: number;
  tightestGapMs: number;
  /** Duration of an engine step at the modelled speed. */
  engineStepMs: number;
}

export class Load implements prefills.PartSchedule, prefillQueue.DecodeState {
  private readonly tasks = new Map<string, Task>();

  /** Ids of assumed tasks, which nobody dispatched. */
  private readonly assumedIds = new Set<string>();

  /** The tasks by role. */
  private decoderTasks: Task[] = [];

  private helperTasks: Task[] = [];

  /**
   * Cached aggregates of the tasks. A plan reads them about ten times per engine, while tasks
   * change once per request: with 78 engines, caching makes a plan three times cheaper.
   */
  private aggregates: Aggregates;

  readonly prefillQueue = new prefillQueue.PrefillQueue(this);

  readonly health = new targetHealth.TargetHealth();

  /**
   * Measured time over modelled time; above 1 for a slow engine. Learned from the inter-token gaps
   * of its answers: engines of one service differ, and some become several times slower.
   */
  slowdown = 1;

  constructor(
    readonly engine: catalogue.Engine,
    public record: registry.Announcement,
    private readonly limits?: Pick<rateLimits.RateLimits, 'isLimited' | 'isCold'>,
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

  /** Whether it may become prefill helper for one more request. */
  mayHelp(maxHelped: number, now: number): boolean {
    if (this.record.isRemembered === true && this.unconfirmedQuota <= 0) return false;
    return this.helpingCount(now) < Math.min(maxHelped, this.engine.slots);
  }

  /** Whether the target has a rate limit. */
  get isLimited(): boolean {
    return this.limits?.isLimited(this.record) === true;
  }

  /** Whether the target has a rate limit because it is cold. */
  get isCold(): boolean {
    return this.limits?.isCold(this.record) === true;
  }

  /** Requests that it may still get, in either role, before it has announced itself. */
  private get unconfirmedQuota(): number {
    return MAX_UNCONFIRMED_REQUESTS - (this.tasks.size - this.assumedIds.size);
  }

  get freeMemory(): number {
    return this.aggregates.freeMemory;
  }

  /** Requests that it still prefills a part for as a helper. */
  helpingCount(now: number): number {
    if (this.prefillQueue.isIdle(now)) return 0;
    return this.helperTasks.filter(({ request }) => this.prefillQueue.has(request)).length;
  }

  /** Whether any request decodes here, that is, has been prefilled. */
  get isDecoding(): boolean {
    return this.decoderTasks.some(({ request }) => !this.prefillQueue.has(request));
  }

  /** The shortest maximum inter-token gap of its decoding requests; infinite without any. */
  get tightestGapMs(): number {
    return this.aggregates.tightestGapMs;
  }

  engineStepMs(): number {
    return this.slowdown * this.aggregates.engineStepMs;
  }

  /**
   * Takes the measured duration of an engine step without prefill, with the current decoding
   * requests.
   */
  observeStep(ms: number): void {
    const sample = Math.min(
      SLOWDOWN.max,
      Math.max(SLOWDOWN.min, ms / this.aggregates.engineStepMs),
    );
    this.slowdown += SLOWDOWN.weight * (sample - this.slowdown);
  }

  /** Time until this engine could begin to prefill a whole prompt, milliseconds. */
  pendingPrefillMs(now: number): number {
    return this.prefillQueue.stepRestMs(now) + this.prefillQueue.waitingMs(now);
  }

  /** Total value of the decoding requests whose maximum gap is below `gapMs`. */
  valueWithTighterGap(gapMs: number): number {
    return this.decoderTasks
      .filter(({ maxGapMs }) => maxGapMs < gapMs)
      .reduce((sum, { value }) => sum + value, 0);
  }

  completionTime(prefill: prefills.Prefill, now: number): number | undefined {
    return this.prefillQueue.completionTime(prefill, now);
  }

  /** Adds an assumed decoding request without prefill work. */
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

  /** Adds one request's work; `isPart` where other engines prefill parts of the same prompt. */
  add(task: Task, part: Omit<prefillQueue.PrefillPart, 'leftMs'>, now: number): void {
    const leftMs = this.slowdown * task.prefillMs;
    if (leftMs > 0) {
      this.prefillQueue.add({ ...part, leftMs }, now);
      part.prefill.addPart(this);
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
