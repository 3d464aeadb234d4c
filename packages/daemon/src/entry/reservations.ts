/**
 * Memory that prefill helpers reserve for one prompt. Reservations are short leases that are renewed while the request
 * runs, so that an entry that dies, or a lost or late release, blocks memory for seconds only.
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
  signals: Pick<targetSignals.TargetSignals, 'backOffMs' | 'bornAt'>;
  observer: observer.Observer;
  now: () => number;
}

/**
 * Lease without a renewal, milliseconds. Memory that no request uses must be free after 4 s, also if its entry dies
 * right after a renewal.
 */
const LEASE_MS = 3_500;

const OK = 200;

/** Renewal interval, milliseconds: a third of the lease, so that two renewals in a row may be lost. */
const RENEW_INTERVAL_MS = 1_100;

/** Timeout of a call to reserve, renew or release, milliseconds: a few round trips. */
const ORDER_TIMEOUT_MS = 300;

/**
 * Pause before an unanswered release is retried, milliseconds, and the number of tries; together longer than
 * `LEASE_MS`.
 */
const RELEASE_RETRY_MS = 600;
const MAX_RELEASE_TRIES = 6;

/** Longest lease that targets grant, milliseconds; they refuse a longer one. */
const MAX_LEASE_MS = 20_000;

interface Reservation {
  helper: Helper;
  /** Start time of the helper's lifetime; a later one holds nothing of it. */
  bornAt: number;
  id: string;
  /** When the lease expires without another renewal. */
  until: number;
}

export class Reservations {
  private reservations: Reservation[] = [];

  private timer: NodeJS.Timeout | undefined;

  constructor(
    private readonly request: string,
    private readonly dependencies: Dependencies,
  ) {}

  /** Reserves memory on all helpers that are to keep tokens, or on none. */
  async reserveAll(helpers: readonly Helper[]): Promise<boolean> {
    this.reservations = helpers
      .filter(({ keptTokens }) => keptTokens > 0)
      .map((helper) => {
        const bornAt = this.dependencies.signals.bornAt(helper.target);
        return { helper, bornAt, id: crypto.randomUUID(), until: 0 };
      });
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

  /** The helpers with their reservations, as the request lists them. */
  withReservations(helpers: readonly Helper[]): protocols.PrefillHelper[] {
    return helpers.map(({ target, address }) => {
      const reservation = this.reservations.find(({ helper }) => helper.target === target);
      return { address, reservation: reservation?.id };
    });
  }

  /** Releases everything; retries in the background until the targets have confirmed. */
  release(): void {
    clearInterval(this.timer);
    this.reservations.splice(0).forEach((each) => {
      void this.releaseOne(each);
    });
  }

  private renew(): void {
    const now = this.dependencies.now();
    this.reservations
      .filter((each) => each.until - now < LEASE_MS && this.isHeld(each))
      .forEach((each) => {
        void this.reserveOne(each, 'upkeep');
      });
  }

  /**
   * Resolves to the response's status, 0 without one. For a target in back-off the lease covers the remaining back-off.
   */
  private async reserveOne(reservation: Reservation, purpose: 'order' | 'upkeep'): Promise<number> {
    const { protocol, signals, targets, limits, now } = this.dependencies;
    const { target, address, keptTokens } = reservation.helper;
    const leaseMs = Math.min(MAX_LEASE_MS, LEASE_MS + signals.backOffMs(target));
    const call = protocol.reserve(target, reservation.id, keptTokens, leaseMs);
    limits.spent(target);
    const result = await targets.call({ target, address, purpose }, call, ORDER_TIMEOUT_MS);
    // Nothing was reserved, so there is nothing to release.
    if (result.kind === 'withheld' && purpose === 'order') this.forget(reservation);
    if (result.kind !== 'answered') return 0;
    if (result.status === OK)
      Object.assign(reservation, { until: now() + leaseMs - ORDER_TIMEOUT_MS });
    return result.status;
  }

  private forget(reservation: Reservation): void {
    this.reservations = this.reservations.filter((each) => each !== reservation);
  }

  /**
   * Whether the lifetime that made the reservation still runs; a renewal would reserve memory at the next one anew. Where
   * the lifetime wasn't known at the time (`bornAt` is 0), the reservation is renewed and released all the same.
   */
  private isHeld({ helper, bornAt }: Reservation): boolean {
    return bornAt === 0 || this.dependencies.signals.bornAt(helper.target) === bornAt;
  }

  private async releaseOne(reservation: Reservation): Promise<void> {
    const { helper, id } = reservation;
    const call = this.dependencies.protocol.release(helper.target, id);
    for (let i = 0; i < MAX_RELEASE_TRIES && this.isHeld(reservation); i++) {
      const { target, address } = helper;
      this.dependencies.limits.spent(target);
      const recipient = { target, address, purpose: 'upkeep' } as const;
      const result = await this.dependencies.targets.call(recipient, call, ORDER_TIMEOUT_MS);
      if (result.kind === 'answered') return;
      this.dependencies.observer.log('releaseRetried', { request: this.request, target });
      await clock.sleep(RELEASE_RETRY_MS);
    }
  }
}
