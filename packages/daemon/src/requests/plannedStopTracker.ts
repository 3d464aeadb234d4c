/**
 * Applies planned stops in one daemon: which targets receive no new work, which running requests move to
 * another target after the grace period, and how many still run under each stop.
 */
import * as domain from '@celerydrift/domain';
import type * as execution from './execution';

type Stop = domain.stop.stop.Stop;
type Target = domain.target.target.Target;

export interface Options {
  /** Host of this daemon. */
  host: string;
  /** Data centre of this daemon. */
  dataCentre: string;
  stops: () => Stop[];
  target: (name: string) => Target | undefined;
  running: ReadonlySet<execution.Execution>;
  now: () => number;
}

function hostOf(address: string): string {
  return address.slice(0, address.lastIndexOf(':'));
}

export class PlannedStopTracker {
  constructor(private readonly options: Options) {}

  /** Whether a target is serving and not covered by a planned stop. */
  acceptsNewWork(target: Target): boolean {
    return target.status === 'serving' && this.stopFor(target) === undefined;
  }

  /** The planned stop of this daemon's VM or data centre, if one is announced. */
  ownStop(): Stop | undefined {
    const { host, dataCentre } = this.options;
    return domain.stop.stop.stopFor(this.options.stops(), { target: '', host, dataCentre });
  }

  /** Moves requests away from targets whose grace period is over. */
  moveAfterGrace(): void {
    const now = this.options.now();
    this.options.running.forEach((running) => {
      const target = this.options.target(running.target);
      const stop = target === undefined ? undefined : this.stopFor(target);
      if (stop !== undefined && domain.stop.stop.isGraceOver(stop, now)) running.move();
    });
  }

  /** Number of requests still running under each planned stop, for its progress report. */
  remainders(): domain.stop.stop.RunningCount[] {
    const { host, dataCentre } = this.options;
    return this.options.stops().map((stop) => {
      const coversSelf = domain.stop.stop.covers(stop, { target: '', host, dataCentre });
      const running = [...this.options.running].filter((each) => {
        const target = this.options.target(each.target);
        return coversSelf || (target !== undefined && this.stopFor(target)?.id === stop.id);
      });
      return { stop: stop.id, running: running.length };
    });
  }

  private stopFor({ name, address, dataCentre }: Target): Stop | undefined {
    const place = { target: name, host: hostOf(address), dataCentre };
    return domain.stop.stop.stopFor(this.options.stops(), place);
  }
}
