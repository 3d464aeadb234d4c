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
  heardAt: number;
}

/** A follower that hasn't asked for so long isn't waited for; more than two of its questions. */
const IN_TOUCH_MS = 1_300;

/** A follower that is silent for so long is forgotten: it ended, or follows another leader. */
const FORGET_MS = 4_000;

/** Longest wait for a follower's acknowledgement, milliseconds; a fifth of the shortest drain bound. */
const ACKNOWLEDGED_MS = 400;

/**
 * A push that isn't answered for so long ends its connection, milliseconds. Sooner, a busy link or follower would cost the
 * connections of a whole fleet, and making them anew keeps it busy; the follower asks over its own connection meanwhile.
 */
const SILENT_MS = 1_500;

/** What is on its way to one follower, and what waits until that has arrived. */
interface Lane {
  isWaiting: boolean;
  /** The newest catalogue among what waits. */
  edition: domain.catalogue.versions.Edition | undefined;
  /** Resolves when what waits now has arrived, or was given up. */
  next: Promise<void>;
}

/** What a follower with a state lacks at this moment; undefined where only a whole copy would do, which isn't pushed. */
export type MissedSince = (
  mark: messages.RegistryMark,
) => Omit<messages.News, 'edition'> | undefined;

export class Followers {
  private readonly byName = new Map<string, Follower>();

  /** Pushes under way, by address. */
  private readonly lanes = new Map<string, Lane>();

  constructor(
    private readonly client: peerClient.PeerClient,
    private readonly now: () => number,
    private readonly missedSince: MissedSince,
  ) {}

  heard({ name, role, address, dataCentre, replica, mark }: messages.Follow): void {
    const heardAt = this.now();
    this.byName.set(name, { name, role, address, dataCentre, replica, mark, heardAt });
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
  forgetSilent(): Follower[] {
    const silent = this.all().filter(({ heardAt }) => this.now() - heardAt > FORGET_MS);
    silent.forEach(({ name }) => this.byName.delete(name));
    return silent;
  }

  clear(): void {
    this.byName.clear();
  }

  /** Pushes to everyone what it lacks, and `news` to those of whom that isn't known; resolves when those in touch have it or after a bound. */
  async push(news: messages.News): Promise<void> {
    const inTouch = this.all().filter(({ heardAt }) => this.now() - heardAt < IN_TOUCH_MS);
    await Promise.all(inTouch.map((follower) => this.pushTo(follower, news)));
  }

  /**
   * One push at a time to each follower; what it lacks by the time that this one is answered goes together. So a leader that can't
   * keep up sends fewer and larger pushes, where it would otherwise fall further behind with each.
   */
  private async pushTo(follower: Follower, news: messages.News): Promise<void> {
    const lane = this.lanes.get(follower.address);
    if (lane === undefined) {
      const missed = this.missedSince(follower.mark);
      const sent = this.send(follower, missed === undefined ? news : newsOf(news.edition, missed));
      await Promise.race([sent, clock.pause(ACKNOWLEDGED_MS)]);
      return;
    }
    lane.isWaiting = true;
    lane.edition = news.edition ?? lane.edition;
    await Promise.race([lane.next, clock.pause(ACKNOWLEDGED_MS)]);
  }

  private async send(follower: Follower, news: messages.News): Promise<void> {
    const { address } = follower;
    let finish = (): void => undefined;
    const next = new Promise<void>((resolve) => {
      finish = resolve;
    });
    const lane: Lane = { isWaiting: false, edition: undefined, next };
    this.lanes.set(address, lane);
    const answer = await this.client.call<Partial<messages.Learned>>(address, 'learn', news, {
      timeoutMs: SILENT_MS,
    });
    this.lanes.delete(address);
    if (answer.ok) follower.mark = answer.val.mark ?? news.mark;
    if (!lane.isWaiting) {
      finish();
      return;
    }
    // One that waits for its copy of the registry must hear of targets that leave all the same.
    const missed = this.missedSince(follower.mark) ?? this.missedSince(news.mark);
    void this.send(follower, newsOf(lane.edition, missed)).then(finish);
  }

  /** Keepers with a replica that asked lately, as spares for the replica set. */
  spares(): domain.replication.repair.Spare[] {
    return this.all().flatMap(({ replica, address, dataCentre, heardAt }) => {
      const fresh = replica !== undefined && this.now() - heardAt < IN_TOUCH_MS;
      return fresh ? [{ id: replica, address, dataCentre }] : [];
    });
  }
}

/** A push of what is known; an edition alone builds on no state. */
function newsOf(
  edition: domain.catalogue.versions.Edition | undefined,
  missed: Omit<messages.News, 'edition'> | undefined,
): messages.News {
  const nothing = {
    mark: messages.NO_MARK,
    since: messages.NO_MARK,
    records: [],
    suspects: [],
    limits: [],
  };
  return { edition, ...(missed ?? nothing) };
}
