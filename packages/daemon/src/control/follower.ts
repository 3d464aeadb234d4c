/**
 * Receives settings updates from an upstream by long polling. If the upstream doesn't answer, the follower
 * tries the next one over a new connection: first other relays, then the replicas.
 */
import * as domain from '@celerydrift/domain';
import type * as observer from '../observability/observer';
import type * as peerClient from '../rpc/peerClient';
import type * as contacts from './contacts';
import * as followProtocol from './followProtocol';

export interface Options {
  view: domain.control.view.View;
  freshness: domain.membership.freshness.Freshness;
  contacts: contacts.Contacts;
  client: peerClient.PeerClient;
  observer: observer.Observer;
  hash: domain.shared.hashing.Hash;
  /** Peer addresses of possible upstreams, best first. */
  upstreams: () => string[];
  /** Id of this daemon, for its own entry in the contact reports. */
  self: string;
  onChange: () => void;
  now: () => number;
}

/** Pause after all upstreams failed, in milliseconds. */
const RETRY_PAUSE_MS = 100;

/** Added to the wait of a follow call; without an answer by then the path counts as dead. Milliseconds. */
const TIMEOUT_MARGIN_MS = 700;

/** Interval after which a follower on a lower-ranked upstream tries the best one again, in milliseconds. */
const BEST_UPSTREAM_RETRY_MS = 5_000;

export class Follower {
  private running = true;

  private currentUpstream = '';

  /** Peer address of the leader as reported by the upstream, or empty. */
  leader = '';

  private bestTriedAt = 0;

  private reportTimer: NodeJS.Timeout | undefined;

  constructor(private readonly options: Options) {}

  async run(): Promise<void> {
    while (this.running) {
      const succeeded = await this.pollBestUpstream();
      if (!succeeded) {
        await new Promise((resolve) => {
          setTimeout(resolve, RETRY_PAUSE_MS);
        });
      }
    }
  }

  stop(): void {
    this.running = false;
    clearTimeout(this.reportTimer);
  }

  /** Schedules a report of changed contacts to the upstream; changes within a short delay are combined. */
  reportSoon(): void {
    if (this.reportTimer !== undefined || !this.running) return;
    this.reportTimer = setTimeout(() => {
      this.reportTimer = undefined;
      void this.sendContactReport();
    }, followProtocol.REPORT_DELAY_MS);
  }

  /** Polls another daemon once for a newer view, even if that daemon has no fresh lease. */
  async catchUpFrom(address: string): Promise<void> {
    await this.pollUpstream(address);
  }

  private async sendContactReport(): Promise<void> {
    const { client, contacts: contactTable, now } = this.options;
    if (this.currentUpstream === '') return;
    const unsent = contactTable.takeUnsent(now());
    if (unsent.length === 0) return;
    const sent = await client.call(this.currentUpstream, 'report', { contacts: unsent });
    if (sent.err) contactTable.markUnsent(unsent);
  }

  private async pollBestUpstream(): Promise<boolean> {
    const ranked = this.options.upstreams();
    const now = this.options.now();
    const keepsCurrent =
      ranked.includes(this.currentUpstream) && now - this.bestTriedAt < BEST_UPSTREAM_RETRY_MS;
    const candidates = keepsCurrent
      ? [this.currentUpstream, ...ranked.filter((a) => a !== this.currentUpstream)]
      : ranked;
    if (!keepsCurrent) this.bestTriedAt = now;
    for (const address of candidates) {
      if (!this.running) return true;
      if (await this.pollUpstream(address)) {
        this.setUpstream(address);
        return true;
      }
    }
    return false;
  }

  private setUpstream(address: string): void {
    if (address === this.currentUpstream) return;
    this.currentUpstream = address;
    this.options.observer.log('upstreamChanged', { upstream: address });
  }

  private async pollUpstream(address: string): Promise<boolean> {
    const { client, view, contacts: contactTable, now, observer: observe } = this.options;
    contactTable.update([{ id: this.options.self, index: view.index, ageMs: 0 }], now());
    const unsent = contactTable.takeUnsent(now());
    const requestedAt = now();
    // The first call to a new upstream must be answered immediately, not after a wait for changes.
    const waitMs = address === this.currentUpstream ? followProtocol.MAX_FOLLOW_WAIT_MS : 0;
    const request: followProtocol.FollowRequest = { index: view.index, contacts: unsent, waitMs };
    const response = await client.call<followProtocol.FollowResponse>(address, 'follow', request, {
      timeoutMs: waitMs + TIMEOUT_MARGIN_MS,
    });
    if (response.err) {
      contactTable.markUnsent(unsent);
      observe.log('upstreamLost', { upstream: address, reason: response.val.kind });
      return false;
    }
    return this.applyResponse(address, response.val, requestedAt);
  }

  private async applyResponse(
    address: string,
    response: followProtocol.FollowResponse,
    requestedAt: number,
  ): Promise<boolean> {
    if (response.kind === 'stale') return false;
    if (response.kind === 'deltas') this.applyDeltas(response.deltas, response.index);
    else if (!(await this.catchUp(address, response.digest))) return false;
    // The upstream answered no earlier than `heldMs` after the request, and its view matched the leader's
    // `ageMs` before that.
    if (Number.isFinite(response.ageMs)) {
      this.options.freshness.renewLease(requestedAt + response.heldMs - response.ageMs);
    }
    this.leader = response.leader;
    return response.ageMs < domain.membership.freshness.DEFAULT_LEASE;
  }

  private applyDeltas(deltas: domain.control.state.Delta[], index: number): void {
    if (this.options.view.advance(deltas, index)) this.handleViewChange();
  }

  private async catchUp(
    address: string,
    upstreamDigest: domain.control.view.Digest,
  ): Promise<boolean> {
    const { view, hash, client } = this.options;
    const ownDigest = view.digest(hash);
    const differing = upstreamDigest.buckets.flatMap((sum, i) =>
      sum === ownDigest.buckets[i] ? [] : [i],
    );
    const fetched = await client.call<followProtocol.PartsResponse>(address, 'parts', {
      buckets: differing,
    });
    if (fetched.err) return false;
    const { parts, index } = fetched.val;
    // The buckets were compared at the digest's index; if the upstream has advanced since, start again.
    if (index !== upstreamDigest.index) return this.pollUpstream(address);
    const receivedKeys = new Set(parts.map(({ key }) => key));
    const removed = view.keysMissingFrom(hash, new Set(differing), receivedKeys);
    if (view.replace(parts, removed, index)) {
      this.options.observer.log('caughtUp', { index, parts: parts.length });
      this.handleViewChange();
    }
    return true;
  }

  private handleViewChange(): void {
    const { view, contacts: contactTable, now, self, onChange } = this.options;
    contactTable.update([{ id: self, index: view.index, ageMs: 0 }], now());
    onChange();
    this.reportSoon();
  }
}
