/**
 * Notes the limits that targets name in their answers: how many requests a second a target in need takes from the whole fleet, for as
 * long as it says so.
 */
import type * as protocols from '../edges/protocols';
import type * as observer from '../observability/observer';

/** Where a target's answer comes from, and which request it answers. */
export interface Answered {
  requestId: string;
  target: string;
  status: number;
}

export interface Parts {
  observer: observer.Observer;
}

export class LimitWatch {
  /** Limits by target, requests a second. */
  private readonly limits = new Map<string, number>();

  constructor(private readonly parts: Parts) {}

  /** A target answered a request of a caller. */
  answered(answer: Answered, limit: protocols.NamedLimit): void {
    const { target } = answer;
    const { observer: observe } = this.parts;
    const before = this.limits.get(target);
    if (limit.kind === 'none') {
      if (before === undefined) return;
      this.limits.delete(target);
      observe.log('targetLimitEnded', { ...answer, before });
      return;
    }
    observe.count(`limits.${limit.kind}`);
    if (limit.kind === 'unreadable' || limit.perSecond === before) return;
    this.limits.set(target, limit.perSecond);
    observe.log('targetLimited', { ...answer, perSecond: limit.perSecond, before });
  }
}
