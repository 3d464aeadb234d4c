/**
 * Limits that targets in need name: how many requests a second each takes from the whole fleet. One process at a time gives out all of
 * a limit, the leader; while nobody leads, each entry gives out its own part. Whoever begins does so with nothing: what its
 * predecessor gave out isn't known, and together they stay within the limit.
 *
 * A limit belongs to the place where a target listens. A target that starts again there, under whatever id, is in need until an answer
 * of its own shows otherwise.
 */
import * as tokenBucket from './tokenBucket';

/** Where a target listens. */
export interface Place {
  service: string;
  /** HOST:PORT. */
  address: string;
}

/** The limit at a place, requests a second; undefined where it ended. */
export interface RateLimit extends Place {
  perSecond: number | undefined;
}

/** Seconds between two requests to a target that takes none: without any, nobody would learn that it takes some again. */
const CANARY_INTERVAL_SECONDS = 10;

/** A limit is forgotten when no target has listened at its place for so long, milliseconds. */
const RETENTION_MS = 60_000;

/** Checks whether a target lives may be owed one token more than requests: otherwise a busy target could never be checked. */
const PROBE_DEBT_TOKENS = 1;

interface Limited extends Place {
  perSecond: number;
  bucket: tokenBucket.TokenBucket;
  /** Since when this limit is known here. */
  knownAt: number;
  /** When a target was last seen at the place. */
  servedAt: number;
}

export class RateLimits {
  private readonly limited = new Map<string, Limited>();

  /** Part of each limit that is given out here. */
  private share = 0;

  get size(): number {
    return this.limited.size;
  }

  /** Gives out so much of each limit from now on, beginning with nothing. */
  giveOut(share: number, now: number): void {
    if (share === this.share) return;
    this.share = share;
    this.limited.forEach(({ bucket, perSecond }) => {
      bucket.setRate(this.rateOf(perSecond), now);
      bucket.empty(now);
    });
  }

  /** The limit at a place as it is known; undefined where there is none. */
  at(place: Place): number | undefined {
    return this.find(place)?.perSecond;
  }

  /** Since when a limit is known at a place; undefined where there is none. */
  knownSince(place: Place): number | undefined {
    return this.find(place)?.knownAt;
  }

  /** Takes a limit, or its end; whether anything changed. */
  set({ service, address, perSecond }: RateLimit, now: number): boolean {
    const key = keyOf({ service, address });
    const known = this.limited.get(key);
    if (known?.perSecond === perSecond) return false;
    if (perSecond === undefined) {
      this.limited.delete(key);
    } else if (known === undefined) {
      const bucket = new tokenBucket.TokenBucket(this.rateOf(perSecond), now);
      this.limited.set(key, { service, address, perSecond, bucket, knownAt: now, servedAt: now });
    } else {
      known.perSecond = perSecond;
      known.bucket.setRate(this.rateOf(perSecond), now);
    }
    return true;
  }

  /** Takes all limits that are known elsewhere in place of those that are known here; whether anything changed. */
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

  isLimited(place: Place): boolean {
    return this.find(place) !== undefined;
  }

  /** Whether a request may be sent to a place now. */
  mayTake(place: Place, now: number): boolean {
    return this.find(place)?.bucket.isReady(now) !== false;
  }

  /** Whether a target may be asked now whether it lives. */
  mayCheck(place: Place, now: number): boolean {
    const known = this.find(place);
    if (known === undefined) return true;
    return this.share > 0 && known.bucket.levelAt(now) >= 1 - PROBE_DEBT_TOKENS;
  }

  /** Messages that a place takes at once; infinite where there is no limit. */
  room(place: Place, now: number): number {
    return this.find(place)?.bucket.levelAt(now) ?? Infinity;
  }

  /** Counts messages that were sent, or will be. */
  take(place: Place, count: number, now: number): void {
    this.find(place)?.bucket.take(count, now);
  }

  /**
   * Until one of some places takes a request, milliseconds, with so many requests before it; 0 where one of them has no limit, infinite
   * where nothing is given out here.
   */
  waitMs(places: readonly Place[], ahead: number, now: number): number {
    const limited = places.flatMap((place) => this.find(place) ?? []);
    if (limited.length < places.length || limited.length === 0) return 0;
    if (this.share === 0) return Infinity;
    const missing = limited.map(({ bucket }) => 1 - bucket.levelAt(now));
    const waits = missing.map((tokens, i) => tokens / this.rateOf(limited[i].perSecond));
    const perSecond = limited.reduce((sum, each) => sum + this.rateOf(each.perSecond), 0);
    return Math.max(0, Math.min(...waits) + ahead / perSecond) * 1_000;
  }

  /** Forgets limits of places where no target listens any more; those come back. */
  forget(isServed: (place: Place) => boolean, now: number): RateLimit[] {
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

  private find(place: Place): Limited | undefined {
    return this.limited.size === 0 ? undefined : this.limited.get(keyOf(place));
  }
}

/** One text for each place. */
export function keyOf({ service, address }: Place): string {
  return `${service} ${address}`;
}
