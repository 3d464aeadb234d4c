/**
 * A model of one engine as the users publish it: passes in which all writers get their next tokens and prompts are read
 * in pieces. Parts of prompts that several engines read come before others, the newest first; the order was found by
 * replaying the dispatches of a played day.
 */
import * as domain from '@celerydrift/domain';
import type * as eventQueue from '../mixed/eventQueue';

type Figures = domain.catalogue.catalogue.Engine;

interface Reading {
  request: string;
  isPart: boolean;
  leftTokens: number;
  msPerToken: number;
  onRead: () => void;
}

interface Writer {
  request: string;
  leftEvents: number;
  contextTokens: number;
  onEvent: (isLast: boolean) => void;
}

export class Engine {
  private parts: Reading[] = [];

  private wholes: Reading[] = [];

  private writers: Writer[] = [];

  private isRunning = false;

  /** Dark engines do nothing and say nothing; slow ones take so many times as long. */
  isDark = false;

  pace = 1;

  constructor(
    private readonly figures: Figures,
    private readonly events: eventQueue.EventQueue,
  ) {}

  /** Requests that write or wait for their reading here. */
  get slotsUsed(): number {
    return this.writers.length;
  }

  /** Reads one of `parts` equal parts of a prompt. */
  read(request: string, tokens: number, parts: number, onRead: () => void): void {
    const leftTokens = Math.max(1, tokens / parts);
    const readMs = domain.allocation.cost.readMs(this.figures, tokens, parts);
    const isPart = parts > 1;
    const reading = { request, isPart, leftTokens, msPerToken: readMs / leftTokens, onRead };
    if (isPart) this.parts.unshift(reading);
    else this.wholes.push(reading);
    this.run();
  }

  write(writer: Writer): void {
    this.writers.push(writer);
    this.run();
  }

  cancel(request: string): void {
    const isOther = (each: { request: string }): boolean => each.request !== request;
    this.parts = this.parts.filter(isOther);
    this.wholes = this.wholes.filter(isOther);
    this.writers = this.writers.filter(isOther);
  }

  /** Goes on after it was dark, without what it had. */
  restart(): void {
    this.parts = [];
    this.wholes = [];
    this.writers = [];
    this.isDark = false;
  }

  private run(): void {
    if (this.isRunning || this.isDark) return;
    if (this.parts.length + this.wholes.length + this.writers.length === 0) return;
    this.isRunning = true;
    const { chunkTokens, stepsPerPass } = this.figures;
    const steps = this.writers.length > 0 ? stepsPerPass : 1;
    const { readMs, done } = this.readUpTo(steps * chunkTokens);
    const served = [...this.writers];
    const ms = this.pace * (this.stepMs() * steps + readMs);
    this.events.at(this.events.now + ms, () => this.endPass(done, served));
  }

  private stepMs(): number {
    const context = this.writers.reduce((sum, { contextTokens }) => sum + contextTokens, 0);
    const { stepMs, writerStepMs, contextStepMs } = this.figures;
    return stepMs + this.writers.length * writerStepMs + (context / 1_000) * contextStepMs;
  }

  private readUpTo(budget: number): { readMs: number; done: Reading[] } {
    let left = budget;
    let readMs = 0;
    [...this.parts, ...this.wholes].forEach((reading) => {
      const taken = Math.min(left, reading.leftTokens);
      reading.leftTokens -= taken;
      left -= taken;
      readMs += taken * reading.msPerToken;
    });
    const isLeft = (reading: Reading): boolean => reading.leftTokens > 0;
    const done = [...this.parts, ...this.wholes].filter((reading) => !isLeft(reading));
    this.parts = this.parts.filter(isLeft);
    this.wholes = this.wholes.filter(isLeft);
    return { readMs, done };
  }

  private endPass(done: readonly Reading[], served: readonly Writer[]): void {
    this.isRunning = false;
    if (this.isDark) return;
    done.forEach(({ onRead }) => onRead());
    served.filter((writer) => this.writers.includes(writer)).forEach((each) => this.emit(each));
    this.run();
  }

  private emit(writer: Writer): void {
    writer.leftEvents -= 1;
    const isLast = writer.leftEvents <= 0;
    if (isLast) this.writers = this.writers.filter((each) => each !== writer);
    writer.onEvent(isLast);
  }
}
