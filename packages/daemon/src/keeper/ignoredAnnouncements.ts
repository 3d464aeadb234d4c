/**
 * Logs announcements and departures that can't be used. Another program may send thousands of them, with whatever
 * content, so lines are limited in length and number; a metric counts every announcement.
 */
import * as domain from '@celerydrift/domain';
import type * as observer from '../observability/observer';

export interface Dependencies {
  observer: Pick<observer.Observer, 'log' | 'count'>;
  now: () => number;
}

export interface IgnoredAnnouncement {
  /** Who sent it, as far as is known; the lines of each writer are limited separately. */
  writer: string;
  /** Id that it names, which may be unusable itself. */
  target: string;
  reason: string;
}

/** Lines a second: enough to see each field that a writer gets wrong, and a tenth of what a busy entry logs. */
const LINES_PER_WRITER = 5;
const LINES_OF_ALL = 20;

/** Writers whose lines are limited separately; the limit for all of them bounds the lines of more. */
const MAX_WRITERS = 256;

/** Usable ids have 128 characters at most, and most reasons fit into a line of 200. */
const MAX_TARGET_CHARACTERS = 128;
const MAX_REASON_CHARACTERS = 200;

/** Time in which the bucket of a new writer has filled, milliseconds. */
const FILL_MS = 1_000;

type TokenBucket = domain.rateLimits.tokenBucket.TokenBucket;

export class IgnoredAnnouncements {
  private readonly writers = new Map<string, TokenBucket>();

  private readonly all: TokenBucket;

  /** Announcements without a line since the last line. */
  private omitted = 0;

  constructor(private readonly dependencies: Dependencies) {
    this.all = this.fullBucket(LINES_OF_ALL);
  }

  report({ writer, target, reason }: IgnoredAnnouncement): void {
    const { observer: observe, now } = this.dependencies;
    observe.count('announcements.ignored');
    const buckets = [this.bucketOf(writer), this.all];
    if (!buckets.every((bucket) => bucket.isReady(now()))) {
      this.omitted += 1;
      return;
    }
    buckets.forEach((bucket) => bucket.take(1, now()));
    observe.log('announcementIgnored', {
      writer: writer.slice(0, MAX_TARGET_CHARACTERS),
      target: target.slice(0, MAX_TARGET_CHARACTERS),
      reason: reason.slice(0, MAX_REASON_CHARACTERS),
      omitted: this.omitted,
    });
    this.omitted = 0;
  }

  private bucketOf(writer: string): TokenBucket {
    const existing = this.writers.get(writer);
    if (existing !== undefined) return existing;
    const [oldest] = this.writers.keys();
    if (this.writers.size >= MAX_WRITERS) this.writers.delete(oldest);
    const created = this.fullBucket(LINES_PER_WRITER);
    this.writers.set(writer, created);
    return created;
  }

  private fullBucket(perSecond: number): TokenBucket {
    const filledAt = this.dependencies.now() - FILL_MS;
    return new domain.rateLimits.tokenBucket.TokenBucket(perSecond, filledAt);
  }
}
