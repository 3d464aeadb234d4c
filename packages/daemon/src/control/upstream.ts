/** The side of the spread of settings that answers followers. Every daemon can be an upstream. */
import * as domain from '@celerydrift/domain';
import type * as contacts from './contacts';
import * as spread from './spread';

export interface Options {
  view: domain.control.view.View;
  contacts: contacts.Contacts;
  hash: domain.shared.hashing.Hash;
  /** Milliseconds since this daemon's view was surely the leader's; Infinity if never. */
  ageMs: () => number;
  now: () => number;
  /** Peer address of the leader, as far as known. */
  leader: () => string;
}

export class Upstream {
  private readonly waiting = new Set<() => void>();

  constructor(private readonly options: Options) {}

  /** The view moved; whoever waits is answered. */
  changed(): void {
    [...this.waiting].forEach((wake) => wake());
    this.waiting.clear();
  }

  async follow(request: spread.Follow): Promise<spread.Followed> {
    const { view, contacts: heard, now } = this.options;
    const askedAt = now();
    heard.take(request.contacts, askedAt);
    if (view.index <= request.index) await this.wait(request.waitMs);
    const heldMs = now() - askedAt;
    const fresh = { ageMs: this.options.ageMs(), heldMs, leader: this.options.leader() };
    if (view.index < request.index) return { kind: 'stale', index: view.index };
    const deltas = view.since(request.index);
    if (deltas === undefined) {
      return { kind: 'digest', digest: view.digest(this.options.hash), ...fresh };
    }
    return { kind: 'deltas', index: view.index, deltas, ...fresh };
  }

  parts({ buckets }: spread.PartsRequest): spread.Parts {
    const { view, hash } = this.options;
    return { index: view.index, parts: view.partsIn(hash, new Set(buckets)) };
  }

  private async wait(ms: number): Promise<void> {
    await new Promise<void>((resolve) => {
      const timer = setTimeout(() => wake(), Math.min(ms, spread.FOLLOW_WAIT_MS));
      const wake = (): void => {
        clearTimeout(timer);
        this.waiting.delete(wake);
        resolve();
      };
      this.waiting.add(wake);
    });
  }
}
