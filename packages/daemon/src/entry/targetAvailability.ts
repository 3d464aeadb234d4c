/** Which targets of a service accept requests from this VM, and how long a request waits until one does. */
import type * as domain from '@celerydrift/domain';
import * as clock from '../clock';
import type * as fleetState from '../fleet/fleetState';
import type * as placementChoice from './placementChoice';
import * as retryAfter from './retryAfter';
import type * as unavailableTargets from './unavailableTargets';

type PlacementRequest = placementChoice.PlacementRequest;

export interface Dependencies {
  fleetState: Pick<fleetState.FleetState, 'registry'>;
  unavailableTargets: Pick<unavailableTargets.UnavailableTargets, 'of' | 'waitMs'>;
  random: domain.shared.random.Random;
  now: () => number;
}

/** At least one target accepts requests from this VM; `excluded` lists those that the request must not go to. */
export interface Availability {
  kind: 'available';
  excluded: readonly string[];
}

/** Minimum pause before targets that are unavailable or limited are checked again, milliseconds. */
export const MIN_WAIT_MS = 10;

/**
 * Share of its objective for which a request waits for targets that are unavailable to this VM. After a longer wait it
 * would miss the objective anyway; when refused, its caller may reach another VM to which the targets are available.
 */
const MAX_UNAVAILABLE_WAIT_SHARE = 0.5;

/**
 * Retry-After is extended by up to this share when all targets are unavailable, so that callers don't return together.
 */
const RETRY_AFTER_JITTER = 0.5;

/**
 * Retry-After where all targets are evacuated, milliseconds: the longest that callers get otherwise, as nobody knows
 * when the evacuation ends.
 */
const EVACUATED_RETRY_MS = retryAfter.RETRY_AFTER_MS.max;

export class TargetAvailability {
  constructor(private readonly dependencies: Dependencies) {}

  /**
   * Time until a target of the service accepts requests from this VM, milliseconds; 0 if one does or if there is none.
   * Where all are evacuated, the time after which a caller may ask again.
   */
  unavailableForMs(service: string): number {
    const unavailable = this.dependencies.unavailableTargets.of(service);
    const waitMs = this.untilAvailableMs({ service, excluded: [] }, unavailable);
    return Number.isFinite(waitMs) ? waitMs : EVACUATED_RETRY_MS;
  }

  /** Waits for a target that accepts requests from this VM, unless all stay unavailable beyond the deadline. */
  async awaitTarget(
    request: PlacementRequest,
    until: number,
  ): Promise<Availability | placementChoice.NoPlace> {
    const { now, unavailableTargets: targets, random } = this.dependencies;
    for (;;) {
      const unavailable = targets.of(request.service);
      const waitMs = this.untilAvailableMs(request, unavailable);
      if (waitMs === 0)
        return { kind: 'available', excluded: [...request.excluded, ...unavailable] };
      if (now() + waitMs > until) {
        const isEvacuated = waitMs === Infinity;
        const jitter = 1 + RETRY_AFTER_JITTER * random.uniform();
        const leastMs = isEvacuated
          ? EVACUATED_RETRY_MS
          : Math.max(retryAfter.RETRY_AFTER_MS.min, waitMs);
        const retryAfterMs = Math.round(leastMs * jitter);
        return { kind: 'noPlace', retryAfterMs, reason: isEvacuated ? 'evacuated' : 'unavailable' };
      }
      await clock.sleep(Math.max(MIN_WAIT_MS, waitMs));
    }
  }

  /**
   * Time until a candidate target becomes available, milliseconds; 0 if one is or if there is none, infinite if all are
   * evacuated.
   */
  private untilAvailableMs(
    { service, excluded, writers }: Pick<PlacementRequest, 'service' | 'excluded' | 'writers'>,
    unavailable: readonly string[],
  ): number {
    if (unavailable.length === 0) return 0;
    const candidates = this.dependencies.fleetState.registry.ready(service).filter(({ id }) => {
      return !excluded.includes(id) && writers?.includes(id) !== false;
    });
    if (candidates.length === 0 || candidates.some(({ id }) => !unavailable.includes(id))) return 0;
    return Math.min(...candidates.map(({ id }) => this.dependencies.unavailableTargets.waitMs(id)));
  }
}

/** How long a request may wait for targets that are unavailable to this VM, milliseconds. */
export function maxUnavailableWaitMs({ objectiveMs, waitedMs }: PlacementRequest): number {
  return Math.max(0, MAX_UNAVAILABLE_WAIT_SHARE * objectiveMs - waitedMs);
}
