/**
 * What a leader does about targets that name a limit: takes what entries were told, tells all followers, and gives out messages one
 * by one where the allocator doesn't place them, so that all entries together stay within a limit.
 */
import * as domain from '@celerydrift/domain';
import type * as messages from '../fleet/messages';
import type * as observer from '../observability/observer';

const { keyOf } = domain.rateLimits.rateLimits;

type RateLimit = domain.rateLimits.rateLimits.RateLimit;

export interface Parts {
  limits: domain.rateLimits.rateLimits.RateLimits;
  registry: Pick<domain.registry.registry.Registry, 'isServed'>;
  observer: observer.Observer;
  now: () => number;
  /** Tells all followers. */
  publish: (limits: RateLimit[]) => void;
}

export class Limiting {
  /** Places whose limit ended under this leadership, against followers that haven't heard of it. */
  private readonly ended = new Set<string>();

  constructor(private readonly parts: Parts) {}

  /** A leadership begins or ends. */
  turn(leads: boolean): void {
    const { limits, now } = this.parts;
    limits.giveOut(leads ? 1 : 0, now());
    this.ended.clear();
  }

  tick(): void {
    const { limits, registry, now } = this.parts;
    this.changed(limits.forget((place) => registry.isServed(place), now()));
  }

  /** Takes limits that a follower of another leader knows and this one doesn't. */
  merge(reports: readonly RateLimit[]): void {
    const { limits } = this.parts;
    this.take(reports.filter((place) => !limits.isLimited(place) && !this.ended.has(keyOf(place))));
  }

  /** Takes what an entry was told by its targets, and what it sent them. */
  told({ limits, spent }: messages.Limited): messages.TakenAnswer {
    this.take(limits);
    const { now } = this.parts;
    spent.forEach(({ count, ...place }) => this.parts.limits.take(place, count, now()));
    return { kind: 'taken' };
  }

  /** Gives out one message to the place with most room. */
  grant({ places, purpose }: messages.GrantQuestion): messages.GrantAnswer {
    const { limits, now } = this.parts;
    const able = places.filter((place) => {
      return purpose === 'check' ? limits.mayCheck(place, now()) : limits.mayTake(place, now());
    });
    this.parts.observer.count(`limits.${able.length === 0 ? 'waits' : 'grants'}`);
    if (able.length === 0) {
      return { kind: 'wait', waitMs: Math.ceil(limits.waitMs(places, 0, now())) };
    }
    const place = able.reduce((best, each) => {
      return limits.room(each, now()) > limits.room(best, now()) ? each : best;
    });
    limits.take(place, 1, now());
    return { kind: 'granted', place };
  }

  private take(reports: readonly RateLimit[]): void {
    const { limits, now } = this.parts;
    this.changed(reports.filter((limit) => limits.set(limit, now())));
  }

  private changed(changes: RateLimit[]): void {
    if (changes.length === 0) return;
    const { observer: observe } = this.parts;
    changes.forEach(({ service, address, perSecond }) => {
      if (perSecond === undefined) this.ended.add(keyOf({ service, address }));
      else this.ended.delete(keyOf({ service, address }));
      if (perSecond === undefined) observe.log('limitEnded', { service, address });
      else observe.log('limitInForce', { service, address, perSecond });
    });
    this.parts.publish(changes);
  }
}
