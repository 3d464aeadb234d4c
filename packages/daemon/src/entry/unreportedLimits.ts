/**
 * Unreported rate limits of an entry: the latest limit of each target, the number of messages sent there without a
 * grant, and which targets answered that they are cold.
 */
import * as domain from '@celerydrift/domain';
import type * as messages from '../fleet/messages';

const { keyOf } = domain.rateLimits.rateLimits;

type Endpoint = domain.rateLimits.rateLimits.Endpoint;
type RateLimit = domain.rateLimits.rateLimits.RateLimit;

export class UnreportedLimits {
  private limits = new Map<string, RateLimit>();

  private spent = new Map<string, messages.UngrantedMessages>();

  private cold = new Map<string, messages.ColdAnswer>();

  get isEmpty(): boolean {
    return this.limits.size + this.spent.size + this.cold.size === 0;
  }

  setCold(answer: messages.ColdAnswer): void {
    this.cold.set(keyOf(answer), answer);
  }

  setLimit(limit: RateLimit): void {
    this.limits.set(keyOf(limit), limit);
  }

  addSpent({ service, address }: Endpoint, count: number): void {
    const key = keyOf({ service, address });
    const before = this.spent.get(key)?.count ?? 0;
    this.spent.set(key, { service, address, count: before + count });
  }

  /** Removes and returns everything, to be reported. */
  takeAll(): messages.LimitReport {
    const report = { limits: [...this.limits.values()], spent: [...this.spent.values()] };
    const cold = [...this.cold.values()];
    this.limits.clear();
    this.spent.clear();
    this.cold.clear();
    return cold.length === 0 ? report : { ...report, cold };
  }

  /** Puts back a report that no leader accepted; limits set meanwhile are newer and stay. */
  restore({ limits, spent, cold = [] }: messages.LimitReport): void {
    cold
      .filter((answer) => !this.cold.has(keyOf(answer)))
      .forEach((answer) => this.cold.set(keyOf(answer), answer));
    limits
      .filter((limit) => !this.limits.has(keyOf(limit)))
      .forEach((limit) => this.limits.set(keyOf(limit), limit));
    spent.forEach((each) => this.addSpent(each, each.count));
  }
}
