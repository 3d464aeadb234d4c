/**
 * The waiting requests of one band: weighted fair queueing by tokens between organisations
 * (start-time fair queueing; Goyal, Vin, Cheng, 1996) within priority classes, with ageing so that
 * no class starves. The caller bounds tokens and requests and refuses what exceeds them.
 */
import * as virtualTime from '../contention/virtualTime';
import * as document from '../settings/document';

export interface Item {
  id: string;
  organisation: string;
  share: number;
  priority: document.Priority;
  tokens: number;
  enqueuedAt: number;
}

const PRIORITY_CLASS: Record<document.Priority, number> = { high: 0, normal: 1, low: 2 };

/** Waiting this long raises a request by one priority class. */
export const DEFAULT_AGEING_MS = 5_000;

export interface Tagged<T extends Item> {
  item: T;
  /** Virtual time at which its organisation's share allows it to start. */
  start: number;
}

export class FairQueue<T extends Item> {
  private readonly waiting: Tagged<T>[] = [];

  private readonly virtualTime = new virtualTime.VirtualTime();

  private waitingTokens = 0;

  constructor(private readonly ageingMs: number = DEFAULT_AGEING_MS) {}

  get length(): number {
    return this.waiting.length;
  }

  /** Prompt tokens waiting. */
  get tokens(): number {
    return this.waitingTokens;
  }

  push(item: T): void {
    const start = this.virtualTime.startOf(item.organisation);
    this.virtualTime.charge(item.organisation, start, item.tokens / item.share);
    this.waiting.push({ item, start });
    this.waitingTokens += item.tokens;
  }

  /** Puts back a request that a target refused, at its previous place in the queue. */
  putBack(item: T, start: number): void {
    this.waiting.push({ item, start });
    this.waitingTokens += item.tokens;
  }

  /** The request to serve next, without removing it. */
  peek(now: number): T | undefined {
    return this.best(now)?.item;
  }

  /** Removes one request, normally the one that `peek` returned. */
  remove(id: string): Tagged<T> | undefined {
    const position = this.waiting.findIndex(({ item }) => item.id === id);
    if (position === -1) return undefined;
    const [removed] = this.waiting.splice(position, 1) as [Tagged<T>];
    this.waitingTokens -= removed.item.tokens;
    this.virtualTime.advance(removed.start);
    if (this.waiting.length === 0) this.virtualTime.clear();
    return removed;
  }

  items(): T[] {
    return this.waiting.map(({ item }) => item);
  }

  private best(now: number): Tagged<T> | undefined {
    return this.waiting.reduce<Tagged<T> | undefined>((best, candidate) => {
      if (best === undefined) return candidate;
      const difference = this.rank(candidate, now) - this.rank(best, now);
      const first = difference < 0 || (difference === 0 && candidate.start < best.start);
      return first ? candidate : best;
    }, undefined);
  }

  private rank({ item }: Tagged<T>, now: number): number {
    const raised = Math.floor((now - item.enqueuedAt) / this.ageingMs);
    return Math.max(0, PRIORITY_CLASS[item.priority] - raised);
  }
}
