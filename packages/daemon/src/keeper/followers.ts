/**
 * The leader's view of who follows it, and the pushing of news to them. A push is acknowledged when the
 * follower has it in force, so an acknowledgement to a target or an operator can wait for those in touch.
 */
import type * as domain from '@celerydrift/domain';
import * as clock from '../clock';
import * as messages from '../fleet/messages';
import type * as peerClient from '../rpc/peerClient';

export interface Follower {
  name: string;
  role: 'entry' | 'keeper';
  address: string;
  dataCentre: string;
  replica: string | undefined;
  /** The state of the registry that it has, as far as it said. */
  mark: messages.RegistryMark;
  polledAt: number;
}

/** A follower that hasn't asked for so long isn't waited for; more than two of its questions. */
const RECENT_POLL_MS = 1_300;

/** A follower that is silent for so long is forgotten: it ended, or follows another leader. */
const FOLLOWER_TIMEOUT_MS = 4_000;

/** Longest wait for a follower's acknowledgement, milliseconds; a fifth of the shortest drain bound. */
const MAX_ACK_WAIT_MS = 400;

/**
 * A push that isn't answered for so long ends its connection, milliseconds. Sooner, a busy link or follower would cost the
 * connections of a whole fleet, and making them anew keeps it busy; the follower asks over its own connection meanwhile.
 */
const PUSH_TIMEOUT_MS = 1_500;

/** What is on its way to one follower, and what waits until that has arrived. */
interface InFlightPush {
  hasQueued: boolean;
  /** The newest catalogue among what waits. */
  edition: domain.catalogue.versions.Edition | undefined;
  /** Resolves when what waits now has arrived, or was given up. */
  next: Promise<void>;
}

/** What a follower with a state lacks at this moment; undefined where only a whole copy would do, which isn't pushed. */
export type UpdateSince = (
  mark: messages.RegistryMark,
) => Omit<messages.News, 'edition'> | undefined;

export class Followers {
  private readonly byName = new Map<string, Follower>();

  /** Pushes under way, by address. */
  private readonly inFlight = new Map<string, InFlightPush>();

  constructor(
    private readonly client: peerClient.PeerClient,
    private readonly now: () => number,
    private readonly updateSince: UpdateSince,
  ) {}

  polled({ name, role, address, dataCentre, replica, mark }: messages.Follow): void {
    const polledAt = this.now();
    this.byName.set(name, { name, role, address, dataCentre, replica, mark, polledAt });
  }

  has(name: string): boolean {
    return this.byName.has(name);
  }

  all(): Follower[] {
    return [...this.byName.values()];
  }

  entries(): number {
    return this.all().filter(({ role }) => role === 'entry').length;
  }

  get size(): number {
    return this.byName.size;
  }

  /** Forgets the silent ones and names them. */
  removeSilent(): Follower[] {
    const silent = this.all().filter(({ polledAt }) => this.now() - polledAt > FOLLOWER_TIMEOUT_MS);
    silent.forEach(({ name }) => this.byName.delete(name));
    return silent;
  }

  clear(): void {
    this.byName.clear();
  }

  /** Pushes to everyone what it lacks, and `news` to those of whom that isn't known; resolves when those in touch have it or after a bound. */
  async push(news: messages.News): Promise<void> {
    const reachable = this.all().filter(({ polledAt }) => this.now() - polledAt < RECENT_POLL_MS);
    await Promise.all(reachable.map((follower) => this.pushTo(follower, news)));
  }

  /**
   * One push at a time to each follower; what it lacks by the time that this one is answered goes together. So a leader that can't
   * keep up sends fewer and larger pushes, where it would otherwise fall further behind with each.
   */
  private async pushTo(follower: Follower, news: messages.News): Promise<void> {
    const push = this.inFlight.get(follower.address);
    if (push === undefined) {
      const update = this.updateSince(follower.mark);
      const sent = this.send(
        follower,
        update === undefined ? news : updateOf(news.edition, update),
      );
      await Promise.race([sent, clock.pause(MAX_ACK_WAIT_MS)]);
      return;
    }
    push.hasQueued = true;
    push.edition = news.edition ?? push.edition;
    await Promise.race([push.next, clock.pause(MAX_ACK_WAIT_MS)]);
  }

  private async send(follower: Follower, news: messages.News): Promise<void> {
    const { address } = follower;
    let finish = (): void => undefined;
    const next = new Promise<void>((resolve) => {
      finish = resolve;
    });
    const push: InFlightPush = { hasQueued: false, edition: undefined, next };
    this.inFlight.set(address, push);
    const answer = await this.client.call<Partial<messages.Learned>>(address, 'learn', news, {
      timeoutMs: PUSH_TIMEOUT_MS,
    });
    this.inFlight.delete(address);
    if (answer.ok) follower.mark = answer.val.mark ?? news.mark;
    if (!push.hasQueued) {
      finish();
      return;
    }
    // One that waits for its copy of the registry must hear of targets that leave all the same.
    const update = this.updateSince(follower.mark) ?? this.updateSince(news.mark);
    void this.send(follower, updateOf(push.edition, update)).then(finish);
  }

  /** Keepers with a replica that asked lately, as spares for the replica set. */
  spares(): domain.replication.repair.Spare[] {
    return this.all().flatMap(({ replica, address, dataCentre, polledAt }) => {
      const fresh = replica !== undefined && this.now() - polledAt < RECENT_POLL_MS;
      return fresh ? [{ id: replica, address, dataCentre }] : [];
    });
  }
}

/** A push of what is known; an edition alone builds on no state. */
function updateOf(
  edition: domain.catalogue.versions.Edition | undefined,
  update: Omit<messages.News, 'edition'> | undefined,
): messages.News {
  const empty = {
    mark: messages.NO_MARK,
    since: messages.NO_MARK,
    records: [],
    suspects: [],
    limits: [],
  };
  return { edition, ...(update ?? empty) };
}
