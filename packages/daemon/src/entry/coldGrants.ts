/**
 * The grants of an entry for requests to cold targets. A request is sent to a cold target only with a recent grant or
 * placement: one from before this process was suspended, or before the news that the target is cold, would add to those
 * that the leader has granted since.
 */
import type * as domain from '@celerydrift/domain';
import * as clock from '../clock';

export interface Dependencies {
  limits: Pick<domain.rateLimits.rateLimits.RateLimits, 'isCold'>;
  registry: Pick<domain.registry.registry.Registry, 'get'>;
  readClocks: () => clock.ClockReading;
}

/** Identifies the time between two suspensions in which a grant was requested. */
export type Ticket = number;

interface Grant {
  ticket: Ticket;
  at: clock.ClockReading;
}

/**
 * How long a grant may be used, milliseconds. Reserving memory on helpers takes some ten before a request is sent; a
 * longer time would let more grants meet at the target within a second.
 */
const MAX_AGE_MS = 150;

/**
 * Interval at which this process checks whether it was suspended, milliseconds, and from which gap between two checks on
 * it was. What is granted within a shorter gap fits the tolerance of a cold target.
 */
const CHECK_INTERVAL_MS = 100;
const SUSPENSION_MS = 300;

export class ColdGrants {
  /** Unused grants by target id. */
  private readonly grants = new Map<string, Grant[]>();

  private ticket: Ticket = 0;

  private checkedAt: clock.ClockReading;

  private timer: NodeJS.Timeout | undefined;

  constructor(private readonly dependencies: Dependencies) {
    this.checkedAt = dependencies.readClocks();
  }

  start(): void {
    this.checkedAt = this.dependencies.readClocks();
    this.timer = setInterval(() => this.check(), CHECK_INTERVAL_MS);
  }

  stop(): void {
    clearInterval(this.timer);
  }

  /** Called before a grant or placement is requested. */
  begin(): Ticket {
    this.check();
    return this.ticket;
  }

  /** Called when a grant or placement has been received. */
  add(target: string, ticket: Ticket): void {
    if (!this.isCold(target) || ticket !== this.begin()) return;
    const grant = { ticket, at: this.dependencies.readClocks() };
    this.grants.set(target, [...this.usableOf(target), grant]);
  }

  /** Whether a request may be sent to a target now; uses up a grant if the target is cold. */
  take(target: string): boolean {
    if (!this.isCold(target)) {
      this.grants.delete(target);
      return true;
    }
    this.check();
    const [first, ...others] = this.usableOf(target);
    if (others.length > 0) this.grants.set(target, others);
    else this.grants.delete(target);
    return first !== undefined;
  }

  /** Detects a suspension since the last check; the time of day also advances while the VM is suspended. */
  private check(): void {
    const now = this.dependencies.readClocks();
    if (clock.elapsed(this.checkedAt, now) > SUSPENSION_MS) this.ticket += 1;
    this.checkedAt = now;
  }

  private usableOf(target: string): Grant[] {
    const now = this.dependencies.readClocks();
    return (this.grants.get(target) ?? []).filter(({ ticket, at }) => {
      return ticket === this.ticket && clock.elapsed(at, now) <= MAX_AGE_MS;
    });
  }

  private isCold(target: string): boolean {
    const record = this.dependencies.registry.get(target);
    return record !== undefined && this.dependencies.limits.isCold(record);
  }
}

/** A placement contains the grants for its engines. */
export function addPlacement(
  grants: Pick<ColdGrants, 'add'> | undefined,
  { target, helpers }: domain.allocation.allocator.Placement,
  ticket: Ticket = 0,
): void {
  [target, ...helpers.map((helper) => helper.target)].forEach((each) => {
    grants?.add(each, ticket);
  });
}
