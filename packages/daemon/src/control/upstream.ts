/** Serves settings updates to followers. Every daemon can be an upstream. */
import * as domain from '@celerydrift/domain';
import type * as contacts from './contacts';
import * as followProtocol from './followProtocol';

export interface Options {
  view: domain.control.view.View;
  contacts: contacts.Contacts;
  hash: domain.shared.hashing.Hash;
  /** Milliseconds since this daemon's view was last known to match the leader's; Infinity if never. */
  ageMs: () => number;
  now: () => number;
  /** Peer address of the leader, or empty if unknown. */
  leader: () => string;
}

export class Upstream {
  /** Wakes the follow calls that wait for a change. */
  private readonly waiters = new Set<() => void>();

  constructor(private readonly options: Options) {}

  /** Answers the waiting follow calls after the view changed. */
  notifyWaiters(): void {
    [...this.waiters].forEach((wake) => wake());
    this.waiters.clear();
  }

  async follow(request: followProtocol.FollowRequest): Promise<followProtocol.FollowResponse> {
    const { view, contacts: contactTable, now } = this.options;
    const requestedAt = now();
    contactTable.update(request.contacts, requestedAt);
    if (view.index <= request.index) await this.waitForChange(request.waitMs);
    const heldMs = now() - requestedAt;
    const freshness = { ageMs: this.options.ageMs(), heldMs, leader: this.options.leader() };
    if (view.index < request.index) return { kind: 'stale', index: view.index };
    const deltas = view.since(request.index);
    if (deltas === undefined) {
      return { kind: 'digest', digest: view.digest(this.options.hash), ...freshness };
    }
    return { kind: 'deltas', index: view.index, deltas, ...freshness };
  }

  parts({ buckets }: followProtocol.PartsRequest): followProtocol.PartsResponse {
    const { view, hash } = this.options;
    return { index: view.index, parts: view.itemsIn(hash, new Set(buckets)) };
  }

  private async waitForChange(ms: number): Promise<void> {
    await new Promise<void>((resolve) => {
      const timer = setTimeout(() => wake(), Math.min(ms, followProtocol.MAX_FOLLOW_WAIT_MS));
      const wake = (): void => {
        clearTimeout(timer);
        this.waiters.delete(wake);
        resolve();
      };
      this.waiters.add(wake);
    });
  }
}
