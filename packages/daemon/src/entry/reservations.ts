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
import type * as targetSignals from './targetSignals';

type Helper = domain.allocation.allocator.Helper;

export interface Parts {
  protocol: protocols.TrafficProtocol;
  targets: targetClient.TargetClient;
  limits: Pick<limitWatch.LimitWatch, 'spent'>;
  signals: Pick<targetSignals.TargetSignals, 'backOffMs'>;
  observer: observer.Observer;
  now: () => number;
}

/**
 * How long memory is kept without a renewal, milliseconds. Memory that no request uses must be free after
 * 4 s, so an entry that dies right after a renewal must leave it for less.
 */
const HOLD_MS = 3_500;

const OK = 200;

/** A third, so that two renewals in a row may be lost. */
const RENEW_EVERY_MS = 1_100;

/** Longest wait for the answer to an order, milliseconds; a few ways there and back. */
const ORDER_TIMEOUT_MS = 300;

/** Pause before a release without an answer is sent again, and how often; together over `HOLD_MS`. */
const RELEASE_AGAIN_MS = 600;
const RELEASE_TRIES = 6;

/** Longest time for which a target is asked to keep memory, milliseconds; more it refuses. */
const LONGEST_HOLD_MS = 20_000;

interface Held {
  helper: Helper;
  id: string;
  /** Until when the target keeps it without another renewal. */
  until: number;
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
      .map((helper) => ({ helper, id: crypto.randomUUID(), until: 0 }));
    if (this.held.length === 0) return true;
    const statuses = await Promise.all(this.held.map((each) => this.reserve(each, 'order')));
    const isComplete = statuses.every((status) => status === OK);
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
    const now = this.parts.now();
    this.held
      .filter(({ until }) => until - now < HOLD_MS)
      .forEach((each) => {
        void this.reserve(each, 'upkeep');
      });
  }

  /** The target's status; 0 where it gave none. One that wants nothing for a while is asked once for all of that time. */
  private async reserve(held: Held, purpose: 'order' | 'upkeep'): Promise<number> {
    const { protocol, signals, targets, limits, now } = this.parts;
    const { target, address, keptTokens } = held.helper;
    const holdMs = Math.min(LONGEST_HOLD_MS, HOLD_MS + signals.backOffMs(target));
    const call = protocol.reserve(target, held.id, keptTokens, holdMs);
    limits.spent(target);
    const end = await targets.call({ target, address, purpose }, call, ORDER_TIMEOUT_MS);
    if (end.kind !== 'answered') return 0;
    if (end.status === OK) Object.assign(held, { until: now() + holdMs - ORDER_TIMEOUT_MS });
    return end.status;
  }

  private async releaseOne({ helper, id }: Held): Promise<void> {
    const call = this.parts.protocol.release(helper.target, id);
    for (let i = 0; i < RELEASE_TRIES; i++) {
      const { target, address } = helper;
      this.parts.limits.spent(target);
      const about = { target, address, purpose: 'upkeep' } as const;
      const end = await this.parts.targets.call(about, call, ORDER_TIMEOUT_MS);
      if (end.kind === 'answered') return;
      this.parts.observer.log('releaseRetried', { request: this.request, target });
      await clock.pause(RELEASE_AGAIN_MS);
    }
  }
}
