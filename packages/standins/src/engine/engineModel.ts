/**
 * Simulates one engine: continuous batching in engine steps, chunked prefill by priority, KV memory
 * and a prefix cache. It has no clock: `beginStep` returns the duration of the next step and
 * `finishStep` applies it, so the same code runs under a virtual clock and behind HTTP.
 */
import * as parameters from './parameters';
import * as prefixCache from './prefixCache';

export interface Job {
  id: string;
  promptTokens: number;
  answerTokens: number;
  /** A lower value is scheduled first. */
  priority: number;
  prefixKeys: readonly number[];
  /** Tokens of its KV memory that are reserved on other engines. */
  remoteTokens: number;
}

/** A generated token. */
export interface Token {
  /** Id of the request. */
  id: string;
  /** Number of answer tokens before this one. */
  position: number;
  last: boolean;
}

export interface Load {
  /** Prompt tokens that are not yet prefilled, of queued and running requests. */
  queuedTokens: number;
  /** Number of running requests. */
  streams: number;
  /** KV memory that is free or used only by evictable cache blocks, in tokens. */
  freeTokens: number;
  /** Time of the measurement, in milliseconds. */
  at: number;
}

/** A stream reports the engine's load once in this many tokens. */
export const LOAD_REPORT_INTERVAL_TOKENS = 16;

/** At this count, samples too old to be reported are dropped; if that removes none, every other one is. */
const MAX_LOAD_SAMPLES = 256;

interface RunningRequest {
  job: Job;
  arrivalOrder: number;
  prefilledTokens: number;
  decodedTokens: number;
  ownTokens: number;
  pinnedKeys: readonly number[];
  /** Prompt tokens that the current step prefills. */
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

  isStepping = false;

  constructor(readonly options: parameters.Parameters = parameters.DEFAULT_PARAMETERS) {}

  submit(job: Job, now: number): void {
    this.arrivals += 1;
    this.queue.push({ job, arrivalOrder: this.arrivals });
    this.recordLoad(now);
  }

  /** Whether memory would suffice for this request and all queued ones at the next step. */
  hasMemoryFor(job: Job): boolean {
    const waitingTokens = this.queue.reduce(
      (sum, queued) => sum + this.requiredTokens(queued.job),
      0,
    );
    return this.freeTokens() - waitingTokens >= this.requiredTokens(job);
  }

  /** Cancels a queued or running request; false if it is unknown. */
  cancel(id: string, now: number): boolean {
    const queuedBefore = this.queue.length;
    this.queue = this.queue.filter(({ job }) => job.id !== id);
    const running = this.running.find(({ job }) => job.id === id);
    if (running !== undefined) this.release(running);
    this.recordLoad(now);
    return running !== undefined || this.queue.length < queuedBefore;
  }

  stateOf(id: string): RequestState {
    if (this.queue.some(({ job }) => job.id === id)) return 'queued';
    const running = this.running.find(({ job }) => job.id === id);
    if (running === undefined) return 'unknown';
    return running.prefilledTokens < running.job.promptTokens ? 'prefilling' : 'decoding';
  }

  /** Reserves KV memory for a prompt that runs on another engine; false if there is too little. */
  reserve(tokens: number): boolean {
    if (this.freeTokens() < tokens) return false;
    this.evictFor(tokens);
    this.reserved += tokens;
    return true;
  }

  releaseReserved(tokens: number): void {
    this.reserved -= tokens;
  }

  get reservedTokens(): number {
    return this.reserved;
  }

  /** Begins a step; returns its duration in milliseconds, or undefined if no request is running. */
  beginStep(): number | undefined {
    this.admit();
    if (this.running.length === 0) return undefined;
    this.isStepping = true;
    return this.planStep();
  }

  /** Applies the step in progress and returns the tokens that it generated. */
  finishStep(now: number): Token[] {
    this.isStepping = false;
    const tokens: Token[] = [];
    [...this.running].forEach((running) => {
      const token = this.advance(running);
      if (token !== undefined) tokens.push(token);
    });
    this.recordLoad(now);
    return tokens;
  }

  /** The load that the engine reports, which lags by `loadLagMs`. */
  reportedLoad(now: number): Load {
    const asOf = now - this.options.loadLagMs;
    return this.loads.findLast(({ at }) => at <= asOf) ?? this.loads[0] ?? this.currentLoad(now);
  }

  /** The load at this moment, without the lag. */
  currentLoad(now: number): Load {
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

  /** Number of queued and running requests. */
  get requestCount(): number {
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
    this.loads.push(this.currentLoad(now));
    if (this.loads.length < MAX_LOAD_SAMPLES) return;
    const asOf = now - this.options.loadLagMs;
    const firstNeeded = this.loads.findLastIndex(({ at }) => at <= asOf);
    this.loads = this.loads.slice(Math.max(0, firstNeeded));
    if (this.loads.length >= MAX_LOAD_SAMPLES) {
      this.loads = this.loads.filter((_load, i) => i % 2 === 0);
    }
  }
}
