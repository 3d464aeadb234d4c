/**
 * Serves counters, gauges and latency histograms in the Prometheus text format. Counters are copied from the
 * observer on each scrape, so counting an event costs a request no more than an addition.
 */
import type * as http from 'node:http';
import * as prometheus from 'prom-client';
import type * as codecs from '../configuration/codecs';
import * as listening from '../http/listening';
import * as probeServer from '../http/probeServer';
import type * as observer from './observer';

/** Upper bounds of the histogram buckets, milliseconds: from one engine step to the longest prompts. */
const BUCKETS_MS = [5, 20, 50, 100, 200, 300, 500, 1_000, 2_000, 3_000, 5_000, 10_000, 20_000];

export class MetricsServer {
  private readonly registry = new prometheus.Registry();

  private readonly durations: prometheus.Histogram;

  private readonly server: http.Server;

  constructor(
    private readonly observe: observer.Observer,
    gauges: () => Record<string, number>,
  ) {
    this.durations = new prometheus.Histogram({
      name: 'celerydrift_duration_ms',
      help: 'Durations by what was timed.',
      labelNames: ['of'],
      buckets: BUCKETS_MS,
      registers: [this.registry],
    });
    this.registerGauge('celerydrift_events', 'Counts of events since the start.', () =>
      observe.counters(),
    );
    this.registerGauge('celerydrift_state', 'State at the moment.', gauges);
    observe.onTiming = (of, ms) => this.durations.observe({ of }, ms);
    this.server = probeServer.create({
      name: 'metrics',
      answer: async () => ({
        status: 200,
        headers: { 'Content-Type': this.registry.contentType },
        content: await this.registry.metrics(),
      }),
      observer: observe,
    });
  }

  listen(address: codecs.Address): Promise<void> {
    return listening.listen(this.server, address, this.observe);
  }

  close(): void {
    this.server.close();
    this.server.closeAllConnections();
  }

  /** Registers a gauge whose values are read on each scrape, one for each value of the label `of`. */
  private registerGauge(
    name: string,
    help: string,
    readValues: () => Record<string, number>,
  ): void {
    const gauge = new prometheus.Gauge({
      name,
      help,
      labelNames: ['of'],
      registers: [this.registry],
      collect: () => {
        Object.entries(readValues()).forEach(([of, value]) => gauge.set({ of }, value));
      },
    });
  }
}
