/**
 * Selects the target of each request. Engines for prompts are placed by the leader's allocator, which sees the
 * dispatches of all entries; while the leader doesn't answer, a local allocator places by this entry's dispatches
 * alone. Calls to plain services go to the ready target with the fewest calls from this entry.
 */
import type * as domain from '@celerydrift/domain';
import * as clock from '../clock';
import type * as fleetState from '../fleet/fleetState';
import type * as leaderLink from '../fleet/leaderLink';
import type * as messages from '../fleet/messages';
import type * as observer from '../observability/observer';
import type * as peerClient from '../rpc/peerClient';
import type * as coldGrants from './coldGrants';
import * as dispatchReports from './dispatchReports';
import * as leaderPlacement from './leaderPlacement';
import * as localPlacement from './localPlacement';
import * as placementChoice from './placementChoice';
import * as plainSelection from './plainSelection';
import type * as rateLimitClient from './rateLimitClient';
import * as targetAvailability from './targetAvailability';
import type * as unavailableTargets from './unavailableTargets';

type Choice = placementChoice.Choice;
type PlacementRequest = placementChoice.PlacementRequest;

export interface Options {
  name: string;
  dataCentre: string;
  fleetState: fleetState.FleetState;
  link: leaderLink.LeaderLink;
  client: peerClient.PeerClient;
  limits: Pick<rateLimitClient.RateLimitClient, 'grant' | 'grantProbe' | 'spent'>;
  /** Grants for requests to cold targets; without them nothing is known of cold targets. */
  coldGrants?: Pick<coldGrants.ColdGrants, 'begin' | 'add'>;
  unavailableTargets: Pick<unavailableTargets.UnavailableTargets, 'of' | 'waitMs'>;
  observer: observer.Observer;
  random: domain.shared.random.Random;
  now: () => number;
}

export class TargetSelector {
  private readonly availability: targetAvailability.TargetAvailability;

  private readonly reports: dispatchReports.DispatchReports;

  private readonly leader: leaderPlacement.LeaderPlacement;

  private readonly local: localPlacement.LocalPlacement;

  private readonly plain: plainSelection.PlainSelection;

  constructor(private readonly options: Options) {
    this.availability = new targetAvailability.TargetAvailability(options);
    this.reports = new dispatchReports.DispatchReports(options);
    const { availability, reports } = this;
    this.leader = new leaderPlacement.LeaderPlacement({ ...options, reports });
    this.local = new localPlacement.LocalPlacement({ ...options, reports });
    this.plain = new plainSelection.PlainSelection({ ...options, availability, reports });
  }

  /** Places by this entry's dispatches alone, while there is no leader. */
  get fallback(): domain.allocation.allocator.Allocator {
    return this.local.allocator;
  }

  get dispatches(): messages.RunningDispatch[] {
    return this.reports.dispatches;
  }

  async choose(request: PlacementRequest): Promise<Choice> {
    const service = this.options.fleetState.directory?.service(request.service);
    const until = this.options.now() + request.patienceMs;
    const backOffUntil = Math.min(
      until,
      this.options.now() + targetAvailability.maxUnavailableWaitMs(request),
    );
    const deadlines = {
      until,
      leavesAt: this.options.now() + (request.leavesInMs ?? Infinity),
      backOffUntil,
    };
    if (service?.engine === undefined) return this.plain.choose(request, deadlines);
    for (let retries = 0; ; retries++) {
      // A leader that timed out may still place an earlier attempt; a distinct id keeps that from matching a later one.
      const id = retries === 0 ? request.id : `${request.id}.${retries}`;
      const availability = await this.availability.awaitTarget(request, backOffUntil);
      if (availability.kind === 'noPlace') return availability;
      const allowed = { ...request, id, excluded: availability.excluded };
      const choice = (await this.leader.place(allowed, deadlines)) ?? this.local.place(allowed);
      if (choice !== undefined) return choice;
      const leftMs = until - this.options.now();
      if (leftMs <= 0 || this.local.isHopeless(request, deadlines.leavesAt))
        return { kind: 'noPlace', retryAfterMs: this.local.retryAfterMs(request) };
      await clock.sleep(Math.min(leftMs, placementChoice.PLACEMENT_RETRY_MS));
    }
  }

  /**
   * Time until a target of the service accepts requests from this VM, milliseconds; 0 if one does or if there is none.
   * Where all are evacuated, the time after which a caller may ask again.
   */
  unavailableForMs(service: string): number {
    return this.availability.unavailableForMs(service);
  }

  /** Discards the health of a target whose lifetime ended. */
  forget(target: string): void {
    this.plain.forget(target);
  }

  /** Reports whether another VM reaches a target that a dispatch of this entry didn't reach. */
  reportVerdict(target: string, isAlive: boolean): void {
    this.reports.reportVerdict(target, isAlive);
  }
}
