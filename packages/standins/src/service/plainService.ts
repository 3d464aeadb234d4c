/**
 * Stand-in for a plain service: POST requests create records and count how often each id ran, so that
 * tests detect duplicate runs; all other requests are lookups, which may be repeated.
 */
import * as announcer from '../announcer';
import * as faults from '../faults';
import * as httpServer from '../httpServer';

export interface Options {
  name: string;
  service: string;
  host: string;
  port: number;
  dataCentre: string;
  entries: string[];
  secret: string;
  /** Duration of a call, in milliseconds. */
  workMs: number;
}

export class PlainService {
  /** Number of runs by record id. */
  readonly runCounts = new Map<string, number>();

  private readonly incarnation = Date.now();

  private readonly faultInjector = new faults.FaultInjector();

  private readonly server: httpServer.HttpServer;

  private readonly announcer: announcer.Announcer;

  private port = 0;

  constructor(private readonly options: Options) {
    this.server = new httpServer.HttpServer((call) => this.handle(call));
    const buildAnnouncement = (): Omit<announcer.Announcement, 'sequence'> =>
      this.buildAnnouncement();
    this.announcer = new announcer.Announcer(options.entries, options.secret, buildAnnouncement);
  }

  async start(): Promise<number> {
    this.port = await this.server.listen(this.options.host, this.options.port);
    this.announcer.start();
    return this.port;
  }

  async stop(): Promise<void> {
    this.announcer.stop();
    await this.server.close();
  }

  private buildAnnouncement(): Omit<announcer.Announcement, 'sequence'> {
    const { name, service, host, dataCentre } = this.options;
    return {
      name,
      incarnation: this.incarnation,
      kind: 'service',
      address: `${host}:${this.port}`,
      dataCentre,
      status: 'serving',
      fencing: 'ignored',
      service,
      models: [],
      memoryTokens: 0,
      load: { queuedTokens: 0, streams: 0, freeTokens: 0 },
    };
  }

  private async handle(call: httpServer.Call): Promise<void> {
    if (call.path === '/fault') {
      const fault = JSON.parse(call.body) as faults.Fault | { kind: 'clear' };
      if (fault.kind === 'die') process.exit(1);
      if (fault.kind === 'clear') this.faultInjector.clear();
      else this.faultInjector.inject(fault);
      httpServer.sendJson(call, 200, {});
    } else if (call.path === '/runs') {
      httpServer.sendJson(call, 200, Object.fromEntries(this.runCounts));
    } else if (call.method === 'POST') {
      await this.createRecord(call);
    } else {
      const { method, path, headers } = call;
      httpServer.sendJson(call, 200, {
        method,
        path,
        organisation: headers['x-organisation'] ?? '',
      });
    }
  }

  private async createRecord(call: httpServer.Call): Promise<void> {
    if (this.faultInjector.consume('refuse') !== undefined) {
      call.response.setHeader('x-not-run', 'true');
      httpServer.sendJson(call, 503, { error: 'not accepting requests', notRun: true });
      return;
    }
    const { id } = JSON.parse(call.body) as { id: string };
    const runs = (this.runCounts.get(id) ?? 0) + 1;
    this.runCounts.set(id, runs);
    await new Promise((resolve) => {
      setTimeout(resolve, this.faultInjector.consume('late')?.delayMs ?? this.options.workMs);
    });
    if (this.faultInjector.consume('cut') !== undefined) {
      call.response.destroy();
      return;
    }
    httpServer.sendJson(call, 201, { id, runs, path: call.path });
  }
}
