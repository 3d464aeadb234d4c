/** A fleet of keepers, entries and targets in one process, with real sockets and disks. */
import * as fs from 'node:fs/promises';
import * as http from 'node:http';
import * as os from 'node:os';
import * as path from 'node:path';
import * as domain from '@celerydrift/domain';
import { Ok } from 'ts-results';
import * as clock from '../../clock';
import * as roleSettings from '../../configuration/roleSettings';
import type * as protocols from '../../edges/protocols';
import * as entry from '../../entry/entry';
import * as entryHarness from '../../entry/__tests__/__fixtures__/harness';
import * as messages from '../../fleet/messages';
import * as keeper from '../../keeper/keeper';
import * as observer from '../../observability/observer';
import * as peerClient from '../../rpc/peerClient';
import * as crashableTarget from './crashableTarget';
import * as ports from './ports';
import * as severablePaths from './severablePaths';

export const SECRET = 'a-secret-of-the-test';

const KEEPERS = 3;
export const ENTRIES = 3;
const TARGETS = 8;

/** Interval between the requests that are sent to the entries in turn. */
const REQUEST_INTERVAL_MS = 40;

/** Source IP address of an entry. */
export function sourceAddress(entryIndex: number): string {
  return `127.0.0.${10 + entryIndex}`;
}

/** Time for a new leader to tell all entries how many of them share the retry budget. */
const RETRY_BUDGET_SYNC_MS = 2_000;

/** Time after which a change of the soft state has been written to disk. */
const DISK_WRITE_DELAY_MS = 700;

const ENGINE: domain.catalogue.catalogue.Engine = {
  slots: 8,
  memoryTokens: 300_000,
  stepsPerPass: 50,
  stepMs: 0.85,
  writerStepMs: 0.006,
  contextStepMs: 0.003,
  readTokensPerMs: 177,
  pairMsPerMillion: 0.184,
  chunkTokens: 2_048,
  hopMs: 0.05,
  usualAnswerTokens: 200,
};

/** Each service has one route for each kind, named `SERVICE-KIND`. */
const SERVICES = ['engines', 'plain'] as const;
export type Service = (typeof SERVICES)[number];

const CATALOGUE: domain.catalogue.catalogue.Catalogue = {
  version: 1,
  routes: SERVICES.flatMap((service) =>
    (['safe', 'unsafe', 'streaming'] as const).map((kind) => ({
      name: `${service}-${kind}`,
      host: 'a.example',
      pathPrefix: `/${service}/${kind}/`,
      kind,
      timeoutMs: 5_000,
      objectiveMs: 500,
      priority: 1,
      shares: [{ service, weight: 1 }],
      maxAttempts: kind === 'unsafe' ? 1 : 2,
      isPublic: false,
      isResumable: true,
      pauseMs: 250,
    })),
  ),
  services: SERVICES.map((name) => ({
    name,
    healthPath: '/',
    maxConnections: 99,
    engine: name === 'engines' ? ENGINE : undefined,
  })),
  organisations: [
    { name: 'north', keys: ['k'], priority: 1 },
    { name: 'south', keys: ['s'], priority: 1 },
  ],
  limits: {
    maxHeaderBytes: 4_000,
    maxBodyBytes: 4_000,
    headerTimeoutMs: 1_000,
    idleTimeoutMs: 1_000,
  },
};

export const CONTROL: protocols.ControlProtocol = {
  parseCall: (method, url) => {
    if (url === '/catalogue') return { kind: method === 'PUT' ? 'submit' : 'read' };
    return { kind: method === 'PUT' ? 'announce' : 'depart', id: url.slice(1) };
  },
  parseAnnouncement: (_id, body) =>
    Ok(JSON.parse(body.toString()) as domain.registry.registry.Announcement),
  parseDepartedLifetime: () => Ok(undefined),
  parseCatalogue: (document) =>
    Ok(JSON.parse(document.toString()) as domain.catalogue.catalogue.Catalogue),
};

/** Treats every request as a short prompt. */
const TRAFFIC: protocols.TrafficProtocol = {
  ...entryHarness.PROTOCOL,
  callerMetadata: (headers) => ({
    ...entryHarness.PROTOCOL.callerMetadata(headers),
    promptTokens: 2_000,
    maxAnswerTokens: 200,
  }),
};

/** A push without changes. */
export const NO_CHANGES: messages.FleetUpdate = {
  edition: undefined,
  mark: messages.NO_VERSION,
  since: messages.NO_VERSION,
  records: [],
  suspects: [],
  limits: [],
};

export interface Reply {
  /** Id of the request. */
  id: string;
  entryIndex: number;
  status: number;
  retryAfter: string | undefined;
  body: string;
  isComplete: boolean;
  tookMs: number;
}

/** A request to send to an entry. */
export interface RequestOptions {
  service: Service;
  kind?: domain.catalogue.catalogue.RouteKind;
  body: string;
  key?: string;
  path?: string;
  /** Parts of its prompt, in order; the last one belongs to this request alone. */
  parts?: readonly string[];
}

/** Waits until `check` returns true; throws after 15 seconds. */
export async function until(what: string, check: () => boolean | Promise<boolean>): Promise<void> {
  const deadline = clock.steady() + 15_000;
  while (!(await check())) {
    if (clock.steady() > deadline) throw new Error(`timed out waiting for ${what}`);
    await clock.sleep(10);
  }
}

export class SmallFleet {
  readonly keepers = new Map<number, keeper.Keeper>();

  readonly entries = new Map<number, entry.Entry>();

  readonly arrivals: crashableTarget.Arrival[] = [];

  /** All messages that targets received. */
  readonly messages: crashableTarget.Message[] = [];

  readonly backOffResponses: crashableTarget.BackOffResponse[] = [];

  /** When a target first reported in a response that it drains, on the steady clock. */
  drainingSince: number | undefined;

  readonly crashes: { target: string; at: number }[] = [];

  /** Paths from each entry to the targets. */
  readonly paths = Array.from({ length: ENTRIES }, () => new severablePaths.SeverablePaths());

  private readonly observer = new observer.Observer('test', 'fatal', undefined);

  readonly targets: crashableTarget.CrashableTarget[] = [];

  private requestCount = 0;

  private evacuationRevision = 0;

  private constructor(
    private readonly folder: string,
    private readonly listenPorts: Record<
      'control' | 'peers' | 'callers' | 'ready' | 'targets',
      number[]
    >,
  ) {}

  /** Starts a fleet whose targets are in these data centres in turn; its entries are in `dc0`. */
  static async start(
    service: Service,
    dataCentres: readonly string[] = ['dc0'],
  ): Promise<SmallFleet> {
    const folder = await fs.mkdtemp(path.join(os.tmpdir(), 'fleet-'));
    const freePorts = async (count: number): Promise<number[]> => {
      const found: number[] = [];
      while (found.length < count) found.push(await ports.freePort());
      return found;
    };
    const fleet = new SmallFleet(folder, {
      control: await freePorts(KEEPERS),
      peers: await freePorts(KEEPERS + ENTRIES),
      callers: await freePorts(ENTRIES),
      ready: await freePorts(ENTRIES),
      targets: await freePorts(TARGETS),
    });
    for (let i = 0; i < KEEPERS; i++) await fleet.startKeeper(i);
    await until('a leader', () => fleet.leader >= 0);
    await until('a catalogue', () => fleet.submitCatalogue());
    for (let i = 0; i < ENTRIES; i++) await fleet.startEntry(i);
    await fleet.startTargets(service, dataCentres);
    await until('all targets at all entries', () => fleet.entriesKnowAllTargets());
    await clock.sleep(RETRY_BUDGET_SYNC_MS);
    return fleet;
  }

  async stop(): Promise<void> {
    this.targets.forEach((target) => target.stop());
    await Promise.all([...this.entries.keys()].map((i) => this.stopEntry(i)));
    for (const i of [...this.keepers.keys()]) await this.stopKeeper(i);
    await fs.rm(this.folder, { recursive: true, force: true });
  }

  /** Index of the leading keeper, or -1 if there is none. */
  get leader(): number {
    return [...this.keepers].find(([, each]) => each.gauges().leads === 1)?.[0] ?? -1;
  }

  /** Value of a counter of all processes together. */
  countOf(metric: string): number {
    return this.observer.counters()[metric] ?? 0;
  }

  async startKeeper(i: number): Promise<void> {
    const newKeeper = new keeper.Keeper({
      settings: this.settings(`
role = keeper
name = k${i}
data-centre = dc${i}
[listen]
peers = 127.0.0.1:${this.listenPorts.peers[i]}
control = 127.0.0.1:${this.listenPorts.control[i]}
[data]
folder = ${path.join(this.folder, String(i))}
may-found = true
tolerated-losses = 1
`),
      protocol: CONTROL,
      observer: this.observer,
      random: domain.shared.random.seeded(i + 1),
      onDiskFailure: () => undefined,
    });
    await newKeeper.start();
    this.keepers.set(i, newKeeper);
  }

  async stopKeeper(i: number): Promise<void> {
    const stopped = this.keepers.get(i);
    this.keepers.delete(i);
    await stopped?.stop();
  }

  async startEntry(i: number): Promise<void> {
    const newEntry = new entry.Entry({
      settings: this.settings(`
role = entry
name = e${i}
data-centre = dc0
[listen]
callers = 127.0.0.1:${this.listenPorts.callers[i]}
readiness = 127.0.0.1:${this.listenPorts.ready[i]}
peers = 127.0.0.1:${this.listenPorts.peers[KEEPERS + i]}
source = ${sourceAddress(i)}
[bounds]
stop-seconds = 8
`),
      control: CONTROL,
      traffic: TRAFFIC,
      observer: this.observer,
      random: domain.shared.random.seeded(100 + i),
      openSocket: this.paths[i].openSocket,
    });
    await newEntry.start();
    this.entries.set(i, newEntry);
    await until(`entry ${i} to be ready`, () => newEntry.isReady);
  }

  async stopEntry(i: number): Promise<void> {
    const stopped = this.entries.get(i);
    this.entries.delete(i);
    await stopped?.stop();
  }

  /** Stops all keepers and entries together and starts them again; the targets keep running. */
  async restartAll(): Promise<void> {
    // The soft state is written to disk some time after each change.
    await clock.sleep(DISK_WRITE_DELAY_MS);
    await Promise.all([
      ...[...this.entries.keys()].map((i) => this.stopEntry(i)),
      ...[...this.keepers.keys()].map((i) => this.stopKeeper(i)),
    ]);
    for (let i = 0; i < KEEPERS; i++) await this.startKeeper(i);
    for (let i = 0; i < ENTRIES; i++) await this.startEntry(i);
    await until('all targets at all entries', () => this.entriesKnowAllTargets());
  }

  /** Sends a request to an entry; resolves when the response has ended or the connection has failed. */
  send(entryIndex: number, options: RequestOptions): Promise<Reply> {
    const { service, kind = 'streaming', body, key = 'k', path: pathSuffix = 'a' } = options;
    const parts = options.parts?.map((part) => `${part}:100`).join(',');
    this.requestCount += 1;
    const startedAt = clock.steady();
    const id = `r${this.requestCount}`;
    return new Promise((resolve) => {
      const finish = (reply: Omit<Reply, 'id' | 'entryIndex' | 'tookMs'>): void => {
        resolve({ id, entryIndex, ...reply, tookMs: clock.steady() - startedAt });
      };
      const request = http.request(
        {
          host: '127.0.0.1',
          port: this.listenPorts.callers[entryIndex],
          path: `/${service}/${kind}/${pathSuffix}`,
          method: 'POST',
          headers: { host: 'a.example', id, key, ...(parts !== undefined && { parts }) },
          agent: false,
        },
        (response) => {
          const chunks: Buffer[] = [];
          response.on('data', (chunk: Buffer) => chunks.push(chunk));
          response.on('error', () => undefined);
          response.on('close', () => {
            finish({
              status: response.statusCode ?? 0,
              retryAfter: response.headers['retry-after'],
              body: Buffer.concat(chunks).toString(),
              isComplete: response.complete,
            });
          });
        },
      );
      request.on('error', () => {
        finish({ status: 0, retryAfter: undefined, body: '', isComplete: false });
      });
      request.end(body);
    });
  }

  /** Sends requests to all running entries in turn, for `forMs`. */
  async sendLoad(
    options: Omit<RequestOptions, 'body'>,
    forMs: number,
    intervalMs = REQUEST_INTERVAL_MS,
  ): Promise<Reply[]> {
    const replies: Promise<Reply>[] = [];
    const end = clock.steady() + forMs;
    for (let i = 0; clock.steady() < end; i++) {
      const entryIndex = i % ENTRIES;
      if (this.entries.has(entryIndex)) {
        replies.push(this.send(entryIndex, { ...options, body: `${i}` }));
      }
      await clock.sleep(intervalMs);
    }
    return Promise.all(replies);
  }

  /** Puts these evacuations into force at all keepers and entries, by a push as a leader sends it. */
  async evacuate(...dataCentres: string[]): Promise<void> {
    this.evacuationRevision += 1;
    const evacuations: domain.evacuation.evacuations.EvacuationState = {
      revision: this.evacuationRevision,
      evacuations: dataCentres.map((each) => {
        return { dataCentre: each, startedAt: 0, requestedBy: 'test' };
      }),
    };
    const client = new peerClient.PeerClient(SECRET, undefined, this.observer);
    const update: messages.FleetUpdate = { ...NO_CHANGES, evacuations };
    await Promise.all(
      this.listenPorts.peers.map((port) => client.call(`127.0.0.1:${port}`, 'learn', update)),
    );
    client.close();
  }

  /** Requests with this body that targets started to run. */
  arrivalsWithBody(body: string): crashableTarget.Arrival[] {
    return this.arrivals.filter((each) => each.body === body);
  }

  private settings(text: string): roleSettings.Settings {
    const seeds = this.listenPorts.peers.slice(0, KEEPERS).map((port) => `127.0.0.1:${port}`);
    const common = `[keepers]\nseeds = ${seeds.join(',')}\nsecret = ${SECRET}\n`;
    const read = roleSettings.read(`[daemon]${text}${common}`);
    if (read.err) throw new Error(JSON.stringify(read.val));
    return read.val;
  }

  private async submitCatalogue(): Promise<boolean> {
    return this.sendToKeeper('PUT', '/catalogue', CATALOGUE);
  }

  /** Submits a catalogue whose services limit their cold targets. */
  async limitColdTargets(coldStartMs: number, coldPerSecond: number): Promise<boolean> {
    const services = CATALOGUE.services.map((each) => ({ ...each, coldStartMs, coldPerSecond }));
    return this.sendToKeeper('PUT', '/catalogue', { ...CATALOGUE, version: 2, services });
  }

  private async startTargets(service: Service, dataCentres: readonly string[]): Promise<void> {
    for (let i = 0; i < TARGETS; i++) {
      const target = new crashableTarget.CrashableTarget({
        name: `t${i}`,
        service,
        port: this.listenPorts.targets[i],
        dataCentre: dataCentres[i % dataCentres.length],
        announce: async (record) => {
          await this.sendToKeeper('PUT', `/${record.id}`, record);
        },
        onMessage: (message) => this.messages.push(message),
        onBackOffResponse: (response) => this.backOffResponses.push(response),
        isSilenced: (source) =>
          this.paths.some((each, entryIndex) => {
            return each.isSilent && source === sourceAddress(entryIndex);
          }),
        onDraining: () => {
          this.drainingSince ??= clock.steady();
        },
        onArrival: (arrival) => this.arrivals.push(arrival),
        onCrash: (crashed, at) => this.crashes.push({ target: crashed, at }),
      });
      this.targets.push(target);
      await target.start();
    }
  }

  private entriesKnowAllTargets(): boolean {
    return [...this.entries.values()].every((each) => each.gauges().targets === TARGETS);
  }

  /** Sends a request to the keepers in turn until one accepts it; returns whether one did. */
  private async sendToKeeper(method: string, url: string, content: unknown): Promise<boolean> {
    for (const i of this.keepers.keys()) {
      const answer = await fetch(`http://127.0.0.1:${this.listenPorts.control[i]}${url}`, {
        method,
        body: JSON.stringify(content),
      }).catch(() => undefined);
      if (answer?.status === 200) return true;
    }
    return false;
  }
}
