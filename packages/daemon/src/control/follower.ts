/**
 * The side of the spread of settings that follows. It keeps one long call open to its upstream; when
 * that is silent it tries the next over a new connection, first other relays, then the replicas.
 */
import * as domain from '@celerydrift/domain';
import type * as observer from '../observability/observer';
import type * as peerClient from '../rpc/peerClient';
import type * as contacts from './contacts';
import * as spread from './spread';

export interface Options {
  view: domain.control.view.View;
  freshness: domain.membership.freshness.Freshness;
  contacts: contacts.Contacts;
  client: peerClient.PeerClient;
  observer: observer.Observer;
  hash: domain.shared.hashing.Hash;
  /** Peer addresses that may be followed, best first. */
  upstreams: () => string[];
  /** This daemon's own standing, for the reports. */
  self: string;
  onChange: () => void;
  now: () => number;
}

/** Pause after every upstream failed, in milliseconds. */
const PAUSE_MS = 100;

/** Beyond the wait of a call; silence after that means a dead path. */
const MARGIN_MS = 700;

/** How often a follower on a second-best upstream tries the best again, in milliseconds. */
const RETURN_MS = 5_000;

export class Follower {
  private running = true;

  private current = '';

  /** Peer address of the leader, as the upstream told it. */
  leader = '';

  private bestTriedAt = 0;

  private reportTimer: NodeJS.Timeout | undefined;

  constructor(private readonly options: Options) {}

  async run(): Promise<void> {
    while (this.running) {
      const followed = await this.followBest();
      if (!followed) {
        await new Promise((resolve) => {
          setTimeout(resolve, PAUSE_MS);
        });
      }
    }
  }

  stop(): void {
    this.running = false;
    clearTimeout(this.reportTimer);
  }

  /** Something below changed; tells the upstream soon, several changes together. */
  reportSoon(): void {
    if (this.reportTimer !== undefined || !this.running) return;
    this.reportTimer = setTimeout(() => {
      this.reportTimer = undefined;
      void this.report();
    }, spread.REPORT_DELAY_MS);
  }

  /** One look at another daemon that knows more, fresh or not. */
  async catchUpFrom(address: string): Promise<void> {
    await this.followOnce(address);
  }

  private async report(): Promise<void> {
    const { client, contacts: heard, now } = this.options;
    if (this.current === '') return;
    const news = heard.news(now());
    if (news.length === 0) return;
    const sent = await client.call(this.current, 'report', { contacts: news });
    if (sent.err) heard.restore(news);
  }

  private async followBest(): Promise<boolean> {
    const ranked = this.options.upstreams();
    const now = this.options.now();
    const stay = ranked.includes(this.current) && now - this.bestTriedAt < RETURN_MS;
    const order = stay ? [this.current, ...ranked.filter((a) => a !== this.current)] : ranked;
    if (!stay) this.bestTriedAt = now;
    for (const address of order) {
      if (!this.running) return true;
      if (await this.followOnce(address)) {
        this.use(address);
        return true;
      }
    }
    return false;
  }

  private use(address: string): void {
    if (address === this.current) return;
    this.current = address;
    this.options.observer.log('upstreamChanged', { upstream: address });
  }

  private async followOnce(address: string): Promise<boolean> {
    const { client, view, contacts: heard, now, observer: observe } = this.options;
    heard.take([{ id: this.options.self, index: view.index, ageMs: 0 }], now());
    const news = heard.news(now());
    const askedAt = now();
    // Without a current upstream the first answer must come at once, not after a wait for news.
    const waitMs = address === this.current ? spread.FOLLOW_WAIT_MS : 0;
    const request: spread.Follow = { index: view.index, contacts: news, waitMs };
    const answer = await client.call<spread.Followed>(address, 'follow', request, {
      timeoutMs: waitMs + MARGIN_MS,
    });
    if (answer.err) {
      heard.restore(news);
      observe.log('upstreamLost', { upstream: address, reason: answer.val.kind });
      return false;
    }
    return this.take(address, answer.val, askedAt);
  }

  private async take(
    address: string,
    followed: spread.Followed,
    askedAt: number,
  ): Promise<boolean> {
    if (followed.kind === 'stale') return false;
    if (followed.kind === 'deltas') this.advance(followed.deltas, followed.index);
    else if (!(await this.catchUp(address, followed.digest))) return false;
    // The upstream answered no sooner than `heldMs` after this daemon asked, and its view was the
    // leader's `ageMs` before that.
    if (Number.isFinite(followed.ageMs)) {
      this.options.freshness.confirm(askedAt + followed.heldMs - followed.ageMs);
    }
    this.leader = followed.leader;
    return followed.ageMs < domain.membership.freshness.DEFAULT_LEASE;
  }

  private advance(deltas: domain.control.state.Delta[], index: number): void {
    if (this.options.view.advance(deltas, index)) this.changed();
  }

  private async catchUp(address: string, theirs: domain.control.view.Digest): Promise<boolean> {
    const { view, hash, client } = this.options;
    const own = view.digest(hash);
    const differing = theirs.buckets.flatMap((sum, i) => (sum === own.buckets[i] ? [] : [i]));
    const fetched = await client.call<spread.Parts>(address, 'parts', { buckets: differing });
    if (fetched.err) return false;
    const { parts, index } = fetched.val;
    // Buckets compared equal at the digest's index; if the upstream moved on since, compare again.
    if (index !== theirs.index) return this.followOnce(address);
    const kept = new Set(parts.map(({ key }) => key));
    const removed = view.keysBeyond(hash, new Set(differing), kept);
    if (view.replace(parts, removed, index)) {
      this.options.observer.log('caughtUp', { index, parts: parts.length });
      this.changed();
    }
    return true;
  }

  private changed(): void {
    const { view, contacts: heard, now, self, onChange } = this.options;
    heard.take([{ id: self, index: view.index, ageMs: 0 }], now());
    onChange();
    this.reportSoon();
  }
}
