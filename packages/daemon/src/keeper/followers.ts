/**
 * The leader's view of who follows it, and the pushing of news to them. A push is acknowledged when the
 * follower has it in force, so an acknowledgement to a target or an operator can wait for those in touch.
 */
import type * as domain from '@celerydrift/domain';
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

export class Followers {
  private readonly byName = new Map<string, Follower>();

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
    await Promise.all(
      inTouch.map(({ address }) =>
        this.client.call(address, 'learn', news, { timeoutMs: PUSH_TIMEOUT_MS }),
      ),
    );
  }

  /** Keepers with a replica that asked lately, as spares for the replica set. */
  spares(): domain.replication.repair.Spare[] {
    return this.all().flatMap(({ replica, address, dataCentre, heardAt }) => {
      const fresh = replica !== undefined && this.now() - heardAt < IN_TOUCH_MS;
      return fresh ? [{ id: replica, address, dataCentre }] : [];
    });
  }
}
