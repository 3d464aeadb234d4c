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
  heardAt: number;
}

/** A follower that hasn't asked for so long isn't waited for; more than two of its questions. */
const IN_TOUCH_MS = 1_300;

/** A follower that is silent for so long is forgotten: it ended, or follows another leader. */
const FORGET_MS = 4_000;

/** Longest wait for a follower's acknowledgement, milliseconds; a fifth of the shortest drain bound. */
const PUSH_TIMEOUT_MS = 400;

/** What is on its way to one follower, and what waits until that has arrived. */
interface Lane {
  waiting: messages.News | undefined;
  /** Resolves when what waits now has arrived, or was given up. */
  next: Promise<void>;
}

export class Followers {
  private readonly byName = new Map<string, Follower>();

  /** Pushes under way, by address. */
  private readonly lanes = new Map<string, Lane>();

  constructor(
    private readonly client: peerClient.PeerClient,
    private readonly now: () => number,
  ) {}

  heard({ name, role, address, dataCentre, replica }: messages.Follow): void {
    const heardAt = this.now();
    this.byName.set(name, { name, role, address, dataCentre, replica, heardAt });
  }

  all(): Follower[] {
    return [...this.byName.values()];
  }

  entries(): number {
    return this.all().filter(({ role }) => role === 'entry').length;
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

  /** Pushes news to everyone; resolves when those in touch have them or after a bound. */
  async push(news: messages.News): Promise<void> {
    const inTouch = this.all().filter(({ heardAt }) => this.now() - heardAt < IN_TOUCH_MS);
    await Promise.all(inTouch.map(({ address }) => this.pushTo(address, news)));
  }

  /**
   * One push at a time to each follower; what comes meanwhile goes together. So a leader that can't keep up sends fewer and
   * larger pushes, where it would otherwise fall further behind with each.
   */
  private async pushTo(address: string, news: messages.News): Promise<void> {
    const lane = this.lanes.get(address);
    if (lane === undefined) {
      await this.send(address, news);
      return;
    }
    lane.waiting = lane.waiting === undefined ? news : together(lane.waiting, news);
    await Promise.race([lane.next, clock.pause(PUSH_TIMEOUT_MS)]);
  }

  private async send(address: string, news: messages.News): Promise<void> {
    let finish = (): void => undefined;
    const next = new Promise<void>((resolve) => {
      finish = resolve;
    });
    const lane: Lane = { waiting: undefined, next };
    this.lanes.set(address, lane);
    await this.client.call(address, 'learn', news, { timeoutMs: PUSH_TIMEOUT_MS });
    this.lanes.delete(address);
    if (lane.waiting === undefined) finish();
    else void this.send(address, lane.waiting).then(finish);
  }

  /** Keepers with a replica that asked lately, as spares for the replica set. */
  spares(): domain.replication.repair.Spare[] {
    return this.all().flatMap(({ replica, address, dataCentre, heardAt }) => {
      const fresh = replica !== undefined && this.now() - heardAt < IN_TOUCH_MS;
      return fresh ? [{ id: replica, address, dataCentre }] : [];
    });
  }
}

/** Two pushes of which the second follows the first. */
function together(first: messages.News, second: messages.News): messages.News {
  const edition = second.edition ?? first.edition;
  // A whole registry replaces what came before.
  if (second.since === undefined) return { ...second, edition };
  const records = [...first.records, ...second.records];
  const suspects = [...first.suspects, ...second.suspects];
  return { ...first, edition, mark: second.mark, records, suspects };
}
