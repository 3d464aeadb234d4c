/**
 * HTTP server of the engine stand-in: generation as server-sent events, state and cancellation of
 * requests, resumable streams, reservations and other leased resources, model load orders with or
 * without fencing, and cache events. docs/API.md describes the protocol under "Targets".
 */
import * as crypto from 'node:crypto';
import type * as http from 'node:http';
import type * as domain from '@celerydrift/domain';
import * as announcer from '../announcer';
import * as faults from '../faults';
import * as httpServer from '../httpServer';
import * as engineModel from './engineModel';
import * as leaseTable from './leaseTable';
import * as parameters from './parameters';

export interface Options {
  name: string;
  host: string;
  port: number;
  dataCentre: string;
  models: domain.target.target.Loaded[];
  fencing: domain.target.target.Fencing;
  entries: string[];
  secret: string;
  parameters: parameters.Parameters;
}

/** Body of a generate request. */
interface GenerateBody {
  request: string;
  model: domain.target.target.Loaded;
  prompt: string;
  answerTokens: number;
  /** A lower value is scheduled first. */
  priority: number;
  /** Number of answer tokens that were already generated elsewhere. */
  resumeFrom: number;
  /** Keys of the prompt's blocks in the prefix cache. */
  prefixKeys: number[];
  /** Daemon that leases the engine's resources for this request. */
  owner: domain.memory.leasedResources.Owner;
  system: string;
  /** KV memory that is reserved for this request on other engines. */
  reservations: { target: string; tokens: number }[];
  /** Whether to refuse the request, as not run, if memory is short, instead of queueing it. */
  needsRoom: boolean;
}

/** An accepted request and the frames that it has produced. */
interface Stream {
  body: GenerateBody;
  digest: string;
  /** Frames produced so far; a resumed stream is replayed from here. */
  frames: string[];
  /** Undefined while no client is connected. */
  response: http.ServerResponse | undefined;
  /** Injected fault: frames carry the id of another request. */
  hasWrongId: boolean;
  /** Injected fault: the connection is closed after this many frames. */
  cutAfterFrames: number;
  isComplete: boolean;
}

/** How long a stream whose client disconnected can be resumed, in milliseconds. */
const RESUME_WINDOW_MS = 5_000;

const BYTES_PER_TOKEN = 4;

const LEASE_CHECK_INTERVAL_MS = 500;

/** Lease of a resource that is registered by POST, such as one of the older system. */
const REGISTERED_LEASE_MS = 3_600_000;

/** Frames that are sent before an injected cut closes the connection. */
const FRAMES_BEFORE_CUT = 2;

export class EngineServer {
  readonly model: engineModel.EngineModel;

  /** Resources that daemons lease on this engine. */
  readonly leases = new leaseTable.LeaseTable();

  readonly incarnation = Date.now();

  private readonly server: httpServer.HttpServer;

  private readonly streams = new Map<string, Stream>();

  private readonly faultInjector = new faults.FaultInjector();

  private readonly announcer: announcer.Announcer;

  private models: domain.target.target.Loaded[];

  /** Fencing token of the latest accepted order. */
  private highestFence: domain.placement.order.Fence = { term: 0, sequence: 0 };

  private status: domain.target.target.Status = 'serving';

  private port = 0;

  private leaseTimer: NodeJS.Timeout | undefined;

  /** Number of starts by request id. */
  readonly startCounts = new Map<string, number>();

  constructor(private readonly options: Options) {
    this.model = new engineModel.EngineModel(options.parameters);
    this.models = options.models;
    this.server = new httpServer.HttpServer((call) => this.handle(call));
    const buildAnnouncement = (): Omit<announcer.Announcement, 'sequence'> =>
      this.buildAnnouncement();
    this.announcer = new announcer.Announcer(options.entries, options.secret, buildAnnouncement);
  }

  async start(): Promise<number> {
    this.port = await this.server.listen(this.options.host, this.options.port);
    this.announcer.start();
    this.leaseTimer = setInterval(() => this.expireLeases(), LEASE_CHECK_INTERVAL_MS);
    return this.port;
  }

  async stop(): Promise<void> {
    this.announcer.stop();
    clearInterval(this.leaseTimer);
    await this.server.close();
  }

  /** Starts draining: announces that the target is leaving and refuses new requests. */
  async drain(): Promise<void> {
    this.status = 'leaving';
    await this.announcer.announce();
  }

  private buildAnnouncement(): Omit<announcer.Announcement, 'sequence'> {
    const { name, host, dataCentre, fencing } = this.options;
    const { queuedTokens, streams, freeTokens } = this.model.reportedLoad(Date.now());
    return {
      name,
      incarnation: this.incarnation,
      kind: 'engine',
      address: `${host}:${this.port}`,
      dataCentre,
      status: this.status,
      fencing,
      service: '',
      models: this.models,
      memoryTokens: this.options.parameters.memoryTokens,
      load: { queuedTokens, streams, freeTokens },
    };
  }

  private handle(call: httpServer.Call): void {
    const [, version, collection, id = '', detail] = call.path.split('/').map(decodeURIComponent);
    if (version === 'fault') this.onFault(call);
    else if (collection === 'generate') this.onGenerate(call);
    else if (collection === 'requests' && detail === 'stream') this.onResume(call, id);
    else if (collection === 'requests') this.onRequest(call, id);
    else if (collection === 'reservations') this.onReservation(call, id);
    else if (collection === 'holdings') this.onLeases(call, id);
    else if (collection === 'orders') this.onOrder(call);
    else if (collection === 'cache') this.onCache(call);
    else if (collection === 'leave')
      void this.drain().then(() => httpServer.sendJson(call, 200, {}));
    else httpServer.sendJson(call, 404, { error: 'no such path' });
  }

  private onFault(call: httpServer.Call): void {
    const fault = JSON.parse(call.body) as faults.Fault | { kind: 'clear' };
    httpServer.sendJson(call, 200, {});
    if (fault.kind === 'clear') this.faultInjector.clear();
    else if (fault.kind === 'die') process.exit(1);
    else if (fault.kind === 'silent') this.silenceConnections();
    else this.faultInjector.inject(fault);
  }

  /** Stops all traffic on open connections without closing them, so that peers see no error. */
  private silenceConnections(): void {
    this.server.sockets.forEach((socket) => {
      socket.pause();
      socket.removeAllListeners('data');
      socket.write = () => true;
      socket.end = () => socket;
      socket.destroy = () => socket;
    });
  }

  private onGenerate(call: httpServer.Call): void {
    const body = JSON.parse(call.body) as GenerateBody;
    const isLoaded = this.models.some(
      (model) => JSON.stringify(model) === JSON.stringify(body.model),
    );
    if (
      this.faultInjector.consume('refuse') !== undefined ||
      this.status !== 'serving' ||
      !isLoaded
    ) {
      const error = isLoaded ? 'not accepting requests' : 'model is not loaded';
      httpServer.sendJson(call, 503, { error, notRun: true });
      return;
    }
    if (this.streams.has(body.request)) {
      httpServer.sendJson(call, 409, { error: 'request id is already in use', notRun: false });
      return;
    }
    const job = this.toJob(body);
    if (body.needsRoom && !this.model.hasMemoryFor(job)) {
      const noRoom = { ...this.model.currentLoad(Date.now()), ageMs: 0 };
      httpServer.sendJson(call, 409, { error: 'not enough free KV memory', notRun: true, noRoom });
      return;
    }
    this.startStream(call, body, job);
  }

  /** The engine's job for a request; answer tokens of a resumed request are prefilled again. */
  private toJob(body: GenerateBody): engineModel.Job {
    return {
      id: body.request,
      promptTokens: Math.ceil(body.prompt.length / BYTES_PER_TOKEN) + body.resumeFrom,
      answerTokens: Math.max(1, body.answerTokens - body.resumeFrom),
      priority: body.priority,
      prefixKeys: body.prefixKeys,
      remoteTokens: body.reservations.reduce((sum, { tokens }) => sum + tokens, 0),
    };
  }

  private startStream(call: httpServer.Call, body: GenerateBody, job: engineModel.Job): void {
    this.startCounts.set(body.request, (this.startCounts.get(body.request) ?? 0) + 1);
    const stream: Stream = {
      body,
      digest: promptDigest(body.prompt),
      frames: [],
      response: undefined,
      hasWrongId: this.faultInjector.consume('cross') !== undefined,
      cutAfterFrames:
        this.faultInjector.consume('cut') === undefined ? Infinity : FRAMES_BEFORE_CUT,
      isComplete: false,
    };
    this.streams.set(body.request, stream);
    this.leases.add({
      id: body.request,
      system: body.system,
      kind: 'stream',
      owner: body.owner,
      tokens: job.promptTokens,
      expiresAt: Infinity,
    });
    this.attach(call, body.request, stream);
    const delay = this.faultInjector.consume('late');
    if (delay === undefined) this.submit(job);
    else setTimeout(() => this.submit(job), delay.delayMs);
  }

  private submit(job: engineModel.Job): void {
    if (!this.streams.has(job.id)) return;
    this.model.submit(job, Date.now());
    this.step();
  }

  private attach(call: httpServer.Call, id: string, stream: Stream): void {
    const { response } = call;
    response.writeHead(200, { 'content-type': 'text/event-stream' });
    response.flushHeaders();
    stream.response = response;
    response.on('close', () => {
      if (stream.response !== response) return;
      stream.response = undefined;
      setTimeout(() => this.endIfAbandoned(id, stream), RESUME_WINDOW_MS);
    });
  }

  /** Ends a stream that no client resumed. */
  private endIfAbandoned(id: string, stream: Stream): void {
    if (stream.response === undefined && this.streams.get(id) === stream) this.endRequest(id);
  }

  private onResume(call: httpServer.Call, id: string): void {
    const stream = this.streams.get(id);
    if (stream === undefined) {
      httpServer.sendJson(call, 404, { error: 'unknown request' });
      return;
    }
    const from = Number(call.query.get('from') ?? 0) - stream.body.resumeFrom;
    this.attach(call, id, stream);
    stream.hasWrongId = false;
    stream.cutAfterFrames = Infinity;
    stream.frames.slice(Math.max(0, from)).forEach((frame) => call.response.write(frame));
    if (stream.isComplete) this.finishStream(id, stream);
  }

  private onRequest(call: httpServer.Call, id: string): void {
    if (call.method === 'DELETE') {
      this.endRequest(id);
      httpServer.sendJson(call, 200, { released: true });
      return;
    }
    const stream = this.streams.get(id);
    const state = stream !== undefined && stream.isComplete ? 'finished' : this.model.stateOf(id);
    const known = stream !== undefined;
    httpServer.sendJson(call, 200, {
      state: known && state === 'unknown' ? 'queued' : state,
      known,
    });
  }

  private endRequest(id: string): void {
    this.model.cancel(id, Date.now());
    this.streams.get(id)?.response?.destroy();
    this.streams.delete(id);
    this.leases.remove(id);
  }

  private step(): void {
    if (this.model.isStepping) return;
    const durationMs = this.model.beginStep();
    if (durationMs === undefined) return;
    setTimeout(() => {
      this.model.finishStep(Date.now()).forEach((token) => this.emit(token));
      this.step();
    }, durationMs);
  }

  private emit(token: engineModel.Token): void {
    const stream = this.streams.get(token.id);
    if (stream === undefined) return;
    const position = token.position + stream.body.resumeFrom;
    const { loadLagMs } = this.options.parameters;
    const isFirstOrLast = token.position === 0 || token.last;
    const reportsLoad =
      isFirstOrLast || token.position % engineModel.LOAD_REPORT_INTERVAL_TOKENS === 0;
    const load = reportsLoad
      ? { ...this.model.reportedLoad(Date.now()), ageMs: loadLagMs }
      : undefined;
    const promptTokens = Math.ceil(stream.body.prompt.length / BYTES_PER_TOKEN);
    const frame = `data: ${JSON.stringify({
      request: stream.hasWrongId ? `${token.id}-other` : token.id,
      position,
      text: `${stream.digest}.${position} `,
      tokens: 1,
      last: token.last,
      load,
      promptTokens: isFirstOrLast ? promptTokens : undefined,
    })}\n\n`;
    stream.frames.push(frame);
    stream.isComplete = token.last;
    if (stream.frames.length > stream.cutAfterFrames) {
      stream.response?.destroy();
      return;
    }
    stream.response?.write(frame);
    if (token.last) this.finishStream(token.id, stream);
  }

  private finishStream(id: string, stream: Stream): void {
    if (stream.response === undefined) return;
    stream.response.end();
    this.streams.delete(id);
    this.leases.remove(id);
  }

  private onReservation(call: httpServer.Call, id: string): void {
    if (call.method === 'DELETE') {
      this.releaseReservation(id);
      httpServer.sendJson(call, 200, { released: true });
      return;
    }
    const now = Date.now();
    const reservation = JSON.parse(call.body) as Omit<
      leaseTable.EngineLease,
      'kind' | 'expiresAt'
    > & {
      leaseMs: number;
    };
    const expiresAt = now + reservation.leaseMs;
    if (call.method === 'PUT') {
      const known = this.leases.renew(id, expiresAt);
      httpServer.sendJson(call, known ? 200 : 404, { renewed: known });
      return;
    }
    const granted =
      this.leases.get(reservation.id) !== undefined || this.model.reserve(reservation.tokens);
    if (granted) {
      const { id: name, system, owner, tokens } = reservation;
      this.leases.add({ id: name, system, kind: 'reservation', owner, tokens, expiresAt });
    }
    const { freeTokens } = this.model.currentLoad(now);
    httpServer.sendJson(call, granted ? 200 : 409, { granted, freeTokens });
  }

  private releaseReservation(id: string): void {
    const lease = this.leases.remove(id);
    if (lease?.kind === 'reservation') this.model.releaseReserved(lease.tokens);
  }

  private expireLeases(): void {
    this.leases.expired(Date.now()).forEach(({ id }) => this.releaseReservation(id));
  }

  private onLeases(call: httpServer.Call, id: string): void {
    if (call.method === 'DELETE') {
      if (this.leases.get(id)?.kind === 'reservation') this.releaseReservation(id);
      else this.endRequest(id);
      httpServer.sendJson(call, 200, { released: true });
      return;
    }
    if (call.method === 'POST') {
      const lease = JSON.parse(call.body) as leaseTable.EngineLease;
      this.model.reserve(lease.tokens);
      this.leases.add({ ...lease, expiresAt: Date.now() + REGISTERED_LEASE_MS });
    }
    const listed = this.leases.list().map(({ expiresAt, ...resource }) => resource);
    const started = Object.fromEntries(this.startCounts);
    httpServer.sendJson(call, 200, { incarnation: this.incarnation, holdings: listed, started });
  }

  /** Loads or unloads a model. Only engines with checked fencing refuse outdated orders. */
  private onOrder(call: httpServer.Call): void {
    const order = JSON.parse(call.body) as domain.placement.order.Order;
    const { term, sequence } = order.fence;
    const isStale =
      term < this.highestFence.term ||
      (term === this.highestFence.term && sequence <= this.highestFence.sequence);
    if (this.options.fencing === 'checked' && isStale) {
      httpServer.sendJson(call, 409, { error: 'outdated fencing token', seen: this.highestFence });
      return;
    }
    if (order.expiresAt < Date.now()) {
      httpServer.sendJson(call, 410, { error: 'order has expired' });
      return;
    }
    this.highestFence = order.fence;
    const key = JSON.stringify(order.model);
    const otherModels = this.models.filter((model) => JSON.stringify(model) !== key);
    this.models = order.kind === 'load' ? [...otherModels, order.model] : otherModels;
    httpServer.sendJson(call, 200, { models: this.models });
    void this.announcer.announce();
  }

  private onCache(call: httpServer.Call): void {
    const since = Number(call.query.get('since') ?? -1);
    const { cache } = this.model;
    if (since < 0) httpServer.sendJson(call, 200, { sequence: cache.sequence, keys: cache.keys() });
    else
      httpServer.sendJson(call, 200, {
        sequence: cache.sequence,
        events: this.publishedEvents(since),
      });
  }

  /** Cache events as the engine publishes them: a fraction of `eventLoss` is missing. */
  private publishedEvents(since: number): unknown[] {
    const { eventLoss } = this.options.parameters;
    const lossInterval = eventLoss > 0 ? Math.round(1 / eventLoss) : Infinity;
    return this.model.cache
      .eventsSince(since)
      .filter(({ sequence }) => sequence % lossInterval !== 0);
  }
}

/** Short digest of the prompt that every answer token carries, so that a mixed-up answer is detected. */
export function promptDigest(prompt: string): string {
  return crypto.createHash('sha1').update(prompt).digest('hex').slice(0, 6);
}
