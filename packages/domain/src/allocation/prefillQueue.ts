/**
 * The prefill queue of one engine, in the order in which engines prefill. Parts of divided prompts
 * go before whole prompts, and a newer part before an older one. An engine on which nothing decodes
 * starts the newest part at once and preempts an older one. On an engine with decoding requests, a
 * step prefills everything that is queued when it begins, and later arrivals wait for its end.
 *
 * Predictions depend on this order: in a replay of dispatches, 99 in 100 prompts of over 100k tokens
 * had their first token within 1.27 times the predicted time; with predictions for parts in order
 * of arrival, within 4 times.
 */
import type * as prefills from './prefill';

/** The part of a prompt that this engine prefills. */
export interface PrefillPart {
  prefill: prefills.Prefill;
  /** Whether other engines prefill parts of the same prompt. */
  isPart: boolean;
  /** Remaining work, milliseconds of this engine. */
  leftMs: number;
}

/** The engine state that determines the duration of its steps. */
export interface DecodeState {
  /** Whether any request decodes here. */
  readonly isDecoding: boolean;
  /** Duration of an engine step without prefill, milliseconds. */
  engineStepMs(): number;
}

/** A queued part and when its prefill ends, if nothing is added. */
export interface PendingPart {
  prefill: prefills.Prefill;
  endsAt: number;
}

interface EngineStep {
  endsAt: number;
  parts: PrefillPart[];
}

export class PrefillQueue {
  /** The next part first. */
  private waiting: PrefillPart[] = [];

  private step: EngineStep | undefined;

  private clock = 0;

  constructor(private readonly decodeState: DecodeState) {}

  add(part: PrefillPart, now: number): void {
    this.advance(now);
    // A step without prefill was under way; its phase is unknown, so assume half of it is left.
    if (this.step === undefined && this.decodeState.isDecoding && this.waiting.length === 0) {
      this.step = { endsAt: now + this.decodeState.engineStepMs() / 2, parts: [] };
    }
    if (part.isPart) this.waiting.unshift(part);
    else this.waiting.push(part);
  }

  remove(request: string, now: number): void {
    this.advance(now);
    const isOtherRequest = (part: PrefillPart): boolean => part.prefill.request !== request;
    this.waiting = this.waiting.filter(isOtherRequest);
    if (this.step !== undefined) this.step.parts = this.step.parts.filter(isOtherRequest);
  }

  has(request: string): boolean {
    const isSameRequest = (part: PrefillPart): boolean => part.prefill.request === request;
    return this.waiting.some(isSameRequest) || this.step?.parts.some(isSameRequest) === true;
  }

  /** Whether nothing is left to prefill. */
  isIdle(now: number): boolean {
    this.advance(now);
    return this.waiting.length === 0 && this.step === undefined;
  }

  /**
   * Time until the current engine step ends, milliseconds; half a step for one without prefill, as
   * its phase is unknown.
   */
  stepRestMs(now: number): number {
    this.advance(now);
    if (this.step !== undefined) return this.step.endsAt - now;
    return this.decodeState.isDecoding ? this.decodeState.engineStepMs() / 2 : 0;
  }

  /** Prefill work queued for the next step, milliseconds. */
  waitingMs(now: number): number {
    this.advance(now);
    return this.waiting.reduce((sum, { leftMs }) => sum + leftMs, 0);
  }

  /** Queued parts, which one more part would delay. */
  pendingParts(now: number): PendingPart[] {
    this.advance(now);
    let endsAt = now + this.stepRestMs(now);
    if (this.decodeState.isDecoding) {
      endsAt += this.waitingMs(now) + this.decodeState.engineStepMs();
      return this.waiting.map((part) => ({ prefill: part.prefill, endsAt }));
    }
    return this.waiting.map((part) => {
      endsAt += part.leftMs;
      return { prefill: part.prefill, endsAt };
    });
  }

  completionTime(prefill: prefills.Prefill, now: number): number | undefined {
    this.advance(now);
    if (this.step?.parts.some((part) => part.prefill === prefill) === true) {
      return this.step.endsAt;
    }
    return this.pendingParts(now).find((part) => part.prefill === prefill)?.endsAt;
  }

  private advance(now: number): void {
    while (this.clock < now) {
      if (this.step !== undefined) {
        if (this.step.endsAt > now) break;
        this.clock = Math.max(this.clock, this.step.endsAt);
        this.step = undefined;
      } else if (this.waiting.length === 0) break;
      else if (this.decodeState.isDecoding) this.beginStep();
      else this.prefillNext(now);
    }
    this.clock = Math.max(this.clock, now);
  }

  private beginStep(): void {
    const prefillMs = this.waiting.reduce((sum, { leftMs }) => sum + leftMs, 0);
    const endsAt = this.clock + prefillMs + this.decodeState.engineStepMs();
    this.step = { endsAt, parts: this.waiting.splice(0) };
  }

  /** Prefills the first queued part until it is done or `now` is reached. */
  private prefillNext(now: number): void {
    const [next] = this.waiting;
    const doneMs = Math.min(next.leftMs, now - this.clock);
    next.leftMs -= doneMs;
    this.clock += doneMs;
    if (next.leftMs <= 0) this.waiting.shift();
  }
}
