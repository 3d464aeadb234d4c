/**
 * Simulated engine with the published performance parameters. It works in passes of one or more engine steps; a pass
 * decodes for all active requests and prefills waiting prompts in chunks. Parts of prompts that several engines prefill
 * come before whole prompts, the newest part first: the order that a replay of recorded dispatches showed.
 */
import * as domain from '@celerydrift/domain';
import type * as eventQueue from '../mixed/eventQueue';

type EngineParameters = domain.catalogue.catalogue.Engine;

interface Prefill {
  request: string;
  isPart: boolean;
  remainingTokens: number;
  msPerToken: number;
  onPrefilled: () => void;
}

interface Decode {
  request: string;
  remainingEvents: number;
  contextTokens: number;
  onEvent: (isLast: boolean) => void;
}

export class Engine {
  private prefillParts: Prefill[] = [];

  private wholePrefills: Prefill[] = [];

  private decodes: Decode[] = [];

  private isPassRunning = false;

  /** An unresponsive engine runs no passes and reports nothing. */
  isUnresponsive = false;

  /** Factor on the duration of each pass. */
  slowdown = 1;

  constructor(
    private readonly parameters: EngineParameters,
    private readonly events: eventQueue.EventQueue,
  ) {}

  /** Number of requests that decode here. */
  get slotsUsed(): number {
    return this.decodes.length;
  }

  /** Queues one of `parts` equal parts of a prompt of `tokens`; calls `onPrefilled` when it is done. */
  prefill(request: string, tokens: number, parts: number, onPrefilled: () => void): void {
    const remainingTokens = Math.max(1, tokens / parts);
    const prefillMs = domain.allocation.cost.prefillMs(this.parameters, tokens, parts);
    const isPart = parts > 1;
    const part = {
      request,
      isPart,
      remainingTokens,
      msPerToken: prefillMs / remainingTokens,
      onPrefilled,
    };
    if (isPart) this.prefillParts.unshift(part);
    else this.wholePrefills.push(part);
    this.startPass();
  }

  decode(decode: Decode): void {
    this.decodes.push(decode);
    this.startPass();
  }

  cancel(request: string): void {
    const isOther = (each: { request: string }): boolean => each.request !== request;
    this.prefillParts = this.prefillParts.filter(isOther);
    this.wholePrefills = this.wholePrefills.filter(isOther);
    this.decodes = this.decodes.filter(isOther);
  }

  /** Comes back after being unresponsive, without the requests it had. */
  restart(): void {
    this.prefillParts = [];
    this.wholePrefills = [];
    this.decodes = [];
    this.isUnresponsive = false;
  }

  private startPass(): void {
    if (this.isPassRunning || this.isUnresponsive) return;
    if (this.prefillParts.length + this.wholePrefills.length + this.decodes.length === 0) return;
    this.isPassRunning = true;
    const { chunkTokens, stepsPerPass } = this.parameters;
    const steps = this.decodes.length > 0 ? stepsPerPass : 1;
    const { prefillMs, done } = this.prefillUpTo(steps * chunkTokens);
    const decoding = [...this.decodes];
    const ms = this.slowdown * (this.stepMs() * steps + prefillMs);
    this.events.at(this.events.now + ms, () => this.endPass(done, decoding));
  }

  private stepMs(): number {
    const context = this.decodes.reduce((sum, { contextTokens }) => sum + contextTokens, 0);
    const { stepMs, writerStepMs, contextStepMs } = this.parameters;
    return stepMs + this.decodes.length * writerStepMs + (context / 1_000) * contextStepMs;
  }

  private prefillUpTo(budgetTokens: number): { prefillMs: number; done: Prefill[] } {
    let remaining = budgetTokens;
    let prefillMs = 0;
    [...this.prefillParts, ...this.wholePrefills].forEach((prefill) => {
      const taken = Math.min(remaining, prefill.remainingTokens);
      prefill.remainingTokens -= taken;
      remaining -= taken;
      prefillMs += taken * prefill.msPerToken;
    });
    const isUnfinished = (prefill: Prefill): boolean => prefill.remainingTokens > 0;
    const done = [...this.prefillParts, ...this.wholePrefills].filter(
      (prefill) => !isUnfinished(prefill),
    );
    this.prefillParts = this.prefillParts.filter(isUnfinished);
    this.wholePrefills = this.wholePrefills.filter(isUnfinished);
    return { prefillMs, done };
  }

  private endPass(done: readonly Prefill[], decoding: readonly Decode[]): void {
    this.isPassRunning = false;
    if (this.isUnresponsive) return;
    done.forEach(({ onPrefilled }) => onPrefilled());
    decoding.filter((decode) => this.decodes.includes(decode)).forEach((each) => this.emit(each));
    this.startPass();
  }

  private emit(decode: Decode): void {
    decode.remainingEvents -= 1;
    const isLast = decode.remainingEvents <= 0;
    if (isLast) this.decodes = this.decodes.filter((each) => each !== decode);
    decode.onEvent(isLast);
  }
}
