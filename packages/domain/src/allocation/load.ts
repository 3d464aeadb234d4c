/**
 * What one engine has been given and has not finished, and what more it bears. The allocator's own
 * dispatches are exact where an engine's report is some hundred milliseconds old, so a load is counted
 * from them; what the model gets wrong ends when the request does.
 */
import type * as catalogue from '../catalogue/catalogue';
import type * as registry from '../registry/registry';
import * as cost from './cost';
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
 * Part of a caller's longest pause that predictions may use up. The rest covers the way of an event to
 * the caller, prompts that arrive in the same pass, and the model's error.
 */
const PAUSE_SHARE = 0.85;

/**
 * Bounds of a measured pace, and the weight of a new measure: a few answers turn the figure, and one odd
 * answer doesn't.
 */
const PACE = { least: 0.8, most: 8, weight: 0.25 } as const;

/** Sums and extremes over an engine's tasks. */
interface Figures {
  /** Tokens. */
  freeMemory: number;
  tightestPauseMs: number;
  /** Length of a pass on an engine of usual speed. */
  passMs: number;
}

interface Reading {
  task: Task;
  endsAt: number;
}

export class Load {
  private readonly tasks = new Map<string, Task>();

  /** The writers among `tasks`. */
  private writing: Task[] = [];

  /**
   * What follows from the tasks. A plan asks every engine for it some ten times, and tasks change once a
   * request: with 78 engines, kept figures make a plan three times cheaper.
   */
  private figures: Figures;

  private readings: Reading[] = [];

  readonly soundness = new soundness.Soundness();

  /**
   * Its time for a piece of work against the model's; over 1 for a slow one. Learned from the pauses between
   * the events of answers that it wrote: the engines of a service differ, and some turn several times slower.
   */
  pace = 1;

  constructor(
    readonly engine: catalogue.Engine,
    public record: registry.Announcement,
  ) {
    this.figures = this.figuresNow();
  }

  get writers(): number {
    return this.writing.length;
  }

  get freeSlots(): number {
    return Math.min(this.engine.slots, this.record.slots) - this.writers;
  }

  get freeMemory(): number {
    return this.figures.freeMemory;
  }

  /** Requests that this engine helps to read for others at `now`. */
  helping(now: number): number {
    if (this.pendingReadMs(now) === 0) return 0;
    return this.readings.filter(({ task, endsAt }) => task.role === 'helper' && endsAt > now)
      .length;
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

  /** Reading that was given to the engine and isn't done, milliseconds. */
  pendingReadMs(now: number): number {
    const last = this.readings.at(-1);
    return last === undefined ? 0 : Math.max(0, last.endsAt - now);
  }

  /** How much more reading the engine takes before a pause of someone who writes there is too long. */
  allowanceMs(now: number): number {
    const tightest = this.tightestPauseMs;
    if (tightest === Infinity) return Infinity;
    return PAUSE_SHARE * tightest - this.passMs() - this.pendingReadMs(now);
  }

  /** Value of the writers here whose pauses a further reading of `readMs` makes too long. */
  valueAtRisk(readMs: number, pendingMs: number): number {
    const pause = this.passMs() + pendingMs + readMs;
    return this.writing
      .filter(({ pauseMs }) => PAUSE_SHARE * pauseMs < pause)
      .reduce((sum, { value }) => sum + value, 0);
  }

  add(task: Task, now: number): void {
    this.tasks.set(task.request, task);
    this.refresh();
    const startsAt = now + this.pendingReadMs(now);
    this.readings = this.readings.filter(({ endsAt }) => endsAt > now);
    this.readings.push({ task, endsAt: startsAt + this.pace * task.readMs });
  }

  remove(request: string, now: number): void {
    this.tasks.delete(request);
    this.refresh();
    this.readings = this.readings.filter(
      ({ task, endsAt }) => task.request !== request && endsAt > now,
    );
  }

  private refresh(): void {
    this.writing = [...this.tasks.values()].filter(({ role }) => role === 'writer');
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
