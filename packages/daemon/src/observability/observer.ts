/**
 * Logs and metrics of one process. Logs are numbered events written with bunyan. Metrics go to a StatsD server
 * through hot-shots, and counters and gauges are also kept here for `status` and for measurements.
 */
import * as bunyan from 'bunyan';
import { StatsD } from 'hot-shots';
import type * as configuration from '../configuration/configuration';
import * as events from './events';

export class Observer {
  private readonly logger: bunyan;

  private readonly statsd: StatsD | undefined;

  /** Called with each timing; the metrics server fills its histograms from it. */
  onTiming: ((metric: string, ms: number) => void) | undefined;

  /** Latest values of counters and gauges, by metric. */
  private readonly values = new Map<string, number>();

  constructor(
    name: string,
    level: string,
    statsd: configuration.Address | undefined,
    output?: NodeJS.WritableStream,
  ) {
    const streams = output === undefined ? {} : { streams: [{ stream: output }] };
    this.logger = bunyan.createLogger({ name: 'celerydriftd', daemon: name, ...streams });
    this.logger.level(level as bunyan.LogLevel);
    if (statsd !== undefined) {
      const { host, port } = statsd;
      this.statsd = new StatsD({ host, port, prefix: 'celerydrift.', errorHandler: () => {} });
    }
  }

  log(event: events.Name, fields: Record<string, unknown> = {}): void {
    const { number, level, text } = events.EVENTS[event];
    this.count(`event.${event}`);
    this.logger[level]({ event: number, ...fields }, text);
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
