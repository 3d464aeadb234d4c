/**
 * What a daemon believes about the work and memory on one target. Load reports arrive late, several
 * daemons send work at the same time, and an older system uses the engines unseen, so the belief is
 * put together from three parts: own dispatches that have shown no token yet (exact), the peers'
 * summaries of theirs (a second old), and what a report held beyond both when it was made (unseen).
 */
import * as band from './band';
import type * as cost from './cost';

/** A dispatched request that has shown no token yet. */
interface Pending {
  band: band.Band;
  tokens: number;
  dispatchedAt: number;
  /** Work ahead of it at its dispatch, in milliseconds. */
  aheadMs: number;
}

interface HeldMemory {
  tokens: number;
  since: number;
}

export interface Report {
  queuedTokens: number;
  streams: number;
  freeTokens: number;
  /** When the engine measured it, on this daemon's clock. */
  measuredAt: number;
}

/** Outstanding prompt tokens of other daemons on the target, by band. */
export type Outstanding = band.PerBand<number>;

export const NOTHING_OUTSTANDING: Outstanding = { short: 0, medium: 0, long: 0 };

/** An unseen lump of more tokens than this counts as long work. */
const LONG_BACKLOG_TOKENS = 100_000;

/** Prompt tokens that engines usually take into one step. */
const CHUNK_TOKENS = 3_072;

/** Own totals kept to compare with reports. */
const HISTORY_LENGTH = 64;

/** A report older than this says nothing about memory now; milliseconds. */
const MAX_REPORT_AGE_MS = 3_000;

interface Total {
  at: number;
  tokens: number;
}

export class Estimate {
  private readonly pending = new Map<string, Pending>();

  /** Memory of own requests, streaming ones included. */
  private readonly held = new Map<string, HeldMemory>();

  private peers: Outstanding = NOTHING_OUTSTANDING;

  private peersAt = 0;

  private unattributed = 0;

  private unattributedAt = 0;

  private report: Report | undefined;

  private history: Total[] = [];

  constructor(
    readonly costs: cost.Cost,
    private readonly memoryTokens: number,
  ) {}

  /** Running requests of this daemon on the target, streaming ones included. */
  get streams(): number {
    return this.held.size;
  }

  /** Prompt tokens of this daemon without a first token yet, by band. */
  outstanding(): Outstanding {
    const sums = { short: 0, medium: 0, long: 0 };
    this.pending.forEach((entry) => {
      sums[entry.band] += entry.tokens;
    });
    return sums;
  }

  /** Whether this daemon or, as far as known, a peer has a long prompt under way there. */
  hasLong(): boolean {
    return this.peers.long > 0 || [...this.pending.values()].some((entry) => entry.band === 'long');
  }

  pendingCount(): number {
    return this.pending.size;
  }

  /** Memory believed free, in tokens: the last report less what was sent there since. */
  freeTokens(now: number): number {
    const { report } = this;
    const isFresh = report !== undefined && now - report.measuredAt < MAX_REPORT_AGE_MS;
    const since = isFresh ? report.measuredAt : -Infinity;
    let free = isFresh ? report.freeTokens : this.memoryTokens;
    this.held.forEach((each) => {
      if (each.since >= since) free -= each.tokens;
    });
    return free;
  }

  dispatched(
    id: string,
    inBand: band.Band,
    tokens: number,
    memoryTokens: number,
    now: number,
  ): void {
    const aheadMs = this.aheadMs(inBand, now);
    this.pending.set(id, { band: inBand, tokens, dispatchedAt: now, aheadMs });
    this.held.set(id, { tokens: memoryTokens, since: now });
    this.recordTotal(now);
  }

  /** The first token came: the prompt is done, and its time teaches the cost of a token. */
  firstToken(id: string, now: number): void {
    const entry = this.pending.get(id);
    if (entry === undefined) return;
    this.pending.delete(id);
    this.recordTotal(now);
    this.costs.learn(entry.band, entry.tokens, now - entry.dispatchedAt, entry.aheadMs);
  }

  ended(id: string, now: number): void {
    this.pending.delete(id);
    this.held.delete(id);
    this.recordTotal(now);
  }

  setPeersOutstanding(outstanding: Outstanding, now: number): void {
    this.peers = outstanding;
    this.peersAt = now;
  }

  reported(report: Report): void {
    if (this.report !== undefined && report.measuredAt < this.report.measuredAt) return;
    this.report = report;
    const { short, medium, long } = this.peers;
    const known = this.ownTokensAt(report.measuredAt) + short + medium + long;
    this.unattributed = Math.max(0, report.queuedTokens - known);
    // The engine has worked on it since the measurement, not only since the report's arrival.
    this.unattributedAt = report.measuredAt;
  }

  /**
   * Milliseconds of work that a request of this band would wait for. Engines honour priorities, and
   * shorter bands are sent with higher ones, so longer bands don't count.
   */
  aheadMs(inBand: band.Band, now: number): number {
    const upTo = band.BANDS.indexOf(inBand);
    const counted = band.BANDS.slice(0, upTo + 1);
    const ms = counted.reduce((sum, each) => sum + this.knownMs(each, now), 0);
    return ms + this.unattributedMs(inBand, now);
  }

  /** Known waiting work of one band alone, in milliseconds. */
  knownMs(inBand: band.Band, now: number): number {
    const perToken = this.costs.perToken(inBand);
    const own = this.outstanding()[inBand] * perToken;
    // What peers told drains as the engine works on it, one millisecond each millisecond at best.
    const peers = this.peers[inBand] * perToken;
    return own + Math.max(0, peers - Math.max(0, now - this.peersAt));
  }

  /**
   * Milliseconds until a step under way with a chunk of longer work ends, on average. Priorities act
   * between steps, so this is what a request of `inBand` waits even when it goes first.
   */
  residualMs(inBand: band.Band, now: number): number {
    const longer = band.BANDS.slice(band.BANDS.indexOf(inBand) + 1).reverse();
    const running = longer.find((each) => this.knownMs(each, now) > 0);
    const unattributedBand =
      this.unattributed > LONG_BACKLOG_TOKENS && inBand !== 'long' ? 'long' : undefined;
    const longest = running ?? unattributedBand;
    return longest === undefined ? 0 : (CHUNK_TOKENS / 2) * this.costs.perToken(longest);
  }

  /**
   * Work that a report showed beyond what was known then. A lump longer than a medium prompt is most
   * likely a peer's long prompt, which waits for shorter ones and not they for it.
   */
  private unattributedMs(inBand: band.Band, now: number): number {
    if (inBand !== 'long' && this.unattributed > LONG_BACKLOG_TOKENS) return 0;
    const ms = this.unattributed * this.costs.perToken('medium');
    return Math.max(0, ms - Math.max(0, now - this.unattributedAt));
  }

  private recordTotal(now: number): void {
    const { short, medium, long } = this.outstanding();
    this.history.push({ at: now, tokens: short + medium + long });
    if (this.history.length > HISTORY_LENGTH * 2)
      this.history = this.history.slice(-HISTORY_LENGTH);
  }

  private ownTokensAt(at: number): number {
    return this.history.findLast((total) => total.at <= at)?.tokens ?? 0;
  }
}
