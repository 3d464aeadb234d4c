/** Placements by this entry's dispatches alone, while there is no leader. */
import * as domain from '@celerydrift/domain';
import type * as fleetState from '../fleet/fleetState';
import type * as observer from '../observability/observer';
import * as coldGrants from './coldGrants';
import type * as dispatchReports from './dispatchReports';
import type * as placementChoice from './placementChoice';
import type * as rateLimitClient from './rateLimitClient';
import * as retryAfter from './retryAfter';

type Choice = placementChoice.Choice;
type PlacementRequest = placementChoice.PlacementRequest;

export interface Dependencies {
  name: string;
  dataCentre: string;
  fleetState: Pick<fleetState.FleetState, 'limits' | 'evacuations'>;
  limits: Pick<rateLimitClient.RateLimitClient, 'spent'>;
  /** Grants for requests to cold targets; without them nothing is known of cold targets. */
  coldGrants?: Pick<coldGrants.ColdGrants, 'begin' | 'add'>;
  reports: Pick<dispatchReports.DispatchReports, 'begin' | 'report'>;
  observer: observer.Observer;
  random: domain.shared.random.Random;
  now: () => number;
}

export class LocalPlacement {
  readonly allocator: domain.allocation.allocator.Allocator;

  constructor(private readonly dependencies: Dependencies) {
    const { random, fleetState: state } = dependencies;
    this.allocator = new domain.allocation.allocator.Allocator(random, undefined, state.limits);
    this.allocator.setEvacuated((name) => state.evacuations.isEvacuated(name));
  }

  /** Places by this entry's own dispatches; undefined if no engine has room. */
  place(request: PlacementRequest): Choice | undefined {
    const {
      name,
      dataCentre,
      now,
      observer: observe,
      reports,
      coldGrants: grants,
    } = this.dependencies;
    const message = { ...request, entry: name, dataCentre };
    const placement = this.allocator.place(message, now());
    if (placement === undefined) return undefined;
    observe.log('placedLocally', { request: request.id, target: placement.target });
    coldGrants.addPlacement(grants, placement, grants?.begin());
    [placement, ...placement.helpers].forEach(({ target }) =>
      this.dependencies.limits.spent(target),
    );
    const target = reports.begin(message, placement);
    const release: placementChoice.Release = (outcome, observed) => {
      this.allocator.endDispatch(request.id, outcome, now(), observed);
      reports.report(request.id, target, outcome, observed);
    };
    return { kind: 'placed', placement, release };
  }

  /** Whether the caller will have left before any engine could send a first event. */
  isHopeless(request: PlacementRequest, leavesAt: number): boolean {
    if (request.leavesInMs === undefined) return false;
    const now = this.dependencies.now();
    const availableMs = this.allocator.nextAvailableMs(request.service, now);
    const firstEventAt = now + availableMs + this.allocator.minPrefillMs(request);
    return Number.isFinite(availableMs) && firstEventAt > leavesAt;
  }

  /** Retry-After where no engine became free in time, milliseconds. */
  retryAfterMs({ service }: PlacementRequest): number {
    const now = this.dependencies.now();
    const waitMs = this.allocator.limitedForMs(service, 0, now);
    return Math.max(
      retryAfter.clampRetryAfterMs(this.allocator.nextAvailableMs(service, now)),
      retryAfter.limitRetryAfterMs({ waitMs }),
    );
  }
}
