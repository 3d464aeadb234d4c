/**
 * Rate limits that targets announce: how many requests per second each accepts from the whole
 * fleet. One process at a time, the leader, hands out all of a limit; without a leader each entry
 * hands out its own share. A process begins with an empty bucket, as it doesn't know what its
 * predecessor handed out and both together must stay within the limit.
 *
 * A limit belongs to the address at which a target listens. A target that restarts there, under
 * whatever id, is limited until an answer of its own shows otherwise.
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

interface Limited extends Endpoint {
  perSecond: number;
  bucket: tokenBucket.TokenBucket;
  /** When this process learned of the limit. */
  knownAt: number;
  /** When a target last listened at the address. */
  servedAt: number;
}

export class RateLimits {
  private readonly limited = new Map<string, Limited>();

  /** Share of each limit that this process hands out, from 0 to 1. */
  private share = 0;

  get size(): number {
    return this.limited.size;
  }

  /** Sets the share of each limit that this process hands out; it starts with empty buckets. */
  setShare(share: number, now: number): void {
    if (share === this.share) return;
    this.share = share;
    this.limited.forEach(({ bucket, perSecond }) => {
      bucket.setRate(this.rateOf(perSecond), now);
      bucket.empty(now);
    });
  }

  /** The known limit at an address; undefined where there is none. */
  limitAt(endpoint: Endpoint): number | undefined {
    return this.find(endpoint)?.perSecond;
  }

  /** When the limit at an address became known; undefined where there is none. */
  knownSince(endpoint: Endpoint): number | undefined {
    return this.find(endpoint)?.knownAt;
  }

  /** Sets or ends a limit; returns whether anything changed. */
  set({ service, address, perSecond }: RateLimit, now: number): boolean {
    const key = keyOf({ service, address });
    const current = this.limited.get(key);
    if (current?.perSecond === perSecond) return false;
    if (perSecond === undefined) {
      this.limited.delete(key);
    } else if (current === undefined) {
      const bucket = new tokenBucket.TokenBucket(this.rateOf(perSecond), now);
      this.limited.set(key, { service, address, perSecond, bucket, knownAt: now, servedAt: now });
    } else {
      current.perSecond = perSecond;
      current.bucket.setRate(this.rateOf(perSecond), now);
    }
    return true;
  }

  /** Replaces the known limits by those of another process; returns whether anything changed. */
  setAll(limits: readonly RateLimit[], now: number): boolean {
    const kept = new Set(limits.map(keyOf));
    const ended = this.all()
      .filter((limit) => !kept.has(keyOf(limit)))
      .map((limit) => ({ ...limit, perSecond: undefined }));
    return [...ended, ...limits].filter((limit) => this.set(limit, now)).length > 0;
  }

  all(): RateLimit[] {
    return [...this.limited.values()].map(({ service, address, perSecond }) => {
      return { service, address, perSecond };
    });
  }

  isLimited(endpoint: Endpoint): boolean {
    return this.find(endpoint) !== undefined;
  }

  /** Whether a request may be sent to an address now. */
  maySend(endpoint: Endpoint, now: number): boolean {
    return this.find(endpoint)?.bucket.isReady(now) !== false;
  }

  /** Whether a liveness probe may be sent to an address now. */
  mayProbe(endpoint: Endpoint, now: number): boolean {
    const current = this.find(endpoint);
    if (current === undefined) return true;
    return this.share > 0 && current.bucket.levelAt(now) >= 1 - PROBE_DEBT_TOKENS;
  }

  /** Messages that may be sent to an address at once; infinite where there is no limit. */
  availableTokens(endpoint: Endpoint, now: number): number {
    return this.find(endpoint)?.bucket.levelAt(now) ?? Infinity;
  }

  /** Counts messages that were sent or will be. */
  countSent(endpoint: Endpoint, count: number, now: number): void {
    this.find(endpoint)?.bucket.take(count, now);
  }

  /**
   * Milliseconds until one of the addresses accepts a request with `ahead` requests queued before
   * it; 0 where one of them has no limit, infinite where this process hands out nothing.
   */
  waitMs(endpoints: readonly Endpoint[], ahead: number, now: number): number {
    const limited = endpoints.flatMap((endpoint) => this.find(endpoint) ?? []);
    if (limited.length < endpoints.length || limited.length === 0) return 0;
    if (this.share === 0) return Infinity;
    const missingTokens = limited.map(({ bucket }) => 1 - bucket.levelAt(now));
    const waits = missingTokens.map((tokens, i) => tokens / this.rateOf(limited[i].perSecond));
    const perSecond = limited.reduce((sum, each) => sum + this.rateOf(each.perSecond), 0);
    return Math.max(0, Math.min(...waits) + ahead / perSecond) * 1_000;
  }

  /** Removes and returns the limits of addresses at which no target listens any more. */
  forget(isServed: (endpoint: Endpoint) => boolean, now: number): RateLimit[] {
    this.limited.forEach((each) => {
      if (isServed(each)) each.servedAt = now;
    });
    const unserved = [...this.limited.values()].filter(
      (each) => now - each.servedAt > RETENTION_MS,
    );
    return unserved.map(({ service, address }) => {
      const ended = { service, address, perSecond: undefined };
      this.set(ended, now);
      return ended;
    });
  }

  private rateOf(perSecond: number): number {
    return this.share * Math.max(perSecond, 1 / CANARY_INTERVAL_SECONDS);
  }

  private find(endpoint: Endpoint): Limited | undefined {
    return this.limited.size === 0 ? undefined : this.limited.get(keyOf(endpoint));
  }
}

/** A unique string per address. */
export function keyOf({ service, address }: Endpoint): string {
  return `${service} ${address}`;
}
