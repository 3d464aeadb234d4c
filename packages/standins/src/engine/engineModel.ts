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

interface RunningRequest {
  job: Job;
  arrivalOrder: number;
  prefilledTokens: number;
  decodedTokens: number;
  ownTokens: number;
  pinnedKeys: readonly number[];
  /** Prompt tokens of the step under way. */
  chunkTokens: number;
}

export type RequestState = 'unknown' | 'queued' | 'prefilling' | 'decoding';

export class EngineModel {
  readonly cache = new prefixCache.PrefixCache();

  private queue: { job: Job; arrivalOrder: number }[] = [];

  private running: RunningRequest[] = [];

  private reserved = 0;

  private arrivals = 0;

  private loads: Load[] = [];

  stepping = false;

  constructor(readonly options: parameters.Parameters = parameters.DEFAULT_PARAMETERS) {}

  submit(job: Job, now: number): void {
    this.arrivals += 1;
    this.queue.push({ job, arrivalOrder: this.arrivals });
    this.recordLoad(now);
  }

  /** Whether the request could start at the next step, with all that wait already. */
  hasRoom(job: Job): boolean {
    const waitingTokens = this.queue.reduce(
      (sum, queued) => sum + this.requiredTokens(queued.job),
      0,
    );
    return this.freeTokens() - waitingTokens >= this.requiredTokens(job);
  }

  /** Ends a request wherever it is; true if it was here. */
  cancel(id: string, now: number): boolean {
    const queued = this.queue.length;
    this.queue = this.queue.filter(({ job }) => job.id !== id);
    const running = this.running.find(({ job }) => job.id === id);
    if (running !== undefined) this.release(running);
    this.recordLoad(now);
    return running !== undefined || this.queue.length < queued;
  }

  stateOf(id: string): RequestState {
    if (this.queue.some(({ job }) => job.id === id)) return 'queued';
    const running = this.running.find(({ job }) => job.id === id);
    if (running === undefined) return 'unknown';
    return running.prefilledTokens < running.job.promptTokens ? 'prefilling' : 'decoding';
  }

  /** Sets memory aside for a prompt that runs on another engine. */
  reserve(tokens: number): boolean {
    if (this.freeTokens() < tokens) return false;
    this.evictFor(tokens);
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
      const token = this.advance(running);
      if (token !== undefined) tokens.push(token);
    });
    this.recordLoad(now);
    return tokens;
  }

  /** What the engine says of its load: true some time ago. */
  load(now: number): Load {
    const asOf = now - this.options.loadLagMs;
    return this.loads.findLast(({ at }) => at <= asOf) ?? this.loads[0] ?? this.trueLoad(now);
  }

  trueLoad(now: number): Load {
    const waitingTokens = this.queue.reduce((sum, { job }) => sum + job.promptTokens, 0);
    const prefillingTokens = this.running.reduce(
      (sum, { job, prefilledTokens }) => sum + job.promptTokens - prefilledTokens,
      0,
    );
    return {
      queuedTokens: waitingTokens + prefillingTokens,
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
    return this.options.memoryTokens - this.usedTokens() + this.cache.evictableTokens();
  }

  private usedTokens(): number {
    const own = this.running.reduce((sum, { ownTokens }) => sum + ownTokens, 0);
    return own + this.cache.tokens + this.reserved;
  }

  private evictFor(tokens: number): void {
    const excessTokens = this.usedTokens() + tokens - this.options.memoryTokens;
    if (excessTokens > 0) this.cache.evict(excessTokens);
  }

  private admit(): void {
    this.queue.sort((a, b) => a.job.priority - b.job.priority || a.arrivalOrder - b.arrivalOrder);
    while (this.queue.length > 0 && this.running.length < this.options.maxStreams) {
      const next = this.queue[0];
      if (!this.tryStart(next.job, next.arrivalOrder)) break;
      this.queue.shift();
    }
  }

  private tryStart(job: Job, arrivalOrder: number): boolean {
    const matchedBlocks = this.cache.matchedBlocks(job.prefixKeys);
    const pinnedKeys = job.prefixKeys.slice(0, matchedBlocks);
    const cachedTokens = Math.min(job.promptTokens - 1, matchedBlocks * prefixCache.BLOCK_TOKENS);
    const ownTokens = this.requiredTokens(job);
    this.cache.pin(pinnedKeys);
    if (this.freeTokens() < ownTokens) {
      this.cache.unpin(pinnedKeys);
      return false;
    }
    this.evictFor(ownTokens);
    this.running.push({
      job,
      arrivalOrder,
      prefilledTokens: cachedTokens,
      decodedTokens: 0,
      ownTokens,
      pinnedKeys,
      chunkTokens: 0,
    });
    return true;
  }

  private requiredTokens({ prefixKeys, promptTokens, answerTokens, remoteTokens }: Job): number {
    const matchedTokens = this.cache.matchedBlocks(prefixKeys) * prefixCache.BLOCK_TOKENS;
    const cachedTokens = Math.min(promptTokens - 1, matchedTokens);
    return Math.max(0, promptTokens + answerTokens - cachedTokens - remoteTokens);
  }

  private planStep(): number {
    const { stepTokens, stepBaseMs, tokenMs, attentionTokens, streamMs } = this.options;
    let remainingTokens = stepTokens;
    let durationMs = stepBaseMs;
    const order = [...this.running].sort(
      (a, b) => a.job.priority - b.job.priority || a.arrivalOrder - b.arrivalOrder,
    );
    order.forEach((running) => {
      const { job, prefilledTokens } = running;
      if (prefilledTokens >= job.promptTokens) {
        running.chunkTokens = 0;
        durationMs += streamMs;
        return;
      }
      running.chunkTokens = Math.min(remainingTokens, job.promptTokens - prefilledTokens);
      remainingTokens -= running.chunkTokens;
      const contextTokens = prefilledTokens + running.chunkTokens / 2;
      durationMs += running.chunkTokens * tokenMs * (1 + contextTokens / attentionTokens);
    });
    return durationMs;
  }

  private advance(running: RunningRequest): Token | undefined {
    const { job } = running;
    const wasDecoding = running.prefilledTokens >= job.promptTokens;
    running.prefilledTokens += running.chunkTokens;
    const isPrefillDone =
      !wasDecoding && running.chunkTokens > 0 && running.prefilledTokens >= job.promptTokens;
    running.chunkTokens = 0;
    if (!wasDecoding && !isPrefillDone) return undefined;
    const position = running.decodedTokens;
    running.decodedTokens += 1;
    const isLast = running.decodedTokens >= job.answerTokens;
    if (isLast) this.release(running);
    return { id: job.id, position, last: isLast };
  }

  private release(running: RunningRequest): void {
    this.running = this.running.filter((other) => other !== running);
    this.cache.unpin(running.pinnedKeys);
    if (running.prefilledTokens < running.job.promptTokens) return;
    const newKeys = running.job.prefixKeys.slice(running.pinnedKeys.length);
    const unusedTokens = this.options.memoryTokens - this.usedTokens();
    this.cache.store(
      newKeys.slice(0, Math.max(0, Math.floor(unusedTokens / prefixCache.BLOCK_TOKENS))),
    );
  }

  private recordLoad(now: number): void {
    this.loads.push(this.trueLoad(now));
    if (this.loads.length < 256) return;
    const asOf = now - this.options.loadLagMs;
    const firstNeeded = this.loads.findLastIndex(({ at }) => at <= asOf);
    this.loads = this.loads.slice(Math.max(0, firstNeeded));
    if (this.loads.length >= 256) this.loads = this.loads.filter((_load, i) => i % 2 === 0);
  }
}
