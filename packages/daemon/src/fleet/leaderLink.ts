/**
 * Connects an entry or keeper to the leader of the keepers: finds the leader, polls it and applies its updates. Each
 * confirmation starts a lease. A daemon without one may be cut off from changes, such as a revoked key, and must not
 * serve what they could forbid.
 */
import * as crypto from 'node:crypto';
import * as clock from '../clock';
import type * as observer from '../observability/observer';
import type * as peerClient from '../rpc/peerClient';
import type * as fleetState from './fleetState';
import * as messages from './messages';
import * as registrySnapshots from './registrySnapshots';

export interface Options {
  name: string;
  role: 'entry' | 'keeper';
  address: string;
  dataCentre: string;
  replica: () => string | undefined;
  seeds: readonly string[];
  client: peerClient.PeerClient;
  fleetState: fleetState.FleetState;
  observer: observer.Observer;
  readClocks: () => clock.ClockReading;
  /** Returns the dispatches running here, for a new leader's allocator. */
  dispatches: () => messages.RunningDispatch[];
  onConfirmed: (answer: messages.Confirmation) => void;
  /** Returns what an entry states about its paths to targets; absent for a keeper. */
  reachability?: () => messages.PathStatement;
}

/** Length of the id of a process, in bytes. */
const PROCESS_ID_BYTES = 8;

type PollOutcome = 'confirmed' | 'failed';

/** Interval to the next poll, by the outcome of the last one, in milliseconds. */
const POLL_INTERVAL_MS: Record<PollOutcome, number> = {
  // Eight polls fit into the shortest lease of 4 s.
  confirmed: 500,
  // No leader is known; a new one is elected within 0.8 to 1.2 s.
  failed: 100,
};

/**
 * Maximum time to connect among entries and keepers, in milliseconds; some thirty round trips. A connection attempt
 * to a VM that was without power is repeated with the next message after that.
 */
export const CONNECT_TIMEOUT_MS = 100;

/**
 * Maximum time for the leader to answer a liveness probe, in milliseconds: a hundred round trips, and the time a busy
 * leader needs for the placements of a burst.
 */
const PROBE_TIMEOUT_MS = 300;

/**
 * Time after a successful probe within which the leader isn't probed again, in milliseconds; a frozen leader is
 * detected at most that much later. While callers returned to a new leader after an outage, two hundred entries
 * otherwise probed it a thousand times a second, each time one of their prompts had waited a little.
 */
const PROBE_VALID_MS = 300;

/**
 * Maximum wait for the leader's answer to a poll, in milliseconds, after which the follower searches for another
 * leader; covers the leader's wait for its next heartbeat.
 */
const POLL_TIMEOUT_MS = 700;

/**
 * The same for a keeper that may lead and hasn't confirmed this follower yet; others are polled meanwhile. A new
 * leader receives the first polls of the whole fleet at once, and a poll that is given up starts again with a
 * connection.
 */
const SEARCH_TIMEOUT_MS = 2_000;

/**
 * Number of keepers polled in parallel while no leader is known. With one, entries found a new leader 80 to 250 ms
 * after its election; any other keeper knows it within a heartbeat.
 */
const PARALLEL_SEARCHES = 3;

export class LeaderLink {
  /** Peer address of the leader; empty while none is known. */
  leader = '';

  private readonly knownKeepers: Set<string>;

  private confirmedAt = clock.NEVER;

  private nextIndex = 0;

  private timer: NodeJS.Timeout | undefined;

  /**
   * Keepers with a poll in flight. A new leader of hundreds of entries answers the first polls late; polled again by
   * each meanwhile, it would answer several times as many, and all of them too late.
   */
  private readonly polling = new Set<string>();

  private readonly process = crypto.randomBytes(PROCESS_ID_BYTES).toString('hex');

  private isStopping = false;

  private isStopped = false;

  /** Time at which the current leader last answered a probe. */
  private probedAt = clock.NEVER;

  /** Time at which the pending probe was sent. */
  private probingSince: clock.ClockReading | undefined;

  /** Callbacks for the loss of the current leader. */
  private readonly lossListeners = new Set<() => void>();

  /** The last leader that received this daemon's dispatches, and a keeper's whole registry. */
  private introducedTo = '';

  /** Whether the leader asked for this daemon's registry records. */
  private isSendingRecords = false;

  constructor(private readonly options: Options) {
    this.knownKeepers = new Set(options.seeds);
  }

  start(): void {
    this.schedule(0);
  }

  /** States with the next polls that a planned stop has begun; the first one is sent now. */
  announceStop(): void {
    this.isStopping = true;
    this.schedule(0);
  }

  stop(): void {
    this.isStopped = true;
    clearTimeout(this.timer);
  }

  /** Adds keepers from a reloaded settings file. */
  addSeeds(seeds: readonly string[]): void {
    seeds.forEach((seed) => this.knownKeepers.add(seed));
  }

  get keepers(): string[] {
    return [...this.knownKeepers];
  }

  /** Milliseconds since the last confirmed poll was sent; infinite if none was confirmed. */
  get confirmationAgeMs(): number {
    return clock.elapsed(this.confirmedAt, this.options.readClocks());
  }

  /** How long the pending probe has been unanswered, in milliseconds; 0 if none is pending. */
  get unansweredMs(): number {
    const { probingSince } = this;
    return probingSince === undefined ? 0 : clock.elapsed(probingSince, this.options.readClocks());
  }

  /** Reports that the leader didn't answer another call; the next poll goes to another keeper. */
  reportFailure(address: string): void {
    if (address === this.leader) this.loseLeader('a call to it failed');
  }

  /** Calls `onLost` once when the current leader is lost; the result cancels that. */
  onLost(onLost: () => void): () => void {
    this.lossListeners.add(onLost);
    return () => this.lossListeners.delete(onLost);
  }

  /**
   * Probes the leader, because a call has waited for it longer than usual. A frozen or unreachable leader would keep
   * all requests waiting until the next `follow` times out; a busy one answers a probe immediately.
   */
  async probe(): Promise<void> {
    const { leader, probingSince } = this;
    const sinceProbeMs = clock.elapsed(this.probedAt, this.options.readClocks());
    if (probingSince !== undefined || leader === '' || sinceProbeMs < PROBE_VALID_MS) return;
    this.probingSince = this.options.readClocks();
    const options = { timeoutMs: PROBE_TIMEOUT_MS };
    const answer = await this.options.client.call(leader, 'identify', {}, options);
    this.probingSince = undefined;
    if (this.leader !== leader) return;
    if (answer.ok) {
      this.probedAt = this.options.readClocks();
      return;
    }
    this.loseLeader('no sign of life');
    this.schedule(0);
  }

  private schedule(delayMs: number): void {
    if (this.isStopped) return;
    clearTimeout(this.timer);
    this.timer = setTimeout(() => {
      void this.pollNext();
    }, delayMs);
  }

  private async pollNext(): Promise<void> {
    if (this.leader === '') {
      // A poll of a keeper that was without power when its connection was opened would wait until the poll's timeout.
      this.polling.forEach((address) => this.options.client.dropOverdueConnection(address));
      // A keeper that is down or cut off doesn't answer, and one that has just started knows no leader.
      for (let i = 0; i < PARALLEL_SEARCHES; i++) void this.search();
      this.schedule(POLL_INTERVAL_MS.failed);
      return;
    }
    const outcome = await this.poll(this.leader);
    this.schedule(POLL_INTERVAL_MS[outcome]);
  }

  private async search(): Promise<void> {
    const address = this.nextCandidate();
    if (address !== '') await this.poll(address);
  }

  private nextCandidate(): string {
    const candidates = this.keepers.filter((address) => {
      return address !== this.options.address && !this.polling.has(address);
    });
    if (candidates.length === 0) return '';
    this.nextIndex = (this.nextIndex + 1) % candidates.length;
    return candidates[this.nextIndex];
  }

  /** Polls a keeper; an unexpected error must neither end the process nor the polls. */
  private async poll(address: string): Promise<PollOutcome> {
    this.polling.add(address);
    try {
      return await this.pollOnce(address);
    } catch (error) {
      this.options.observer.log('crashed', { keeper: address, error: String(error) });
      return 'failed';
    } finally {
      this.polling.delete(address);
    }
  }

  private async pollOnce(address: string): Promise<PollOutcome> {
    const polledAt = this.options.readClocks();
    const answer = await this.options.client.call<messages.FollowAnswer>(
      address,
      'follow',
      this.followRequest(address),
      { timeoutMs: address === this.leader ? POLL_TIMEOUT_MS : SEARCH_TIMEOUT_MS },
    );
    if (answer.err) {
      if (address === this.leader) this.loseLeader(`${answer.val.kind}: ${answer.val.detail}`);
      return 'failed';
    }
    if (answer.val.kind === 'redirect') {
      this.redirect(address, answer.val.leader);
      return 'failed';
    }
    // Another keeper may have been found while this one was answering.
    if (this.leader !== '' && this.leader !== address) return 'failed';
    this.confirm(address, polledAt, answer.val);
    return 'confirmed';
  }

  private followRequest(address: string): messages.FollowRequest {
    const { name, role, dataCentre, replica, fleetState: state } = this.options;
    const isNew = this.introducedTo !== address;
    // Hundreds of entries know no more than the few keepers; a new leader would decode the same records for half a
    // second.
    const sendsRecords = this.isSendingRecords || (isNew && role === 'keeper');
    return {
      name,
      role,
      process: this.process,
      ...(this.isStopping && { isStopping: true }),
      address: this.options.address,
      ...messages.catalogueStatementOf(state.version),
      mark: state.registryVersion,
      ...registrySnapshots.packRecords(sendsRecords ? state.registry.records() : []),
      dispatches: isNew ? this.options.dispatches() : [],
      suspects: isNew ? state.reportableSuspects() : [],
      limits: isNew ? state.limits.all() : [],
      evacuationRevision: state.evacuations.revision,
      replica: replica(),
      dataCentre,
      ...this.options.reachability?.(),
    };
  }

  /** Immediately polls the keeper that another one takes for the leader. */
  private redirect(from: string, leader: string): void {
    if (this.leader === from) this.loseLeader('no longer the leader');
    if (leader === '' || leader === from || this.leader !== '') return;
    this.knownKeepers.add(leader);
    if (!this.polling.has(leader)) void this.poll(leader);
  }

  private confirm(
    address: string,
    polledAt: clock.ClockReading,
    answer: messages.Confirmation,
  ): void {
    if (this.introducedTo !== address) {
      this.options.observer.log('leaderFound', { leader: address });
      this.introducedTo = address;
    }
    const isFound = this.leader === '';
    this.leader = address;
    if (isFound) this.schedule(POLL_INTERVAL_MS.confirmed);
    this.isSendingRecords = answer.lacksTargets;
    answer.keepers.forEach((keeper) => this.knownKeepers.add(keeper));
    this.options.fleetState.applyUpdate(answer.news);
    this.confirmedAt = polledAt;
    this.options.onConfirmed(answer);
  }

  private loseLeader(reason: string): void {
    if (this.leader !== '') {
      const { leader, confirmationAgeMs: age } = this;
      this.options.observer.log('leaderLost', { leader, reason, confirmedMsAgo: Math.round(age) });
    }
    this.leader = '';
    this.introducedTo = '';
    this.probedAt = clock.NEVER;
    [...this.lossListeners].forEach((onLost) => onLost());
    this.lossListeners.clear();
  }
}
