/**
 * A model of one engine: continuous batching in steps, prompts prefilled in chunks by priority, KV
 * memory, and a prefix cache. It has no clock: `begin` says how long the next step takes, `finish`
 * applies it. The same code runs in experiments with a virtual clock and behind HTTP.
 */
import * as parameters from './parameters';
import * as prefixCache from './prefixCache';

export interface Job {
  id: string;
  promptTokens: number;
  answerTokens: number;
  /** Lower is served first. */
  priority: number;
  prefixKeys: readonly number[];
  /** Tokens of its memory that reservations on other engines hold. */
  remoteTokens: number;
}

export interface Token {
  id: string;
  /** Answer tokens before this one. */
  position: number;
  last: boolean;
}

export interface Load {
  queuedTokens: number;
  streams: number;
  freeTokens: number;
  at: number;
}

/** Every so many tokens of a stream carry the engine's load. */
export const REPORT_EVERY = 16;

interface Running {
  job: Job;
  arrival: number;
  prefilled: number;
  decoded: number;
  ownTokens: number;
  pinned: readonly number[];
  /** Prompt tokens of the step under way. */
  chunk: number;
}

export type State = 'unknown' | 'queued' | 'prefilling' | 'decoding';

export class EngineModel {
  readonly cache = new prefixCache.PrefixCache();

  private queue: { job: Job; arrival: number }[] = [];

  private running: Running[] = [];

  private reserved = 0;

  private arrivals = 0;

  private loads: Load[] = [];

  stepping = false;

  constructor(readonly options: parameters.Parameters = parameters.DEFAULT_PARAMETERS) {}

  submit(job: Job, now: number): void {
    this.arrivals += 1;
    this.queue.push({ job, arrival: this.arrivals });
    this.noteLoad(now);
  }

  /** Whether the request could start at the next step, with all that wait already. */
  hasRoom(job: Job): boolean {
    const waiting = this.queue.reduce((sum, queued) => sum + this.ownTokens(queued.job), 0);
    return this.freeTokens() - waiting >= this.ownTokens(job);
  }

  /** Ends a request wherever it is; true if it was here. */
  cancel(id: string, now: number): boolean {
    const queued = this.queue.length;
    this.queue = this.queue.filter(({ job }) => job.id !== id);
    const running = this.running.find(({ job }) => job.id === id);
    if (running !== undefined) this.release(running);
    this.noteLoad(now);
    return running !== undefined || this.queue.length < queued;
  }

  stateOf(id: string): State {
    if (this.queue.some(({ job }) => job.id === id)) return 'queued';
    const running = this.running.find(({ job }) => job.id === id);
    if (running === undefined) return 'unknown';
    return running.prefilled < running.job.promptTokens ? 'prefilling' : 'decoding';
  }

  /** Sets memory aside for a prompt that runs on another engine. */
  reserve(tokens: number): boolean {
    if (this.freeTokens() < tokens) return false;
    this.makeRoom(tokens);
    this.reserved += tokens;
    return true;
  }

  unreserve(tokens: number): void {
    this.reserved -= tokens;
  }

  get reservedTokens(): number {
    return this.reserved;
  }

  /** Starts a step; its duration in milliseconds, or undefined when there is nothing to do. */
  begin(): number | undefined {
    this.admit();
    if (this.running.length === 0) return undefined;
    this.stepping = true;
    return this.planStep();
  }

  /** Ends the step begun last. */
  finish(now: number): Token[] {
    this.stepping = false;
    const tokens: Token[] = [];
    [...this.running].forEach((running) => {
      const token = this.progress(running);
      if (token !== undefined) tokens.push(token);
    });
    this.noteLoad(now);
    return tokens;
  }

  /** What the engine says of its load: true some time ago. */
  load(now: number): Load {
    const asOf = now - this.options.loadLagMs;
    return this.loads.findLast(({ at }) => at <= asOf) ?? this.loads[0] ?? this.trueLoad(now);
  }

  trueLoad(now: number): Load {
    const waiting = this.queue.reduce((sum, { job }) => sum + job.promptTokens, 0);
    const prefilling = this.running.reduce(
      (sum, { job, prefilled }) => sum + job.promptTokens - prefilled,
      0,
    );
    return {
      queuedTokens: waiting + prefilling,
      streams: this.running.length,
      freeTokens: this.freeTokens(),
      at: now,
    };
  }

  /** Requests waiting or running. */
  get size(): number {
    return this.queue.length + this.running.length;
  }

  private freeTokens(): number {
    return this.options.memoryTokens - this.usedTokens() + this.cache.evictable();
  }

  private usedTokens(): number {
    const own = this.running.reduce((sum, { ownTokens }) => sum + ownTokens, 0);
    return own + this.cache.tokens + this.reserved;
  }

  private makeRoom(tokens: number): void {
    const missing = this.usedTokens() + tokens - this.options.memoryTokens;
    if (missing > 0) this.cache.evict(missing);
  }

  private admit(): void {
    this.queue.sort((a, b) => a.job.priority - b.job.priority || a.arrival - b.arrival);
    while (this.queue.length > 0 && this.running.length < this.options.maxStreams) {
      const next = this.queue[0];
      if (!this.start(next.job, next.arrival)) break;
      this.queue.shift();
    }
  }

  private start(job: Job, arrival: number): boolean {
    const matched = this.cache.match(job.prefixKeys);
    const pinned = job.prefixKeys.slice(0, matched);
    const cached = Math.min(job.promptTokens - 1, matched * prefixCache.BLOCK_TOKENS);
    const ownTokens = this.ownTokens(job);
    this.cache.pin(pinned);
    if (this.freeTokens() < ownTokens) {
      this.cache.unpin(pinned);
      return false;
    }
    this.makeRoom(ownTokens);
    this.running.push({ job, arrival, prefilled: cached, decoded: 0, ownTokens, pinned, chunk: 0 });
    return true;
  }

  private ownTokens({ prefixKeys, promptTokens, answerTokens, remoteTokens }: Job): number {
    const matched = this.cache.match(prefixKeys) * prefixCache.BLOCK_TOKENS;
    const cached = Math.min(promptTokens - 1, matched);
    return Math.max(0, promptTokens + answerTokens - cached - remoteTokens);
  }

  private planStep(): number {
    const { stepTokens, stepBaseMs, tokenMs, attentionTokens, streamMs } = this.options;
    let budget = stepTokens;
    let duration = stepBaseMs;
    const order = [...this.running].sort(
      (a, b) => a.job.priority - b.job.priority || a.arrival - b.arrival,
    );
    order.forEach((running) => {
      const { job, prefilled } = running;
      if (prefilled >= job.promptTokens) {
        running.chunk = 0;
        duration += streamMs;
        return;
      }
      running.chunk = Math.min(budget, job.promptTokens - prefilled);
      budget -= running.chunk;
      const context = prefilled + running.chunk / 2;
      duration += running.chunk * tokenMs * (1 + context / attentionTokens);
    });
    return duration;
  }

  private progress(running: Running): Token | undefined {
    const { job } = running;
    const wasDecoding = running.prefilled >= job.promptTokens;
    running.prefilled += running.chunk;
    const promptDone = !wasDecoding && running.chunk > 0 && running.prefilled >= job.promptTokens;
    running.chunk = 0;
    if (!wasDecoding && !promptDone) return undefined;
    const position = running.decoded;
    running.decoded += 1;
    const last = running.decoded >= job.answerTokens;
    if (last) this.release(running);
    return { id: job.id, position, last };
  }

  private release(running: Running): void {
    this.running = this.running.filter((other) => other !== running);
    this.cache.unpin(running.pinned);
    if (running.prefilled < running.job.promptTokens) return;
    const fresh = running.job.prefixKeys.slice(running.pinned.length);
    const room = this.options.memoryTokens - this.usedTokens();
    this.cache.store(fresh.slice(0, Math.max(0, Math.floor(room / prefixCache.BLOCK_TOKENS))));
  }

  private noteLoad(now: number): void {
    this.loads.push(this.trueLoad(now));
    if (this.loads.length < 256) return;
    const asOf = now - this.options.loadLagMs;
    const keep = this.loads.findLastIndex(({ at }) => at <= asOf);
    this.loads = this.loads.slice(Math.max(0, keep));
    if (this.loads.length >= 256) this.loads = this.loads.filter((_load, i) => i % 2 === 0);
  }
}
