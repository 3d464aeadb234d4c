/**
 * Which targets are unavailable to new requests of this entry, whichever way these go: the gate of this entry would hold
 * them back, or the path is lost and all entries that relay withhold the target.
 */
import type * as reachability from './reachability';
import type * as targetSignals from './targetSignals';

export interface Dependencies {
  signals: Pick<targetSignals.TargetSignals, 'unavailable' | 'waitMs'>;
  reachability: Pick<reachability.Reachability, 'withheldTargets' | 'withheldMs'>;
}

export class UnavailableTargets {
  constructor(private readonly dependencies: Dependencies) {}

  /** Unavailable targets of a service. */
  of(service: string): string[] {
    const { signals, reachability: reach } = this.dependencies;
    return [...new Set([...signals.unavailable(service), ...reach.withheldTargets(service)])];
  }

  /** Time until an unavailable target may accept a request, milliseconds; infinite during an evacuation. */
  waitMs(target: string): number {
    const { signals, reachability: reach } = this.dependencies;
    return Math.max(signals.waitMs(target), reach.withheldMs(target));
  }
}
