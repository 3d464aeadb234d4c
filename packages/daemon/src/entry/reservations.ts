/**
 * Memory that engines keep for one prompt. A reservation is short and renewed while the request runs: an
 * entry that dies, or a release that is lost or carried out late, leaves memory set aside for seconds only.
 */
import * as crypto from 'node:crypto';
import type * as domain from '@celerydrift/domain';
import * as clock from '../clock';
import type * as protocols from '../edges/protocols';
import type * as observer from '../observability/observer';
import type * as rateLimitClient from './rateLimitClient';
import type * as targetClient from './targetClient';
import type * as targetSignals from './targetSignals';

type Helper = domain.allocation.allocator.Helper;

export interface Dependencies {
  protocol: protocols.TrafficProtocol;
  targets: targetClient.TargetClient;
  limits: Pick<rateLimitClient.RateLimitClient, 'spent'>;
  signals: Pick<targetSignals.TargetSignals, 'backOffMs'>;
  observer: observer.Observer;
  now: () => number;
}

/**
 * How long memory is kept without a renewal, milliseconds. Memory that no request uses must be free after
 * 4 s, so an entry that dies right after a renewal must leave it for less.
 */
const LEASE_MS = 3_500;

const OK = 200;

/** A third, so that two renewals in a row may be lost. */
const RENEW_INTERVAL_MS = 1_100;

/** Longest wait for the answer to an order, milliseconds; a few ways there and back. */
const ORDER_TIMEOUT_MS = 300;

/** Pause before a release without an answer is sent again, and how often; together over `HOLD_MS`. */
const RELEASE_RETRY_MS = 600;
const MAX_RELEASE_TRIES = 6;

/** Longest time for which a target is asked to keep memory, milliseconds; more it refuses. */
const MAX_LEASE_MS = 20_000;

interface Reservation {
  helper: Helper;
  id: string;
  /** Until when the target keeps it without another renewal. */
  until: number;
}

export class Reservations {
  private reservations: Reservation[] = [];

  private timer: NodeJS.Timeout | undefined;

  constructor(
    private readonly request: string,
    private readonly dependencies: Dependencies,
  ) {}

  /** Reserves what the helpers are to keep, on all or on none of them. */
  async reserveAll(helpers: readonly Helper[]): Promise<boolean> {
    this.reservations = helpers
      .filter(({ keptTokens }) => keptTokens > 0)
      .map((helper) => ({ helper, id: crypto.randomUUID(), until: 0 }));
    if (this.reservations.length === 0) return true;
    const statuses = await Promise.all(
      this.reservations.map((each) => this.reserveOne(each, 'order')),
    );
    const isComplete = statuses.every((status) => status === OK);
    const { request } = this;
    this.dependencies.observer.log('memoryReserved', { request, statuses, complete: isComplete });
    if (!isComplete) {
      this.release();
      return false;
    }
    this.timer = setInterval(() => this.renew(), RENEW_INTERVAL_MS);
    return true;
  }

  /** The helpers as the request names them. */
  named(helpers: readonly Helper[]): protocols.Helper[] {
    return helpers.map(({ target, address }) => {
      const reservation = this.reservations.find(({ helper }) => helper.target === target);
      return { address, reservation: reservation?.id };
    });
  }

  /** Gives everything back; goes on in the background until the targets have confirmed. */
  release(): void {
    clearInterval(this.timer);
    this.reservations.splice(0).forEach((each) => {
      void this.releaseOne(each);
    });
  }

  private renew(): void {
    const now = this.dependencies.now();
    this.reservations
      .filter(({ until }) => until - now < LEASE_MS)
      .forEach((each) => {
        void this.reserveOne(each, 'upkeep');
      });
  }

  /** The target's status; 0 where it gave none. One that wants nothing for a while is asked once for all of that time. */
  private async reserveOne(reservation: Reservation, purpose: 'order' | 'upkeep'): Promise<number> {
    const { protocol, signals, targets, limits, now } = this.dependencies;
    const { target, address, keptTokens } = reservation.helper;
    const leaseMs = Math.min(MAX_LEASE_MS, LEASE_MS + signals.backOffMs(target));
    const call = protocol.reserve(target, reservation.id, keptTokens, leaseMs);
    limits.spent(target);
    const result = await targets.call({ target, address, purpose }, call, ORDER_TIMEOUT_MS);
    if (result.kind !== 'answered') return 0;
    if (result.status === OK)
      Object.assign(reservation, { until: now() + leaseMs - ORDER_TIMEOUT_MS });
    return result.status;
  }

  private async releaseOne({ helper, id }: Reservation): Promise<void> {
    const call = this.dependencies.protocol.release(helper.target, id);
    for (let i = 0; i < MAX_RELEASE_TRIES; i++) {
      const { target, address } = helper;
      this.dependencies.limits.spent(target);
      const recipient = { target, address, purpose: 'upkeep' } as const;
      const result = await this.dependencies.targets.call(recipient, call, ORDER_TIMEOUT_MS);
      if (result.kind === 'answered') return;
      this.dependencies.observer.log('releaseRetried', { request: this.request, target });
      await clock.pause(RELEASE_RETRY_MS);
    }
  }
}
