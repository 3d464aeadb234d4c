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
  role: 'writer' | 'helper';
  /** Reading that this engine does for it, milliseconds. */
  readMs: number;
  /** Tokens of context that each of its steps costs here. */
  contextTokens: number;
  /** Memory it takes here at its end, tokens. */
  memoryTokens: number;
  /** Longest pause between its events that its caller bears; infinite for a helper. */
  pauseMs: number;
  /** What is lost if it comes late, in tokens of work. */
  value: number;
}

/**
 * Bounds of a measured pace, and the weight of a new measure: a few answers turn the figure, and one odd
 * answer doesn't.
 */
const PACE = { least: 0.8, most: 8, weight: 0.25 } as const;

/**
 * Requests that a remembered engine gets until it has spoken. It may have ended while the keepers were down, and
 * whoever is sent there then waits in vain; engines that live speak within about a second.
 */
const MOST_UNCONFIRMED = 1;

/** Sums and extremes over an engine's tasks. */
interface Figures {
  /** Tokens. */
  freeMemory: number;
  tightestPauseMs: number;
  /** Length of a pass on an engine of usual speed. */
  passMs: number;
}

export class Load implements reading.Place, readQueue.Writing {
  private readonly tasks = new Map<string, Task>();

  /** Ids among `tasks` that nobody dispatched. */
  private readonly assumed = new Set<string>();

  /** The writers among `tasks`, and the others. */
  private writing: Task[] = [];

  private helped: Task[] = [];

  /**
   * What follows from the tasks. A plan asks every engine for it some ten times, and tasks change once a
   * request: with 78 engines, kept figures make a plan three times cheaper.
   */
  private figures: Figures;

  /** What it has to read. */
  readonly queue = new readQueue.ReadQueue(this);

  readonly soundness = new soundness.Soundness();

  /**
   * Its time for a piece of work against the model's; over 1 for a slow one. Learned from the pauses between
   * the events of answers that it wrote: the engines of a service differ, and some turn several times slower.
   */
  pace = 1;

  constructor(
    readonly engine: catalogue.Engine,
    public record: registry.Announcement,
    private readonly isLimitedAt: (place: rateLimits.Place) => boolean = () => false,
  ) {
    this.figures = this.figuresNow();
  }

  get writers(): number {
    return this.writing.length;
  }

  get freeSlots(): number {
    const free = Math.min(this.engine.slots, this.record.slots) - this.writers;
    return this.record.isRemembered === true ? Math.min(free, this.unconfirmedLeft) : free;
  }

  /** Whether it may help to read for one request more. */
  mayHelp(most: number, now: number): boolean {
    if (this.record.isRemembered === true && this.unconfirmedLeft <= 0) return false;
    return this.helping(now) < Math.min(most, this.engine.slots);
  }

  /** Whether it names how many requests it takes. */
  get isLimited(): boolean {
    return this.isLimitedAt(this.record);
  }

  /** Requests, written or read for, that it may still get before it has spoken. */
  private get unconfirmedLeft(): number {
    return MOST_UNCONFIRMED - (this.tasks.size - this.assumed.size);
  }

  get freeMemory(): number {
    return this.figures.freeMemory;
  }

  /** Requests that this engine still helps to read for others. */
  helping(now: number): number {
    if (this.queue.isIdle(now)) return 0;
    return this.helped.filter(({ request }) => this.queue.has(request)).length;
  }

  /** Whether somebody's answer is being written here, and not still read. */
  get isWriting(): boolean {
    return this.writing.some(({ request }) => !this.queue.has(request));
  }

  /** The tightest pause that a caller of this engine bears, infinite where nobody writes. */
  get tightestPauseMs(): number {
    return this.figures.tightestPauseMs;
  }

  passMs(): number {
    return this.pace * this.figures.passMs;
  }

  /** A pass without reading took `ms`, with the writers that are here now. */
  observePass(ms: number): void {
    const sample = Math.min(PACE.most, Math.max(PACE.least, ms / this.figures.passMs));
    this.pace += PACE.weight * (sample - this.pace);
  }

  /** Time until this engine could begin to read a prompt alone, milliseconds. */
  pendingReadMs(now: number): number {
    return this.queue.restMs(now) + this.queue.waitingMs(now);
  }

  /** Value of those who write here and bear only pauses shorter than so many milliseconds. */
  valueOfTighter(than: number): number {
    return this.writing
      .filter(({ pauseMs }) => pauseMs < than)
      .reduce((sum, { value }) => sum + value, 0);
  }

  endOf(wanted: reading.Reading, now: number): number | undefined {
    return this.queue.endOf(wanted, now);
  }

  /** Counts a writer that isn't known to be there, and has nothing to read. */
  assume(task: Task): void {
    this.assumed.add(task.request);
    this.tasks.set(task.request, task);
    this.refresh();
  }

  forgetAssumed(request: string): void {
    this.assumed.delete(request);
    this.tasks.delete(request);
    this.refresh();
  }

  /** Takes a share of a request; `isPart` where others read parts of the same prompt. */
  add(task: Task, share: { reading: reading.Reading; isPart: boolean }, now: number): void {
    const leftMs = this.pace * task.readMs;
    if (leftMs > 0) {
      this.queue.add({ ...share, leftMs }, now);
      share.reading.addPlace(this);
    }
    this.tasks.set(task.request, task);
    this.refresh();
  }

  remove(request: string, now: number): void {
    this.queue.remove(request, now);
    this.tasks.delete(request);
    this.refresh();
  }

  private refresh(): void {
    const tasks = [...this.tasks.values()];
    this.writing = tasks.filter(({ role }) => role === 'writer');
    this.helped = tasks.filter(({ role }) => role === 'helper');
    this.figures = this.figuresNow();
  }

  private figuresNow(): Figures {
    const tasks = [...this.tasks.values()];
    const used = tasks.reduce((sum, { memoryTokens }) => sum + memoryTokens, 0);
    const context = this.writing.reduce((sum, { contextTokens }) => sum + contextTokens, 0);
    return {
      freeMemory: this.engine.memoryTokens - used,
      tightestPauseMs: Math.min(Infinity, ...this.writing.map(({ pauseMs }) => pauseMs)),
      passMs: cost.passMs(this.engine, this.writing.length, context),
    };
  }
}
