/**
 * Logs and metrics of one process. Logs are numbered events written with bunyan. Metrics go to a StatsD server
 * through hot-shots, and counters and gauges are also kept here for `status` and for measurements.
 */
import * as bunyan from 'bunyan';
import { StatsD } from 'hot-shots';
import type * as configuration from '../configuration/configuration';
import * as events from './events';

/** Where log lines go. */
export interface LineOutput {
  write(line: string, level: events.Level): unknown;
}

const STANDARD_OUTPUT: LineOutput = { write: (line) => process.stdout.write(line) };

export class Observer {
  /** One logger for each level, as bunyan doesn't tell its streams the level of a line. */
  private readonly loggers: Record<events.Level, bunyan>;

  private readonly statsd: StatsD | undefined;

  /** Called with each timing; the metrics server fills its histograms from it. */
  onTiming: ((metric: string, ms: number) => void) | undefined;

  /** Latest values of counters and gauges, by metric. */
  private readonly values = new Map<string, number>();

  constructor(
    name: string,
    level: string,
    statsd: configuration.Address | undefined,
    output = STANDARD_OUTPUT,
  ) {
    const loggerOf = (lineLevel: events.Level): bunyan => {
      const stream = { write: (line: string) => output.write(line, lineLevel) };
      return bunyan.createLogger({
        name: 'celerydriftd',
        daemon: name,
        level: level as bunyan.LogLevel,
        stream: stream as NodeJS.WritableStream,
      });
    };
    this.loggers = {
      debug: loggerOf('debug'),
      info: loggerOf('info'),
      warn: loggerOf('warn'),
      error: loggerOf('error'),
    };
    if (statsd !== undefined) {
      const { host, port } = statsd;
      this.statsd = new StatsD({ host, port, prefix: 'celerydrift.', errorHandler: () => {} });
    }
  }

  log(event: events.Name, fields: Record<string, unknown> = {}): void {
    const { number, level, text } = events.EVENTS[event];
    this.count(`event.${event}`);
    this.loggers[level][level]({ event: number, ...fields }, text);
  }

  /** Reports lines that the output dropped. The counters hold the totals, as this line may be dropped as well. */
  logDroppedLines(dropped: Record<events.Level, number>): void {
    const byLevel = Object.entries(dropped).filter(([, lines]) => lines > 0);
    if (byLevel.length === 0) return;
    byLevel.forEach(([level, lines]) => this.count(`lines.dropped.${level}`, lines));
    const lines = byLevel.reduce((sum, [, amount]) => sum + amount, 0);
    this.log('linesDropped', { lines, byLevel: Object.fromEntries(byLevel) });
  }

  count(metric: string, amount = 1): void {
    this.values.set(metric, (this.values.get(metric) ?? 0) + amount);
    this.statsd?.increment(metric, amount);
  }

  timing(metric: string, ms: number): void {
    this.onTiming?.(metric, ms);
    this.statsd?.timing(metric, ms);
  }

  gauge(metric: string, value: number): void {
    this.values.set(metric, value);
    this.statsd?.gauge(metric, value);
  }

  /** Counters and gauges, sorted by metric. */
  counters(): Record<string, number> {
    return Object.fromEntries([...this.values].sort(([a], [b]) => (a < b ? -1 : 1)));
  }

  close(): void {
    this.statsd?.close(() => undefined);
  }
}
