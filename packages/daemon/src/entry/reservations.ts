/**
 * Memory that engines keep for one prompt. A reservation is short and renewed while the request runs: an
 * entry that dies, or a release that is lost or carried out late, leaves memory set aside for seconds only.
 */
import * as crypto from 'node:crypto';
import type * as domain from '@celerydrift/domain';
import * as clock from '../clock';
import type * as protocols from '../edges/protocols';
import type * as observer from '../observability/observer';
import type * as limitWatch from './limitWatch';
import type * as targetClient from './targetClient';

type Helper = domain.allocation.allocator.Helper;

export interface Parts {
  protocol: protocols.TrafficProtocol;
  targets: targetClient.TargetClient;
  limits: Pick<limitWatch.LimitWatch, 'spent'>;
  observer: observer.Observer;
}

/**
 * How long memory is kept without a renewal, milliseconds. Memory that no request uses must be free after
 * 4 s, so an entry that dies right after a renewal must leave it for less.
 */
const HOLD_MS = 3_500;

/** A third, so that two renewals in a row may be lost. */
const RENEW_EVERY_MS = 1_100;

/** Longest wait for the answer to an order, milliseconds; a few ways there and back. */
const ORDER_TIMEOUT_MS = 300;

/** Pause before a release without an answer is sent again, and how often; together over `HOLD_MS`. */
const RELEASE_AGAIN_MS = 600;
const RELEASE_TRIES = 6;

interface Held {
  helper: Helper;
  id: string;
}

export class Reservations {
  private held: Held[] = [];

  private timer: NodeJS.Timeout | undefined;

  constructor(
    private readonly request: string,
    private readonly parts: Parts,
  ) {}

  /** Reserves what the helpers are to keep, on all or on none of them. */
  async take(helpers: readonly Helper[]): Promise<boolean> {
    this.held = helpers
      .filter(({ keptTokens }) => keptTokens > 0)
      .map((helper) => ({ helper, id: crypto.randomUUID() }));
    if (this.held.length === 0) return true;
    const statuses = await Promise.all(this.held.map((each) => this.reserve(each)));
    const isComplete = statuses.every((status) => status === 200);
    const { request } = this;
    this.parts.observer.log('memoryReserved', { request, statuses, complete: isComplete });
    if (!isComplete) {
      this.release();
      return false;
    }
    this.timer = setInterval(() => this.renew(), RENEW_EVERY_MS);
    return true;
  }

  /** The helpers as the request names them. */
  named(helpers: readonly Helper[]): protocols.Helper[] {
    return helpers.map(({ target, address }) => {
      const held = this.held.find(({ helper }) => helper.target === target);
      return { address, reservation: held?.id };
    });
  }

  /** Gives everything back; goes on in the background until the targets have confirmed. */
  release(): void {
    clearInterval(this.timer);
    this.held.splice(0).forEach((each) => {
      void this.releaseOne(each);
    });
  }

  private renew(): void {
    this.held.forEach((each) => {
      void this.reserve(each);
    });
  }

  private async reserve({ helper, id }: Held): Promise<number> {
    const call = this.parts.protocol.reserve(helper.target, id, helper.keptTokens, HOLD_MS);
    this.parts.limits.spent(helper.target);
    return this.parts.targets.call(helper.target, helper.address, call, ORDER_TIMEOUT_MS);
  }

  private async releaseOne({ helper, id }: Held): Promise<void> {
    const call = this.parts.protocol.release(helper.target, id);
    for (let i = 0; i < RELEASE_TRIES; i++) {
      const { target, address } = helper;
      this.parts.limits.spent(target);
      const status = await this.parts.targets.call(target, address, call, ORDER_TIMEOUT_MS);
      if (status >= 200) return;
      this.parts.observer.log('releaseRetried', { request: this.request, target });
      await clock.pause(RELEASE_AGAIN_MS);
    }
  }
}
