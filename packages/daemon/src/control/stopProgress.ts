/**
 * Tracks the progress of planned stops. Every daemon reports how many requests it still runs on the
 * targets covered by a stop; the stop is safe once all live daemons report none.
 */
import * as domain from '@celerydrift/domain';

type Stop = domain.stop.stop.Stop;
type RunningCount = domain.stop.stop.RunningCount;

export interface StopReport extends Stop {
  progress: domain.stop.stop.Progress;
  /** Requests still running on the stopped targets, over all live daemons. */
  running: number;
  /** Live daemons that still run requests there or have not reported recently. */
  waitingFor: string[];
}

/** Older reports are ignored, milliseconds. */
const MAX_REPORT_AGE_MS = 5_000;

export class StopProgress {
  private readonly reports = new Map<string, { remainders: RunningCount[]; at: number }>();

  constructor(
    private readonly liveDaemons: () => string[],
    private readonly now: () => number,
  ) {}

  update(daemon: string, remainders: RunningCount[]): void {
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
      const remainderOf = (daemon: string): RunningCount | undefined =>
        recent.get(daemon)?.find((remainder) => remainder.stop === stop.id);
      const running = daemons.reduce((sum, id) => sum + (remainderOf(id)?.running ?? 0), 0);
      const waitingFor = daemons.filter((id) => remainderOf(id)?.running !== 0);
      const progress = domain.stop.stop.progress(stop, daemons, recent);
      return { ...stop, progress, running, waitingFor };
    });
  }
}
