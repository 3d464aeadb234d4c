/**
 * Rate limits that targets announce: how many requests per second each accepts from the whole
 * fleet. One process at a time, the leader, hands out all of a limit; without a leader each entry
 * hands out its own share. A process begins with an empty bucket, as it doesn't know what its
 * predecessor handed out and both together must stay within the limit.
 *
 * A limit belongs to the address at which a target listens. A target that restarts there, under
 * whatever id, is limited until an answer of its own shows otherwise.
 *
 * A second limit may apply at an address while its target is cold. The leader sets and ends it;
 * answers don't. It allows no bursts, as a cold target crashes from them: over any second it admits
 * no more than its rate.
 */
import * as tokenBucket from './tokenBucket';

/** The service and address at which a target listens. */
export interface Endpoint {
  service: string;
  /** HOST:PORT. */
  address: string;
}

/** The limit at an address, requests per second; undefined where it ended. */
export interface RateLimit extends Endpoint {
  perSecond: number | undefined;
  /** Absent for a limit that the target reported itself. */
  source?: 'cold';
}

/**
 * Seconds between two canary requests to a target that accepts none: without any, its recovery
 * would go unnoticed.
 */
const CANARY_INTERVAL_SECONDS = 10;

/** How long a limit is kept after a target last listened at its address, milliseconds. */
const RETENTION_MS = 60_000;

/**
 * Liveness probes may owe one token more than requests; otherwise a busy target could never be
 * probed.
 */
const PROBE_DEBT_TOKENS = 1;

/**
 * A probe that only shows whether a path is back may be one in this many messages to a target.
 * Liveness probes take precedence over requests, and those on lost paths come all the time, from
 * each VM that lost them: without a bound they would take all that the limit admits.
 */
const MESSAGES_PER_PATH_PROBE = 5;

/**
 * Requests to a cold target are spaced as if a second were longer by this factor, since their
 * transit times differ.
 */
const COLD_SPACING = 1.05;

/** The part of a cold limit that this process hands out, from 0 to 1. */
export type ColdShare = (limit: RateLimit) => number;

interface Limited extends Endpoint {
  source: RateLimit['source'];
  perSecond: number;
  /** Messages per second that this process may send or grant. */
  rate: number;
  bucket: tokenBucket.TokenBucket;
  /** When this process learned of the limit. */
  knownAt: number;
  /** When a target last listened at the address. */
  servedAt: number;
  /** When a probe of a lost path was last admitted. */
  pathProbedAt: number;
}

export class RateLimits {
  /** Limits that targets reported. */
  private readonly reported = new Map<string, Limited>();

  /** Limits of cold targets. */
  private readonly cold = new Map<string, Limited>();

  /** Share of each reported limit that this process hands out, from 0 to 1. */
  private share = 0;

  private coldShare: ColdShare = () => 0;

  /** Number of limits of either sort. */
  get size(): number {
    return this.reported.size + this.cold.size;
  }

  get coldSize(): number {
    return this.cold.size;
  }

  /**
   * Sets the share of each reported limit that this process hands out; it starts with empty buckets.
   */
  setShare(share: number, now: number): void {
    if (share === this.share) return;
    this.share = share;
    this.reported.forEach((each) => this.restart(each, now));
  }

  /** Sets the share of each cold limit; the buckets of those that change start empty. */
  setColdShare(share: ColdShare, now: number): void {
    this.coldShare = share;
    this.cold.forEach((each) => {
      if (this.rateOf(each) !== each.rate) this.restart(each, now);
    });
  }

  /** The reported limit at an address; undefined where there is none. */
  limitAt(endpoint: Endpoint): number | undefined {
    return this.reported.get(keyOf(endpoint))?.perSecond;
  }

  /** When the reported limit at an address became known; undefined where there is none. */
  knownSince(endpoint: Endpoint): number | undefined {
    return this.reported.get(keyOf(endpoint))?.knownAt;
  }

  /** Sets or ends a limit; returns whether anything changed. */
  set({ service, address, perSecond, source }: RateLimit, now: number): boolean {
    const limits = this.limitsOf(source);
    const key = keyOf({ service, address });
    const current = limits.get(key);
    if (current?.perSecond === perSecond) return false;
    if (perSecond === undefined) {
      limits.delete(key);
    } else if (current === undefined) {
      limits.set(key, this.create({ service, address, perSecond, source }, now));
    } else {
      current.perSecond = perSecond;
      current.rate = this.rateOf(current);
      current.bucket.setRate(current.rate, now);
    }
    return true;
  }

  /** Replaces the known limits by those of another process; returns whether anything changed. */
  setAll(limits: readonly RateLimit[], now: number): boolean {
    const kept = new Set(limits.map(sourcedKeyOf));
    const ended = this.all()
      .filter((limit) => !kept.has(sourcedKeyOf(limit)))
      .map((limit) => ({ ...limit, perSecond: undefined }));
    return [...ended, ...limits].filter((limit) => this.set(limit, now)).length > 0;
  }

  all(): RateLimit[] {
    const reported = [...this.reported.values()].map(({ service, address, perSecond }) => {
      return { service, address, perSecond };
    });
    return [...reported, ...this.allCold()];
  }

  allCold(): RateLimit[] {
    return [...this.cold.values()].map(({ service, address, perSecond }) => {
      return { service, address, perSecond, source: 'cold' };
    });
  }

  isLimited(endpoint: Endpoint): boolean {
    return this.find(endpoint).length > 0;
  }

  isCold(endpoint: Endpoint): boolean {
    return this.cold.size > 0 && this.cold.has(keyOf(endpoint));
  }

  /** The rate of a cold target at an address; undefined where none is known to be cold. */
  coldRateAt(endpoint: Endpoint): number | undefined {
    return this.cold.get(keyOf(endpoint))?.perSecond;
  }

  /** Whether a request may be sent to an address now. */
  maySend(endpoint: Endpoint, now: number): boolean {
    return this.find(endpoint).every(({ bucket }) => bucket.isReady(now));
  }

  /**
   * Whether a liveness probe may be sent to an address now. To a cold target it counts like a
   * request, since one more message may be too many.
   */
  mayProbe(endpoint: Endpoint, now: number): boolean {
    return this.find(endpoint).every(({ bucket, source }) => {
      if (source === 'cold') return bucket.isReady(now);
      return this.share > 0 && bucket.levelAt(now) >= 1 - PROBE_DEBT_TOKENS;
    });
  }

  /**
   * Milliseconds until a probe may be sent to an address that only shows whether a path is back;
   * infinite where this process hands out nothing.
   */
  pathProbeWaitMs(endpoint: Endpoint, now: number): number {
    const waits = this.find(endpoint).map(({ bucket, source, rate, pathProbedAt }) => {
      if (rate === 0) return Infinity;
      const tokens = source === 'cold' ? 1 : 1 - PROBE_DEBT_TOKENS;
      const untilAdmitted = (tokens - bucket.levelAt(now)) / rate;
      const untilDue = MESSAGES_PER_PATH_PROBE / rate - (now - pathProbedAt) / 1_000;
      return Math.max(untilAdmitted, untilDue) * 1_000;
    });
    return Math.max(0, ...waits);
  }

  /** Counts a probe of a lost path that was sent or will be. */
  countPathProbe(endpoint: Endpoint, now: number): void {
    this.find(endpoint).forEach((limited) => {
      limited.bucket.take(1, now);
      limited.pathProbedAt = now;
    });
  }

  /** Messages that may be sent to an address at once; infinite where there is no limit. */
  availableTokens(endpoint: Endpoint, now: number): number {
    return Math.min(Infinity, ...this.find(endpoint).map(({ bucket }) => bucket.levelAt(now)));
  }

  /** Counts messages that were sent or will be. */
  countSent(endpoint: Endpoint, count: number, now: number): void {
    this.find(endpoint).forEach(({ bucket }) => bucket.take(count, now));
  }

  /**
   * Milliseconds until one of the addresses accepts a request with `ahead` requests queued before
   * it; 0 where one of them has no limit, infinite where this process hands out nothing.
   */
  waitMs(endpoints: readonly Endpoint[], ahead: number, now: number): number {
    const limited = endpoints.map((endpoint) => this.find(endpoint));
    if (limited.length === 0 || limited.some((limits) => limits.length === 0)) return 0;
    // An address of which this process hands out nothing neither admits a request nor shortens the queue.
    const usable = limited.filter((limits) => limits.every(({ rate }) => rate > 0));
    if (usable.length === 0) return Infinity;
    const waits = usable.map((limits) => {
      return Math.max(...limits.map(({ bucket, rate }) => (1 - bucket.levelAt(now)) / rate));
    });
    const perSecond = usable.reduce((sum, limits) => {
      return sum + Math.min(...limits.map(({ rate }) => rate));
    }, 0);
    return Math.max(0, Math.min(...waits) + ahead / perSecond) * 1_000;
  }

  /** Removes and returns the limits of addresses at which no target listens any more. */
  forget(isServed: (endpoint: Endpoint) => boolean, now: number): RateLimit[] {
    const limited = [...this.reported.values(), ...this.cold.values()];
    limited.forEach((each) => {
      if (isServed(each)) each.servedAt = now;
    });
    const unserved = limited.filter((each) => now - each.servedAt > RETENTION_MS);
    return unserved.map(({ service, address, source }) => {
      const ended = { service, address, perSecond: undefined, ...(source && { source }) };
      this.set(ended, now);
      return ended;
    });
  }

  private limitsOf(source: RateLimit['source']): Map<string, Limited> {
    return source === 'cold' ? this.cold : this.reported;
  }

  private create(
    { service, address, perSecond, source }: RateLimit & { perSecond: number },
    now: number,
  ): Limited {
    const rate = this.rateOf({ service, address, perSecond, source });
    const burstSeconds = source === 'cold' ? 0 : undefined;
    const bucket = new tokenBucket.TokenBucket(rate, now, burstSeconds);
    const times = { knownAt: now, servedAt: now, pathProbedAt: -Infinity };
    return { service, address, source, perSecond, rate, bucket, ...times };
  }

  /** Applies a changed share. */
  private restart(limited: Limited, now: number): void {
    limited.rate = this.rateOf(limited);
    limited.bucket.setRate(limited.rate, now);
    limited.bucket.empty(now);
  }

  private rateOf({
    service,
    address,
    source,
    perSecond,
  }: RateLimit & { perSecond: number }): number {
    if (source === undefined) return this.share * Math.max(perSecond, 1 / CANARY_INTERVAL_SECONDS);
    const whole = perSecond * this.coldShare({ service, address, source, perSecond });
    // With this spacing, a second that begins with a request contains no more than a whole number.
    return (whole < 1 ? whole : Math.floor(whole)) / COLD_SPACING;
  }

  /** The limits at an address. */
  private find(endpoint: Endpoint): Limited[] {
    if (this.size === 0) return [];
    const key = keyOf(endpoint);
    return [this.reported.get(key), this.cold.get(key)].flatMap((limited) => limited ?? []);
  }
}

function sourcedKeyOf(limit: RateLimit): string {
  return `${keyOf(limit)} ${limit.source ?? ''}`;
}

/** A unique string per address. */
export function keyOf({ service, address }: Endpoint): string {
  return `${service} ${address}`;
}
