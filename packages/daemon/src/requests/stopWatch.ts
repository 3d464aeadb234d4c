/**
 * Carries out planned stops in one daemon: which targets get nothing more, which running requests are
 * moved once the grace is over, and what still runs where.
 */
import * as domain from '@celerydrift/domain';
import type * as execution from './execution';

type Stop = domain.stop.stop.Stop;
type Target = domain.target.target.Target;

export interface Options {
  /** This daemon's own place. */
  host: string;
  dataCentre: string;
  stops: () => Stop[];
  target: (name: string) => Target | undefined;
  running: ReadonlySet<execution.Execution>;
  now: () => number;
}

function hostOf(address: string): string {
  return address.slice(0, address.lastIndexOf(':'));
}

export class StopWatch {
  constructor(private readonly options: Options) {}

  /** Whether a target may get new work. */
  acceptsNewWork(target: Target): boolean {
    return target.status === 'serving' && this.stopFor(target) === undefined;
  }

  /** The stop of the VM or data centre of this daemon, if one is announced. */
  ownStop(): Stop | undefined {
    const { host, dataCentre } = this.options;
    return domain.stop.stop.stopFor(this.options.stops(), { target: '', host, dataCentre });
  }

  /** Moves requests off places whose grace is over. */
  moveOverdue(): void {
    const now = this.options.now();
    this.options.running.forEach((running) => {
      const target = this.options.target(running.target);
      const stop = target === undefined ? undefined : this.stopFor(target);
      if (stop !== undefined && domain.stop.stop.graceIsOver(stop, now)) running.move();
    });
  }

  remainders(): domain.stop.stop.Remainder[] {
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
