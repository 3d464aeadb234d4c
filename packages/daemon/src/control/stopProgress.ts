/**
 * How far planned stops have come: every daemon tells the leader what it still runs on the places
 * under a stop, and a stop is safe when all live daemons run nothing there.
 */
import * as domain from '@celerydrift/domain';

type Stop = domain.stop.stop.Stop;
type Remainder = domain.stop.stop.Remainder;

export interface StopReport extends Stop {
  progress: domain.stop.stop.Progress;
  running: number;
  waitingFor: string[];
}

/** A report older than this says nothing about now; milliseconds. */
const MAX_REPORT_AGE_MS = 5_000;

export class StopProgress {
  private readonly reports = new Map<string, { remainders: Remainder[]; at: number }>();

  constructor(
    private readonly liveDaemons: () => string[],
    private readonly now: () => number,
  ) {}

  update(daemon: string, remainders: Remainder[]): void {
    this.reports.set(daemon, { remainders, at: this.now() });
  }

  report(stops: readonly Stop[]): StopReport[] {
    const daemons = this.liveDaemons();
    const now = this.now();
    const recent = new Map(
      [...this.reports]
        .filter(([, { at }]) => now - at < MAX_REPORT_AGE_MS)
        .map(([daemon, { remainders }]) => [daemon, remainders]),
    );
    return stops.map((stop) => {
      const remainderOf = (daemon: string): Remainder | undefined =>
        recent.get(daemon)?.find((remainder) => remainder.stop === stop.id);
      const running = daemons.reduce((sum, id) => sum + (remainderOf(id)?.running ?? 0), 0);
      const waitingFor = daemons.filter((id) => remainderOf(id)?.running !== 0);
      const progress = domain.stop.stop.progress(stop, daemons, recent);
      return { ...stop, progress, running, waitingFor };
    });
  }
}
