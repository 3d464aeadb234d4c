/**
 * What a daemon believes about the work waiting on one target. Load reports arrive late, several
 * daemons send work at the same time, and an older system uses the engines unseen, so the belief is
 * put together from three parts: own dispatches that have shown no token yet (exact), the peers'
 * summaries of theirs (a second old), and what a report held beyond both when it was made (unseen).
 */
import * as band from './band';

/** A dispatched request that has shown no token yet. */
interface Pending {
  band: band.Band;
  tokens: number;
  dispatchedAt: number;
  /** Work ahead of it at its dispatch, in milliseconds. */
  aheadMs: number;
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

/** First guess of the cost of one prompt token, in milliseconds, until answers teach better. */
const INITIAL_COST_MS = 0.01;

/** Weight of a new observation of cost. */
const LEARNING_WEIGHT = 0.05;

/** Observations outside this factor of the present belief are clipped to it. */
const CLIP = 3;

/** Fixed time of a request on an idle engine, in milliseconds: one step. */
const BASE_MS = 12;

/** How long the history of own totals is kept to compare with reports, in milliseconds. */
const HISTORY_MS = 5_000;

/** Share of a peer summary or unseen load that is believed gone after this many milliseconds. */
const FADE_MS = 1_000;

interface Total {
  at: number;
  tokens: number;
}

export class Estimate {
  private readonly pending = new Map<string, Pending>();

  private readonly costs: band.PerBand<number> = {
    short: INITIAL_COST_MS,
    medium: INITIAL_COST_MS,
    long: INITIAL_COST_MS,
  };

  private peers: Outstanding = NOTHING_OUTSTANDING;

  private peersAt = 0;

  private unseen = 0;

  private unseenAt = 0;

  private report: Report | undefined;

  private history: Total[] = [];

  private running = 0;

  /** Running requests of this daemon on the target, streaming ones included. */
  get streams(): number {
    return this.running;
  }

  /** Prompt tokens of this daemon without a first token yet, by band. */
  outstanding(): Outstanding {
    const sums = { short: 0, medium: 0, long: 0 };
    this.pending.forEach((entry) => {
      sums[entry.band] += entry.tokens;
    });
    return sums;
  }

  /** Whether this daemon or, as far as known, a peer has a prompt longer than `limit` under way. */
  hasLong(): boolean {
    return this.peers.long > 0 || [...this.pending.values()].some((entry) => entry.band === 'long');
  }

  pendingCount(): number {
    return this.pending.size;
  }

  freeTokens(fallback: number): number {
    return this.report?.freeTokens ?? fallback;
  }

  dispatched(id: string, inBand: band.Band, tokens: number, now: number): void {
    const aheadMs = this.aheadMs(inBand, now);
    this.pending.set(id, { band: inBand, tokens, dispatchedAt: now, aheadMs });
    this.running += 1;
    this.remember(now);
  }

  /** The first token came: the prompt is done, and its time teaches the cost of a token. */
  firstToken(id: string, now: number): void {
    const entry = this.pending.get(id);
    if (entry === undefined) return;
    this.pending.delete(id);
    this.remember(now);
    this.learn(entry, now);
  }

  ended(id: string, now: number): void {
    this.pending.delete(id);
    this.running = Math.max(0, this.running - 1);
    this.remember(now);
  }

  peersReported(outstanding: Outstanding, now: number): void {
    this.peers = outstanding;
    this.peersAt = now;
  }

  reported(report: Report, now: number): void {
    this.report = report;
    const known = this.ownAt(report.measuredAt) + this.peerTokens(report.measuredAt);
    this.unseen = Math.max(0, report.queuedTokens - known);
    this.unseenAt = now;
  }

  /** Milliseconds of one prompt of this size on the idle target. */
  serviceMs(inBand: band.Band, tokens: number): number {
    return BASE_MS + tokens * this.costs[inBand];
  }

  /**
   * Milliseconds of work that a request of this band would wait for. Engines honour priorities, and
   * shorter bands are sent with higher ones, so longer bands don't count.
   */
  aheadMs(inBand: band.Band, now: number): number {
    const upTo = band.BANDS.indexOf(inBand);
    const counted = band.BANDS.slice(0, upTo + 1);
    const own = this.outstanding();
    const faded = this.fade(now - this.peersAt);
    const ms = counted.reduce(
      (sum, each) => sum + (own[each] + this.peers[each] * faded) * this.costs[each],
      0,
    );
    return ms + this.unseen * this.fade(now - this.unseenAt) * this.costs.medium;
  }

  /** All waiting work in milliseconds, whatever its band. */
  totalMs(now: number): number {
    return this.aheadMs('long', now);
  }

  private fade(age: number): number {
    return Math.exp(-Math.max(0, age) / FADE_MS);
  }

  private peerTokens(at: number): number {
    const { short, medium, long } = this.peers;
    return (short + medium + long) * this.fade(at - this.peersAt);
  }

  private remember(now: number): void {
    const { short, medium, long } = this.outstanding();
    this.history.push({ at: now, tokens: short + medium + long });
    if (this.history.length > 64) {
      this.history = this.history.filter(({ at }) => now - at < HISTORY_MS).slice(-64);
    }
  }

  private ownAt(at: number): number {
    return this.history.findLast((total) => total.at <= at)?.tokens ?? 0;
  }

  private learn(entry: Pending, now: number): void {
    // Waiting blurs the measurement, so only requests that hardly waited teach.
    const took = now - entry.dispatchedAt - BASE_MS;
    if (took <= 0 || entry.tokens < 512 || entry.aheadMs > took / 4) return;
    const believed = this.costs[entry.band];
    const seen = Math.min(believed * CLIP, Math.max(believed / CLIP, took / entry.tokens));
    this.costs[entry.band] = believed + LEARNING_WEIGHT * (seen - believed);
  }
}
