/**
 * Selects targets of plain services: the ready one with the fewest calls from this entry. Those with rate limits get the
 * calls that no other can take.
 */
import * as domain from '@celerydrift/domain';
import * as clock from '../clock';
import type * as fleetState from '../fleet/fleetState';
import type * as coldGrants from './coldGrants';
import type * as dispatchReports from './dispatchReports';
import * as placementChoice from './placementChoice';
import type * as rateLimitClient from './rateLimitClient';
import * as retryAfter from './retryAfter';
import * as targetAvailability from './targetAvailability';

type Announcement = domain.registry.registry.Announcement;
type Choice = placementChoice.Choice;
type DispatchOutcome = domain.allocation.targetHealth.DispatchOutcome;
type Lifetime = domain.quarantine.crashedLifetimes.Lifetime;
type PlacementRequest = placementChoice.PlacementRequest;

const { lifetimeKey } = domain.quarantine.crashedLifetimes;

/** A grant for one of several targets. */
type TargetGrant = { kind: 'granted'; target: Announcement } | { kind: 'wait'; waitMs: number };

export interface Dependencies {
  dataCentre: string;
  fleetState: Pick<fleetState.FleetState, 'registry' | 'limits'>;
  limits: Pick<rateLimitClient.RateLimitClient, 'grant' | 'grantProbe'>;
  /** Grants for requests to cold targets; without them nothing is known of cold targets. */
  coldGrants?: Pick<coldGrants.ColdGrants, 'begin' | 'add'>;
  availability: targetAvailability.TargetAvailability;
  reports: Pick<dispatchReports.DispatchReports, 'report'>;
  random: domain.shared.random.Random;
  now: () => number;
}

/** Longest pause before the leader is asked again for a cold target that only relieves the others, milliseconds. */
const MAX_COLD_PAUSE_MS = 100;

export class PlainSelection {
  /** Number of calls to plain targets from here, by lifetime. */
  private readonly activeCalls = new Map<string, number>();

  private readonly targetHealth = new Map<string, domain.allocation.targetHealth.TargetHealth>();

  /** When the leader is next asked for a cold target that only relieves the others. */
  private askForColdAt = 0;

  constructor(private readonly dependencies: Dependencies) {}

  /**
   * Targets with rate limits get the calls that no other target can take, and occasionally a call that shows whether
   * the limit is over.
   */
  async choose(
    request: PlacementRequest,
    { until, backOffUntil }: Pick<placementChoice.WaitDeadlines, 'until' | 'backOffUntil'>,
  ): Promise<Choice> {
    const { limits, now, availability } = this.dependencies;
    for (;;) {
      const allowed = await availability.awaitTarget(request, backOffUntil);
      if (allowed.kind === 'noPlace') return allowed;
      const { unlimited, limited } = this.eligibleTargets({
        ...request,
        excluded: allowed.excluded,
      });
      const healthy = this.usableOf(unlimited);
      const healthyLimited = this.usableOf(limited);
      if (healthy.length > 0) {
        const { cold, others } = this.splitCold(healthyLimited);
        const probe = await limits.grantProbe(others);
        const probed = limited.find(({ address }) => address === probe?.address);
        const granted = probed ?? (await this.grantCold(cold, healthy));
        return this.placePlain(granted ?? this.leastBusy(healthy));
      }
      if (limited.length === 0) {
        if (unlimited.length > 0) return this.placePlain(this.leastBusy(unlimited));
        return { kind: 'noPlace', retryAfterMs: retryAfter.NO_TARGET_RETRY_MS };
      }
      const candidates = healthyLimited.length > 0 ? healthyLimited : limited;
      const grant = await this.grant(candidates);
      if (grant.kind === 'granted') return this.placePlain(grant.target);
      if (unlimited.length > 0) return this.placePlain(this.leastBusy(unlimited));
      const waitMs = Number.isFinite(grant.waitMs)
        ? grant.waitMs
        : placementChoice.PLACEMENT_RETRY_MS;
      if (now() + waitMs > until) {
        return {
          kind: 'noPlace',
          retryAfterMs: retryAfter.limitRetryAfterMs(grant),
          reason: 'limited',
        };
      }
      await clock.sleep(Math.max(targetAvailability.MIN_WAIT_MS, waitMs));
    }
  }

  private splitCold(limited: readonly Announcement[]): {
    cold: Announcement[];
    others: Announcement[];
  } {
    const { limits } = this.dependencies.fleetState;
    return {
      cold: limited.filter((record) => limits.isCold(record)),
      others: limited.filter((record) => !limits.isCold(record)),
    };
  }

  /**
   * A cold target for a call, if every warm one has more running calls. While the leader grants none, the warm ones are
   * used without another question.
   */
  private async grantCold(
    cold: readonly Announcement[],
    warm: readonly Announcement[],
  ): Promise<Announcement | undefined> {
    const { now } = this.dependencies;
    const callsOf = (record: Announcement): number =>
      this.activeCalls.get(lifetimeKey(record)) ?? 0;
    const least = Math.min(...warm.map(callsOf));
    const candidates = cold.filter((record) => callsOf(record) < least);
    if (candidates.length === 0 || now() < this.askForColdAt) return undefined;
    const grant = await this.grant(candidates);
    if (grant.kind === 'granted') return grant.target;
    this.askForColdAt = now() + Math.min(grant.waitMs, MAX_COLD_PAUSE_MS);
    return undefined;
  }

  private async grant(candidates: readonly Announcement[]): Promise<TargetGrant> {
    const { limits, coldGrants: grants } = this.dependencies;
    const ticket = grants?.begin() ?? 0;
    const grant = await limits.grant(candidates);
    if (grant.kind !== 'granted') return grant;
    const target =
      candidates.find(({ address }) => address === grant.place.address) ?? candidates[0];
    grants?.add(target.id, ticket);
    return { kind: 'granted', target };
  }

  /** Ready targets that may take a call, split into those without a rate limit and those with one. */
  private eligibleTargets({ service, excluded, writers }: PlacementRequest): {
    unlimited: Announcement[];
    limited: Announcement[];
  } {
    const { fleetState: state } = this.dependencies;
    const ready = state.registry.ready(service).filter(({ id }) => {
      return !excluded.includes(id) && writers?.includes(id) !== false;
    });
    return {
      unlimited: ready.filter((record) => !state.limits.isLimited(record)),
      limited: ready.filter((record) => state.limits.isLimited(record)),
    };
  }

  /**
   * Targets that aren't ejected. One that hasn't announced itself since all keepers were down may be gone, so it gets
   * one call at a time, unless there is no other.
   */
  private usableOf(records: Announcement[]): Announcement[] {
    const isIdle = (record: Announcement): boolean => !this.activeCalls.has(lifetimeKey(record));
    const healthy = records.filter((record) => {
      const health = this.targetHealth.get(record.id);
      return health?.isUsable(this.dependencies.now(), isIdle(record)) !== false;
    });
    const preferred = healthy.filter((record) => !record.isRemembered || isIdle(record));
    return preferred.length > 0 ? preferred : healthy;
  }

  private leastBusy(records: readonly Announcement[]): Announcement {
    const { random, dataCentre } = this.dependencies;
    const scored = records.map((record) => {
      const distance = record.dataCentre === dataCentre ? 0 : 0.5;
      const calls = this.activeCalls.get(lifetimeKey(record)) ?? 0;
      return { record, score: calls + distance + random.uniform() };
    });
    return scored.reduce((best, each) => (each.score < best.score ? each : best)).record;
  }

  private placePlain({ id, address, bornAt }: Announcement): Choice {
    const key = lifetimeKey({ id, bornAt });
    this.activeCalls.set(key, (this.activeCalls.get(key) ?? 0) + 1);
    const placement = { target: id, address, helpers: [], firstTokenMs: 0 };
    return {
      kind: 'placed',
      placement,
      release: (outcome) => this.releasePlain({ id, bornAt }, outcome),
    };
  }

  private releasePlain(lifetime: Lifetime, outcome: DispatchOutcome): void {
    const key = lifetimeKey(lifetime);
    const remaining = (this.activeCalls.get(key) ?? 1) - 1;
    if (remaining > 0) this.activeCalls.set(key, remaining);
    else this.activeCalls.delete(key);
    const { id: target, bornAt } = lifetime;
    // The outcome of a call to a former lifetime tells nothing about the present one.
    if (this.dependencies.fleetState.registry.get(target)?.bornAt !== bornAt) return;
    const health =
      this.targetHealth.get(target) ?? new domain.allocation.targetHealth.TargetHealth();
    health.recordOutcome(outcome, this.dependencies.now());
    this.targetHealth.set(target, health);
    // The leader is informed as well: it may be the only one that can presume the lifetime ended, for all entries.
    if (outcome === 'replaced') this.dependencies.reports.report('', { target, bornAt }, outcome);
  }

  /** Discards the health of a target whose lifetime ended. */
  forget(target: string): void {
    this.targetHealth.delete(target);
  }
}
