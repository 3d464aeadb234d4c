/**
 * Memory that prefill helpers reserve for one prompt. Reservations are short leases that are renewed while the request
 * runs, so that an entry that dies, or a lost or late release, blocks memory for seconds only.
 *
 * An engine that has gone dark runs the request no longer, but can't be told from one that reads a long prompt: the
 * request may await its response for longer than the memory may be held. So a lease begins when the engine was last
 * heard from, not when it is renewed, and an engine without events is probed for each renewal.
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
 * Lease from the time at which the engine that uses the memory was last heard from, milliseconds. Memory that no request
 * uses must be free after 4 s, also if the entry dies right after a renewal.
 */
const LEASE_MS = 3_500;

const OK = 200;

/** An engine that was heard from this long ago isn't probed for a renewal, milliseconds: a few engine steps. */
const RECENT_MS = 300;

/**
 * Renewal interval, milliseconds: a third of the lease that is left with an engine that was heard from `RECENT_MS` ago,
 * so that two renewals in a row may be lost.
 */
const RENEW_INTERVAL_MS = 1_000;

/** Pause before an engine that didn't respond is probed again, milliseconds; a sound one may be silent for a second. */
const PROBE_RETRY_MS = 200;

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

/** The engine that runs the request and uses the memory, as seen by this entry. */
export interface Engine {
  /** When bytes of its response last arrived, on the steady clock, milliseconds; 0 before the first. */
  lastHeardAt: () => number;
  /** Probes it; resolves to whether its response may still arrive. */
  isResponsive: () => Promise<boolean>;
}

export class Reservations {
  private reservations: Reservation[] = [];

  private renewal: NodeJS.Timeout | undefined;

  private stopExpiry: () => void = () => undefined;

  /** When the engine was last known to be alive. */
  private heardAt = 0;

  constructor(
    private readonly request: string,
    private readonly dependencies: Dependencies,
  ) {}

  /** Reserves memory on all helpers that are to keep tokens, or on none; nothing more if it is reserved already. */
  async reserveAll(helpers: readonly Helper[]): Promise<boolean> {
    if (this.reservations.length > 0) return true;
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
    return true;
  }

  /** Renews the reservations from now on, when the request is sent, and releases them if its engine goes dark. */
  renewFor(engine: Engine): void {
    if (this.reservations.length === 0) return;
    this.heardAt = this.dependencies.now();
    this.startRenewal(engine, RENEW_INTERVAL_MS);
    this.startExpiry(engine);
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
    clearTimeout(this.renewal);
    this.stopExpiry();
    this.reservations.splice(0).forEach((each) => {
      void this.releaseOne(each);
    });
  }

  private startRenewal(engine: Engine, delayMs: number): void {
    this.renewal = setTimeout(() => {
      void this.renew(engine);
    }, delayMs);
  }

  private async renew(engine: Engine): Promise<void> {
    const isHeardFrom = await this.isHeardFrom(engine);
    // They may have been released during the probe.
    if (this.reservations.length === 0) return;
    if (isHeardFrom) this.renewAll();
    this.startRenewal(engine, isHeardFrom ? RENEW_INTERVAL_MS : PROBE_RETRY_MS);
  }

  private async isHeardFrom(engine: Engine): Promise<boolean> {
    const askedAt = this.dependencies.now();
    this.heardAt = Math.max(this.heardAt, engine.lastHeardAt());
    if (askedAt - this.heardAt <= RECENT_MS) return true;
    if (!(await engine.isResponsive())) return false;
    this.heardAt = Math.max(this.heardAt, askedAt);
    return true;
  }

  /** Leases end by themselves, except those at targets in back-off, which cover the back-off. */
  private startExpiry(engine: Engine): void {
    const leftMs = this.heardAt + LEASE_MS - this.dependencies.now();
    this.stopExpiry = clock.startTimeout(Math.max(0, leftMs), () => this.expire(engine));
  }

  private expire(engine: Engine): void {
    const { now, observer: observe } = this.dependencies;
    this.heardAt = Math.max(this.heardAt, engine.lastHeardAt());
    const silentMs = now() - this.heardAt;
    if (silentMs < LEASE_MS) {
      this.startExpiry(engine);
      return;
    }
    observe.log('memoryExpired', { request: this.request, silentMs: Math.round(silentMs) });
    this.release();
  }

  private renewAll(): void {
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
    const silentMs = purpose === 'order' ? 0 : now() - this.heardAt;
    const wantedMs = Math.floor(LEASE_MS - silentMs + signals.backOffMs(target));
    const leaseMs = Math.min(MAX_LEASE_MS, wantedMs);
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
