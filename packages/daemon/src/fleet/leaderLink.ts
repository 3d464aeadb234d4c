/**
 * Follows the leader of the keepers: finds it, asks it again and again whether what is held here is the
 * newest, and takes its news. Each confirmation starts a lease. A daemon without one may be cut off from
 * changes, such as a key that was taken away, and must not serve what they could forbid.
 */
import * as clock from '../clock';
import type * as observer from '../observability/observer';
import type * as peerClient from '../rpc/peerClient';
import type * as holding from './holding';
import * as messages from './messages';
import * as registryCopies from './registryCopies';

export interface Options {
  name: string;
  role: 'entry' | 'keeper';
  address: string;
  dataCentre: string;
  replica: () => string | undefined;
  seeds: readonly string[];
  client: peerClient.PeerClient;
  holding: holding.Holding;
  observer: observer.Observer;
  moment: () => clock.Moment;
  /** What runs here, for a new leader's allocator. */
  dispatches: () => messages.Dispatched[];
  onConfirmed: (answer: messages.Confirmed) => void;
}

type PollOutcome = 'confirmed' | 'failed';

/** Pause before the next question, by what came of the last, milliseconds. */
const POLL_INTERVAL_MS: Record<PollOutcome, number> = {
  // Eight fit into the shortest lease of 4 s.
  confirmed: 500,
  // No leader is known; a new one is elected within 0.8 to 1.2 s.
  failed: 100,
};

/**
 * How long a connection among entries and keepers may take, milliseconds: some thirty ways there and back. One to a VM that
 * had no power when it was begun is begun anew with the next message after that.
 */
export const CONNECT_TIMEOUT_MS = 100;

/**
 * A leader that was asked for a sign of life must give one within so long, milliseconds: a hundred ways there and
 * back, and what a busy leader takes for the plans of a burst.
 */
const PROBE_TIMEOUT_MS = 300;

/**
 * A leader that gave a sign of life so lately isn't asked for another, milliseconds; a frozen one is
 * found that much later at most. While a crowd came back to a new leader, two hundred entries asked it a
 * thousand times a second, each time one of their prompts had waited a little.
 */
const PROBE_VALID_MS = 300;

/** A leader that is silent for longer is looked for elsewhere, milliseconds; covers its wait for the next heartbeat. */
const POLL_TIMEOUT_MS = 700;

/**
 * The same for a keeper that may lead and hasn't confirmed this follower yet; others are asked meanwhile. A new leader has the
 * whole fleet's first questions at once, and a question that is given up begins anew with a connection.
 */
const SEARCH_TIMEOUT_MS = 2_000;

/**
 * Keepers that are asked at once while no leader is known. With one, entries found a new leader 80 to 250 ms after its
 * election; any of the others knows it within a heartbeat.
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
   * Keepers with a question under way. A new leader of hundreds of entries answers the first ones late; asked again by each
   * meanwhile, it would answer several times as many, and all of them too late.
   */
  private readonly polling = new Set<string>();

  private stopped = false;

  /** When the present leader last answered that it lives. */
  private probedAt = clock.NEVER;

  /** When it was asked for a sign of life that hasn't come yet. */
  private probingSince: clock.Moment | undefined;

  /** Called when the present leader is lost. */
  private readonly lossListeners = new Set<() => void>();

  /** The last leader that got this daemon's dispatches, and a keeper's whole registry. */
  private introducedTo = '';

  /** Whether the leader asked for this daemon's registry. */
  private isSendingRecords = false;

  constructor(private readonly options: Options) {
    this.knownKeepers = new Set(options.seeds);
  }

  start(): void {
    this.schedule(0);
  }

  stop(): void {
    this.stopped = true;
    clearTimeout(this.timer);
  }

  /** Keepers from a settings file that was read again. */
  addSeeds(seeds: readonly string[]): void {
    seeds.forEach((seed) => this.knownKeepers.add(seed));
  }

  get keepers(): string[] {
    return [...this.knownKeepers];
  }

  /** Milliseconds since a confirmation was asked for that came; infinite if none ever did. */
  get age(): number {
    return clock.elapsed(this.confirmedAt, this.options.moment());
  }

  /** How long the leader owes a sign of life, milliseconds; 0 where none was asked for. */
  get silentMs(): number {
    const { probingSince } = this;
    return probingSince === undefined ? 0 : clock.elapsed(probingSince, this.options.moment());
  }

  /** The leader didn't answer another call: the next question goes elsewhere. */
  doubt(address: string): void {
    if (address === this.leader) this.loseLeader('a call to it failed');
  }

  /** Calls `onLost` once when the present leader is lost; the result takes that back. */
  onLost(onLost: () => void): () => void {
    this.lossListeners.add(onLost);
    return () => this.lossListeners.delete(onLost);
  }

  /**
   * Some call has waited for the leader longer than usual. One that is frozen or cut off would keep all requests
   * waiting until the next `follow` times out; a busy one answers this at once.
   */
  async verify(): Promise<void> {
    const { leader, probingSince } = this;
    const sinceProbeMs = clock.elapsed(this.probedAt, this.options.moment());
    if (probingSince !== undefined || leader === '' || sinceProbeMs < PROBE_VALID_MS) return;
    this.probingSince = this.options.moment();
    const options = { timeoutMs: PROBE_TIMEOUT_MS };
    const answer = await this.options.client.call(leader, 'identify', {}, options);
    this.probingSince = undefined;
    if (this.leader !== leader) return;
    if (answer.ok) {
      this.probedAt = this.options.moment();
      return;
    }
    this.loseLeader('no sign of life');
    this.schedule(0);
  }

  private schedule(delayMs: number): void {
    if (this.stopped) return;
    clearTimeout(this.timer);
    this.timer = setTimeout(() => {
      void this.pollNext();
    }, delayMs);
  }

  private async pollNext(): Promise<void> {
    if (this.leader === '') {
      // One that had no power when its connection was begun would be waited for until the question's timeout.
      this.polling.forEach((address) => this.options.client.dropStuck(address));
      // One that is down or cut off doesn't answer, and one that has just started knows no leader.
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

  private async poll(address: string): Promise<PollOutcome> {
    const polledAt = this.options.moment();
    this.polling.add(address);
    const answer = await this.options.client.call<messages.FollowAnswer>(
      address,
      'follow',
      this.followRequest(address),
      { timeoutMs: address === this.leader ? POLL_TIMEOUT_MS : SEARCH_TIMEOUT_MS },
    );
    this.polling.delete(address);
    if (answer.err) {
      if (address === this.leader) this.loseLeader(`${answer.val.kind}: ${answer.val.detail}`);
      return 'failed';
    }
    if (answer.val.kind === 'redirect') {
      this.redirect(address, answer.val.leader);
      return 'failed';
    }
    // Another keeper may have been found while this one took its time.
    if (this.leader !== '' && this.leader !== address) return 'failed';
    this.confirm(address, polledAt, answer.val);
    return 'confirmed';
  }

  private followRequest(address: string): messages.FollowRequest {
    const { name, role, dataCentre, replica, holding: state } = this.options;
    const isNew = this.introducedTo !== address;
    // Hundreds of entries know no more than the few keepers; a new leader would read the same records for half a second.
    const sendsRecords = this.isSendingRecords || (isNew && role === 'keeper');
    return {
      name,
      role,
      address: this.options.address,
      version: state.version,
      mark: state.mark,
      ...registryCopies.packRecords(sendsRecords ? state.registry.records() : []),
      dispatches: isNew ? this.options.dispatches() : [],
      suspects: isNew ? state.suspectsToTell() : [],
      limits: isNew ? state.limits.all() : [],
      replica: replica(),
      dataCentre,
    };
  }

  /** Asks the keeper that another one takes for the leader, at once. */
  private redirect(from: string, leader: string): void {
    if (this.leader === from) this.loseLeader('no longer the leader');
    if (leader === '' || leader === from || this.leader !== '') return;
    this.knownKeepers.add(leader);
    if (!this.polling.has(leader)) void this.poll(leader);
  }

  private confirm(address: string, polledAt: clock.Moment, answer: messages.Confirmed): void {
    if (this.introducedTo !== address) {
      this.options.observer.log('leaderFound', { leader: address });
      this.introducedTo = address;
    }
    const isFound = this.leader === '';
    this.leader = address;
    if (isFound) this.schedule(POLL_INTERVAL_MS.confirmed);
    this.isSendingRecords = answer.lacksTargets;
    answer.keepers.forEach((keeper) => this.knownKeepers.add(keeper));
    this.options.holding.takeNews(answer.news);
    this.confirmedAt = polledAt;
    this.options.onConfirmed(answer);
  }

  private loseLeader(reason: string): void {
    if (this.leader !== '') {
      const { leader, age } = this;
      this.options.observer.log('leaderLost', { leader, reason, confirmedMsAgo: Math.round(age) });
    }
    this.leader = '';
    this.introducedTo = '';
    this.probedAt = clock.NEVER;
    [...this.lossListeners].forEach((onLost) => onLost());
    this.lossListeners.clear();
  }
}
