/**
 * A model of one engine as the users publish it: passes in which all writers get their next tokens and prompts are read
 * in pieces. Parts of prompts that several engines read come before others, the newest first; the order was found by
 * replaying the dispatches of a played day.
 */
import * as domain from '@celerydrift/domain';
import type * as eventQueue from '../mixed/eventQueue';

type EngineParameters = domain.catalogue.catalogue.Engine;

interface Prefill {
  request: string;
  isPart: boolean;
  leftTokens: number;
  msPerToken: number;
  onRead: () => void;
}

interface Decode {
  request: string;
  leftEvents: number;
  contextTokens: number;
  onEvent: (isLast: boolean) => void;
}

export class Engine {
  private prefillParts: Prefill[] = [];

  private wholePrefills: Prefill[] = [];

  private decodes: Decode[] = [];

  private isStepping = false;

  /** Dark engines do nothing and say nothing; slow ones take so many times as long. */
  isUnresponsive = false;

  slowdown = 1;

  constructor(
    private readonly parameters: EngineParameters,
    private readonly events: eventQueue.EventQueue,
  ) {}

  /** Requests that write or wait for their reading here. */
  get slotsUsed(): number {
    return this.decodes.length;
  }

  /** Reads one of `parts` equal parts of a prompt. */
  prefill(request: string, tokens: number, parts: number, onRead: () => void): void {
    const leftTokens = Math.max(1, tokens / parts);
    const readMs = domain.allocation.cost.readMs(this.parameters, tokens, parts);
    const isPart = parts > 1;
    const reading = { request, isPart, leftTokens, msPerToken: readMs / leftTokens, onRead };
    if (isPart) this.prefillParts.unshift(reading);
    else this.wholePrefills.push(reading);
    this.startPass();
  }

  decode(writer: Decode): void {
    this.decodes.push(writer);
    this.startPass();
  }

  cancel(request: string): void {
    const isOther = (each: { request: string }): boolean => each.request !== request;
    this.prefillParts = this.prefillParts.filter(isOther);
    this.wholePrefills = this.wholePrefills.filter(isOther);
    this.decodes = this.decodes.filter(isOther);
  }

  /** Goes on after it was dark, without what it had. */
  restart(): void {
    this.prefillParts = [];
    this.wholePrefills = [];
    this.decodes = [];
    this.isUnresponsive = false;
  }

  private startPass(): void {
    if (this.isStepping || this.isUnresponsive) return;
    if (this.prefillParts.length + this.wholePrefills.length + this.decodes.length === 0) return;
    this.isStepping = true;
    const { chunkTokens, stepsPerPass } = this.parameters;
    const steps = this.decodes.length > 0 ? stepsPerPass : 1;
    const { readMs, done } = this.prefillUpTo(steps * chunkTokens);
    const served = [...this.decodes];
    const ms = this.slowdown * (this.stepMs() * steps + readMs);
    this.events.at(this.events.now + ms, () => this.endPass(done, served));
  }

  private stepMs(): number {
    const context = this.decodes.reduce((sum, { contextTokens }) => sum + contextTokens, 0);
    const { stepMs, writerStepMs, contextStepMs } = this.parameters;
    return stepMs + this.decodes.length * writerStepMs + (context / 1_000) * contextStepMs;
  }

  private prefillUpTo(budget: number): { readMs: number; done: Prefill[] } {
    let left = budget;
    let readMs = 0;
    [...this.prefillParts, ...this.wholePrefills].forEach((reading) => {
      const taken = Math.min(left, reading.leftTokens);
      reading.leftTokens -= taken;
      left -= taken;
      readMs += taken * reading.msPerToken;
    });
    const isLeft = (reading: Prefill): boolean => reading.leftTokens > 0;
    const done = [...this.prefillParts, ...this.wholePrefills].filter(
      (reading) => !isLeft(reading),
    );
    this.prefillParts = this.prefillParts.filter(isLeft);
    this.wholePrefills = this.wholePrefills.filter(isLeft);
    return { readMs, done };
  }

  private endPass(done: readonly Prefill[], served: readonly Decode[]): void {
    this.isStepping = false;
    if (this.isUnresponsive) return;
    done.forEach(({ onRead }) => onRead());
    served.filter((writer) => this.decodes.includes(writer)).forEach((each) => this.emit(each));
    this.startPass();
  }

  private emit(writer: Decode): void {
    writer.leftEvents -= 1;
    const isLast = writer.leftEvents <= 0;
    if (isLast) this.decodes = this.decodes.filter((each) => each !== writer);
    writer.onEvent(isLast);
  }
}
