/**
 * Estimates the work and memory on one target. Load reports arrive late, several daemons dispatch
 * at the same time, and an older system uses the engines invisibly. So the estimate has three
 * parts: own dispatches without a first token yet (exact), the peers' summaries of theirs (a second
 * old), and what a report contained beyond both when it was measured (unattributed).
 */
import * as band from './band';
import type * as cost from './cost';

/** A dispatched request without a first token yet. */
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

/** Unattributed work of more tokens than this counts as a long prompt. */
const LONG_BACKLOG_TOKENS = 100_000;

/** Prompt tokens that engines usually prefill per step. */
const CHUNK_TOKENS = 3_072;

/** Number of own totals kept for comparison with reports. */
const HISTORY_LENGTH = 64;

/** A report older than this is ignored for memory; milliseconds. */
const MAX_REPORT_AGE_MS = 3_000;

interface Total {
  at: number;
  tokens: number;
}

export class Estimate {
  private readonly pending = new Map<string, Pending>();

  /** Memory of own requests, including those that stream. */
  private readonly heldMemory = new Map<string, HeldMemory>();

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

  /** Running requests of this daemon on the target, including those that stream. */
  get streams(): number {
    return this.heldMemory.size;
  }

  /** Prompt tokens of this daemon without a first token yet, by band. */
  outstanding(): Outstanding {
    const sums = { short: 0, medium: 0, long: 0 };
    this.pending.forEach((pendingRequest) => {
      sums[pendingRequest.band] += pendingRequest.tokens;
    });
    return sums;
  }

  /** Whether this daemon or, as far as known, a peer has a long prompt in progress there. */
  hasLong(): boolean {
    return (
      this.peers.long > 0 ||
      [...this.pending.values()].some((pendingRequest) => pendingRequest.band === 'long')
    );
  }

  pendingCount(): number {
    return this.pending.size;
  }

  /** Estimated free memory, in tokens: the last report less what was dispatched since. */
  freeTokens(now: number): number {
    const { report } = this;
    const isFresh = report !== undefined && now - report.measuredAt < MAX_REPORT_AGE_MS;
    const since = isFresh ? report.measuredAt : -Infinity;
    let free = isFresh ? report.freeTokens : this.memoryTokens;
    this.heldMemory.forEach((each) => {
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
    this.heldMemory.set(id, { tokens: memoryTokens, since: now });
    this.recordTotal(now);
  }

  /** Records the first token: the prefill is done, and its duration updates the cost per token. */
  firstToken(id: string, now: number): void {
    const pendingRequest = this.pending.get(id);
    if (pendingRequest === undefined) return;
    this.pending.delete(id);
    this.recordTotal(now);
    this.costs.learn(
      pendingRequest.band,
      pendingRequest.tokens,
      now - pendingRequest.dispatchedAt,
      pendingRequest.aheadMs,
    );
  }

  ended(id: string, now: number): void {
    this.pending.delete(id);
    this.heldMemory.delete(id);
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
    const knownTokens = this.ownTokensAt(report.measuredAt) + short + medium + long;
    this.unattributed = Math.max(0, report.queuedTokens - knownTokens);
    // The engine has worked on it since the measurement, not only since the report arrived.
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

  /** Known waiting work of one band, in milliseconds. */
  knownMs(inBand: band.Band, now: number): number {
    const perToken = this.costs.perToken(inBand);
    const own = this.outstanding()[inBand] * perToken;
    // The peers' work drains as the engine processes it, by at most one millisecond per
    // millisecond.
    const peers = this.peers[inBand] * perToken;
    return own + Math.max(0, peers - Math.max(0, now - this.peersAt));
  }

  /**
   * Mean time until a step with a chunk of longer work ends, in milliseconds. Priorities act
   * between steps, so a request of `inBand` waits this long even when it is first.
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
   * Work that a report contained beyond the known dispatches. More than a medium prompt is most
   * likely a peer's long prompt, which waits for shorter ones and doesn't delay them.
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
