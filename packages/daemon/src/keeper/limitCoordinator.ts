/**
 * Coordinates, on the leader, targets that name a rate limit: it collects the limits that entries receive, publishes
 * them to all followers, and grants messages one by one where the allocator doesn't place them, so that all entries
 * together stay within a limit.
 */
import * as domain from '@celerydrift/domain';
import type * as messages from '../fleet/messages';
import type * as observer from '../observability/observer';

const { keyOf } = domain.rateLimits.rateLimits;

type RateLimit = domain.rateLimits.rateLimits.RateLimit;

export interface Dependencies {
  limits: domain.rateLimits.rateLimits.RateLimits;
  registry: Pick<domain.registry.registry.Registry, 'isServed'>;
  observer: observer.Observer;
  now: () => number;
  /** Publishes limits to all followers. */
  publish: (limits: RateLimit[]) => void;
}

export class LimitCoordinator {
  /** Addresses whose limit ended under this leadership, so that followers that missed the end don't bring it back. */
  private readonly endedLimits = new Set<string>();

  constructor(private readonly dependencies: Dependencies) {}

  /** Starts or stops granting when a leadership begins or ends. */
  setLeading(isLeading: boolean): void {
    const { limits, now } = this.dependencies;
    limits.setShare(isLeading ? 1 : 0, now());
    this.endedLimits.clear();
  }

  tick(): void {
    const { limits, registry, now } = this.dependencies;
    this.publishChanges(limits.forget((endpoint) => registry.isServed(endpoint), now()));
  }

  /** Merges limits that a follower of another leader knows and this leader doesn't. */
  merge(reports: readonly RateLimit[]): void {
    const { limits } = this.dependencies;
    this.apply(
      reports.filter(
        (limit) =>
          limit.source === undefined &&
          limits.limitAt(limit) === undefined &&
          !this.endedLimits.has(keyOf(limit)),
      ),
    );
  }

  /** Applies what an entry's targets reported, and counts the messages that it sent without a grant. */
  report({ limits, spent }: messages.LimitReport): messages.AppliedAnswer {
    this.apply(limits);
    const { now } = this.dependencies;
    spent.forEach(({ count, ...endpoint }) =>
      this.dependencies.limits.countSent(endpoint, count, now()),
    );
    return { kind: 'taken' };
  }

  /** Grants one message to the address with the most capacity left. */
  grant({ places, purpose }: messages.GrantRequest): messages.GrantAnswer {
    if (purpose === 'path') return this.grantPathProbe(places);
    const { limits, now } = this.dependencies;
    const available = places.filter((endpoint) => {
      return purpose === 'check'
        ? limits.mayProbe(endpoint, now())
        : limits.maySend(endpoint, now());
    });
    this.dependencies.observer.count(`limits.${available.length === 0 ? 'waits' : 'grants'}`);
    if (available.length === 0) {
      return { kind: 'wait', waitMs: Math.ceil(limits.waitMs(places, 0, now())) };
    }
    const place = available.reduce((best, each) => {
      return limits.availableTokens(each, now()) > limits.availableTokens(best, now())
        ? each
        : best;
    });
    limits.countSent(place, 1, now());
    return { kind: 'granted', place };
  }

  /** Grants one probe of a lost path, to the first address that admits one. */
  private grantPathProbe(places: messages.GrantRequest['places']): messages.GrantAnswer {
    const { limits, now, observer: observe } = this.dependencies;
    const waits = places.map((endpoint) => limits.pathProbeWaitMs(endpoint, now()));
    const waitMs = Math.min(...waits);
    observe.count(`limits.path.${waitMs > 0 ? 'waits' : 'grants'}`);
    if (waitMs > 0) return { kind: 'wait', waitMs: Math.ceil(waitMs) };
    const place = places[waits.indexOf(waitMs)];
    limits.countPathProbe(place, now());
    return { kind: 'granted', place };
  }

  private apply(reports: readonly RateLimit[]): void {
    const { limits, now } = this.dependencies;
    this.publishChanges(reports.filter((limit) => limits.set(limit, now())));
  }

  private publishChanges(changes: RateLimit[]): void {
    if (changes.length === 0) return;
    const { observer: observe } = this.dependencies;
    changes.forEach(({ service, address, perSecond }) => {
      if (perSecond === undefined) this.endedLimits.add(keyOf({ service, address }));
      else this.endedLimits.delete(keyOf({ service, address }));
      if (perSecond === undefined) observe.log('limitEnded', { service, address });
      else observe.log('limitInForce', { service, address, perSecond });
    });
    this.dependencies.publish(changes);
  }
}
