/**
 * HTTP server of an entry for callers: limits the size of requests, resolves the route and the organisation, and reads
 * the body. A request that it refuses has not run anywhere.
 */
import * as http from 'node:http';
import type * as net from 'node:net';
import type * as domain from '@celerydrift/domain';
import type * as codecs from '../configuration/codecs';
import type * as protocols from '../edges/protocols';
import * as breakOff from '../http/breakOff';
import * as connectionLimit from '../http/connectionLimit';
import * as earlyResponse from '../http/earlyResponse';
import type * as heldBytes from '../http/heldBytes';
import * as listening from '../http/listening';
import * as malformedInput from '../http/malformedInput';
import * as openResponses from '../http/openResponses';
import * as pacedRequest from '../http/pacedRequest';
import * as requestBody from '../http/requestBody';
import * as serverStop from '../http/serverStop';
import * as turnedAwayClients from '../http/turnedAwayClients';
import type * as observer from '../observability/observer';
import * as connectionGate from './connectionGate';
import * as admittedRequest from './admittedRequest';
import * as settingsWait from './settingsWait';

type Directory = domain.catalogue.directory.Directory;
type Limits = domain.catalogue.catalogue.Limits;

export interface Dependencies {
  protocol: protocols.TrafficProtocol;
  observer: observer.Observer;
  now: () => number;
  directory: () => Directory | undefined;
  /** Whether the settings in force were confirmed recently enough to admit keys. */
  isFresh: () => boolean;
  held: Pick<heldBytes.HeldBytes, 'open'>;
  /** Unlimited if undefined. */
  maxConnections?: number;
  serve: (admitted: admittedRequest.AdmittedRequest) => Promise<void>;
}

interface Refusal {
  status: number;
  reason: string;
}

interface Arrival {
  request: http.IncomingMessage;
  response: http.ServerResponse;
  arrivedAt: number;
  held: heldBytes.Holding;
}

/** Maximum body that is read before the catalogue's limit is known; the limit of the deployments. */
const MAX_EARLY_BODY_BYTES = 4 * 1024 * 1024;

/** How long a body may stand still before the catalogue's limit is known, milliseconds. */
const MAX_EARLY_SILENCE_MS = 15_000;

/** Maximum size of a head that Node parses before the catalogue's limit is known, bytes. */
const MAX_EARLY_HEADER_BYTES = 65_536;

/**
 * Share of the catalogue's limit of headers up to which Node parses a head, with its request line. Connections that exist
 * already keep the limit that was in force at their beginning.
 */
const PARSED_HEADER_SHARE = 1.25;

/** Interval at which Node closes connections whose head exceeded its timeout, milliseconds. */
const HEADER_CHECK_INTERVAL_MS = 1_000;

/** Retry-After where the entry has no fresh settings, seconds: it polls the leader again by then. */
const RETRY_AFTER_SECONDS = '0.50';

export class Ingress {
  private readonly server: http.Server;

  /** Requests that were passed on to be served, so that targets may run them. */
  private readonly passedOn = new WeakSet<http.IncomingMessage>();

  /** Responses that aren't complete. */
  private readonly open = new Set<http.ServerResponse>();

  /** Those that arrived behind another request of their connection. */
  private readonly queued = new Set<http.ServerResponse>();

  /** Requests whose bodies are still arriving. */
  private arrivingBodies = 0;

  private isDraining = false;

  private isRefusing = false;

  private readonly settingsWait: settingsWait.SettingsWait;

  private readonly gate: connectionGate.ConnectionGate;

  private readonly connections: connectionLimit.ConnectionLimit;

  private readonly responses = new openResponses.OpenResponses();

  private readonly turnedAway: turnedAwayClients.TurnedAwayClients;

  private readonly serverStop: serverStop.ServerStop;

  /** Address of the callers' listener; undefined before it listens. */
  private address: codecs.Address | undefined;

  constructor(private readonly dependencies: Dependencies) {
    this.turnedAway = new turnedAwayClients.TurnedAwayClients('callers', dependencies.observer);
    this.settingsWait = new settingsWait.SettingsWait(() => this.hasUsableSettings);
    this.server = http.createServer(
      {
        IncomingMessage: pacedRequest.PacedRequest,
        maxHeaderSize: MAX_EARLY_HEADER_BYTES,
        connectionsCheckingInterval: HEADER_CHECK_INTERVAL_MS,
        requestTimeout: 0,
        noDelay: true,
      },
      (request, response) => {
        void this.answer(request, response);
      },
    );
    malformedInput.handle(this.server, this.responses, dependencies.observer);
    this.serverStop = new serverStop.ServerStop(this.server);
    this.connections = new connectionLimit.ConnectionLimit(this.server, {
      maximum: dependencies.maxConnections ?? Infinity,
      isPlain: true,
      turnedAway: this.turnedAway,
      now: dependencies.now,
    });
    this.gate = new connectionGate.ConnectionGate(this.server, {
      observer: dependencies.observer,
      now: dependencies.now,
      // A body that is still arriving takes no turn of the event loop unless it moves, which is paced.
      active: () => this.open.size - this.arrivingBodies,
      listen: () => this.listenAgain(),
    });
    this.server.on('connection', (socket) => {
      socket.once('close', () => this.forgetQueued(socket));
    });
  }

  listen(address: codecs.Address, early?: listening.EarlyListener): Promise<void> {
    this.address = address;
    return listening.listenOrTakeOver(this.server, address, early, this.dependencies.observer);
  }

  private async listenAgain(): Promise<void> {
    if (this.address !== undefined) await listening.listenAgain(this.server, this.address);
  }

  /** Number of requests without a final response. */
  get activeRequests(): number {
    return this.open.size;
  }

  gauges(): Record<string, number> {
    return { ...this.gate.gauges(), connections: this.connections.size };
  }

  applyLimits({ idleTimeoutMs, headerTimeoutMs, maxHeaderBytes }: Limits): void {
    const maxHeaderSize = Math.ceil(maxHeaderBytes * PARSED_HEADER_SHARE);
    Object.assign(this.server, { maxHeaderSize });
    this.server.keepAliveTimeout = idleTimeoutMs;
    this.server.headersTimeout = headerTimeoutMs;
  }

  /** Continues requests that wait for settings, if these have arrived or were confirmed. */
  wake(): void {
    this.settingsWait.wake();
  }

  /** From now on each response closes its connection; new requests are still served. */
  drain(): void {
    this.isDraining = true;
  }

  /** Accepts no new connections and refuses requests that arrive on open ones; requests in progress continue. */
  refuseNew(): void {
    this.isRefusing = true;
    this.close();
  }

  close(): void {
    this.gate.stop();
    this.serverStop.stop();
  }

  /** Ends all requests: with a status, if their answers haven't begun. */
  abort(): void {
    const stopped = new admittedRequest.EntryStopped();
    this.open.forEach((response) => {
      const { req: request } = response;
      // Its exchange knows whether a target may have run it.
      const isServed = this.passedOn.has(request) && request.listenerCount('error') > 0;
      if (isServed) request.emit('error', stopped);
      this.fail(request, response, { reason: 'stopped', detail: stopped.message });
    });
  }

  /** Node tells only the response whose turn it is that its connection has ended, not those queued behind it. */
  private forgetQueued(socket: net.Socket): void {
    this.queued.forEach((response) => {
      if (response.req.socket !== socket) return;
      response.destroy();
      response.emit('close');
    });
  }

  private async answer(
    request: http.IncomingMessage,
    response: http.ServerResponse,
  ): Promise<void> {
    this.open.add(response);
    if (response.socket === null) this.queued.add(response);
    response.once('close', () => {
      this.open.delete(response);
      this.queued.delete(response);
    });
    // An error of the caller's connection ends its exchange through `close`; it needs no other handling.
    response.on('error', () => undefined);
    try {
      await this.handle(request, response);
    } catch (error) {
      this.failUnexpectedly(request, response, error);
    }
  }

  private async handle(
    request: http.IncomingMessage,
    response: http.ServerResponse,
  ): Promise<void> {
    const arrivedAt = this.dependencies.now();
    this.gate.used(request.socket);
    if (this.responses.isClosing(request.socket)) {
      request.resume();
      return;
    }
    if (!this.connections.began(request, response)) return;
    this.responses.began(request, response);
    this.serverStop.began(response);
    const held = this.dependencies.held.open(this.connectionOf(request, response));
    response.once('close', () => held.close());
    if (this.isDraining) openResponses.closeAfterLast(this.responses.of(request.socket));
    if (this.isRefusing) {
      this.refuse(request, response, { status: 503, reason: 'entry is stopping' });
      return;
    }
    const earlyBody = this.hasUsableSettings
      ? undefined
      : await this.readAndWait(request, response, held);
    if (isAnswered(response)) return;
    if (earlyBody !== undefined && !Buffer.isBuffer(earlyBody)) {
      this.refuseWithoutBody(request, response, earlyBody);
      return;
    }
    const directory = this.dependencies.directory();
    if (directory === undefined) {
      this.refuse(request, response, { status: 503, reason: 'no catalogue yet' });
      return;
    }
    await this.admit(directory, { request, response, arrivedAt, held }, earlyBody);
  }

  /** An unexpected error must neither leave the caller without an answer nor end the process with all other answers. */
  private failUnexpectedly(
    request: http.IncomingMessage,
    response: http.ServerResponse,
    error: unknown,
  ): void {
    const detail = String(error);
    this.dependencies.observer.log('crashed', { request: this.requestIdOf(request), detail });
    this.fail(request, response, { reason: 'internalError', detail });
  }

  /** Answers a request that can't be served any more, with what is known, or breaks its answer off. */
  private fail(
    request: http.IncomingMessage,
    response: http.ServerResponse,
    failure: { reason: 'internalError' | 'stopped'; detail: string },
  ): void {
    const { observer: observe } = this.dependencies;
    if (response.writableEnded || response.destroyed) return;
    if (response.headersSent) {
      observe.count(`answers.aborted.${failure.reason}`);
      observe.log('answerAborted', { request: this.requestIdOf(request), ...failure });
      breakOff.breakOff(response);
      return;
    }
    const status = this.passedOn.has(request) ? 502 : 503;
    observe.count(`answers.${status}.own`);
    const { detail } = failure;
    observe.log('requestEnded', { request: this.requestIdOf(request), status, detail });
    this.end(request, response, status);
  }

  /** Id of a request; empty if its headers can't be read. */
  private requestIdOf({ headers }: http.IncomingMessage): string {
    try {
      return this.dependencies.protocol.callerMetadata(headers).requestId;
    } catch {
      return '';
    }
  }

  private connectionOf(
    request: http.IncomingMessage,
    response: http.ServerResponse,
  ): heldBytes.Connection {
    return {
      request: this.dependencies.protocol.callerMetadata(request.headers).requestId,
      unsentBytes: () => response.writableLength,
      cut: () => breakOff.breakOff(response),
    };
  }

  private get hasUsableSettings(): boolean {
    return this.dependencies.directory() !== undefined && this.dependencies.isFresh();
  }

  private async readBody(
    request: http.IncomingMessage,
    options: requestBody.Options,
  ): Promise<requestBody.Body> {
    this.arrivingBodies += 1;
    try {
      return await requestBody.read(request, options);
    } finally {
      this.arrivingBodies -= 1;
    }
  }

  /** Reads the body before the wait, because callers leave an entry that doesn't read their request. */
  private async readAndWait(
    request: http.IncomingMessage,
    response: http.ServerResponse,
    held: heldBytes.Holding,
  ): Promise<requestBody.Body> {
    const { patienceMs } = this.dependencies.protocol.callerMetadata(request.headers);
    const times = { totalMs: patienceMs ?? Infinity, silentMs: MAX_EARLY_SILENCE_MS };
    const body = await this.readBody(request, { maxBytes: MAX_EARLY_BODY_BYTES, times, held });
    if (!Buffer.isBuffer(body)) return body;
    if (!this.connections.received(request, response)) return 'broken';
    await this.settingsWait.wait(patienceMs);
    return body;
  }

  private async admit(
    directory: Directory,
    { request, response, arrivedAt, held }: Arrival,
    earlyBody: Buffer | undefined,
  ): Promise<void> {
    const facts = this.dependencies.protocol.callerMetadata(request.headers);
    const path = request.url ?? '/';
    const route = directory.route(request.headers.host ?? '', path);
    const organisation = facts.key === undefined ? undefined : directory.organisation(facts.key);
    const { limits } = directory.catalogue;
    const isKeyed = route !== undefined && directory.needsKeys && !route.isPublic;
    const refusal =
      this.checkHead(request, limits) ?? this.checkAccess(route, isKeyed, organisation);
    if (refusal !== undefined || route === undefined) {
      this.refuse(request, response, refusal ?? { status: 404, reason: 'no route' });
      return;
    }
    const body =
      earlyBody ??
      (await this.readBody(request, {
        maxBytes: limits.maxBodyBytes,
        times: bodyTimes(limits, route, facts),
        held,
      }));
    if (isAnswered(response)) return;
    if (!Buffer.isBuffer(body) || body.length > limits.maxBodyBytes) {
      this.refuseWithoutBody(request, response, Buffer.isBuffer(body) ? 'tooLarge' : body);
      return;
    }
    if (!this.connections.received(request, response)) return;
    this.passedOn.add(request);
    await this.dependencies.serve({
      request,
      response,
      facts,
      route,
      organisation: isKeyed ? organisation?.name : undefined,
      urgencyAt: (service) =>
        directory.urgency(service, (isKeyed ? organisation : undefined) ?? route),
      body,
      arrivedAt,
      held,
    });
  }

  private checkHead(request: http.IncomingMessage, limits: Limits): Refusal | undefined {
    const bytes = request.rawHeaders.reduce((sum, part) => sum + part.length + 2, 0);
    if (bytes > limits.maxHeaderBytes) return { status: 431, reason: 'header too large' };
    const length = Number(request.headers['content-length'] ?? 0);
    return length > limits.maxBodyBytes ? { status: 413, reason: 'body too large' } : undefined;
  }

  private checkAccess(
    route: domain.catalogue.catalogue.Route | undefined,
    isKeyed: boolean,
    organisation: domain.catalogue.catalogue.Organisation | undefined,
  ): Refusal | undefined {
    // A stale entry can't distinguish an unknown route or key from one that is newer than its catalogue.
    const isStale = !this.dependencies.isFresh();
    if (route === undefined) {
      return isStale
        ? { status: 503, reason: 'settings not confirmed fresh' }
        : { status: 404, reason: 'no route' };
    }
    if (!isKeyed) return undefined;
    if (isStale) return { status: 503, reason: 'settings not confirmed fresh' };
    return organisation === undefined ? { status: 401, reason: 'unknown key' } : undefined;
  }

  /** Refuses a request whose body isn't whole, so that no target can have run it. */
  private refuseWithoutBody(
    request: http.IncomingMessage,
    response: http.ServerResponse,
    failure: requestBody.Failure,
  ): void {
    if (failure === 'broken') return;
    if (failure === 'tooLarge') {
      this.refuse(request, response, { status: 413, reason: 'body too large' });
      return;
    }
    this.turnedAway.add(failure, this.requestIdOf(request));
    this.end(request, response, failure === 'memory' ? 503 : 408);
  }

  private refuse(
    request: http.IncomingMessage,
    response: http.ServerResponse,
    { status, reason }: Refusal,
  ): void {
    const { requestId } = this.dependencies.protocol.callerMetadata(request.headers);
    const version = this.dependencies.directory()?.version;
    this.dependencies.observer.log('requestEnded', {
      request: requestId,
      status,
      detail: reason,
      version,
    });
    this.end(request, response, status);
  }

  /** Sends an answer of the entry itself. */
  private end(request: http.IncomingMessage, response: http.ServerResponse, status: number): void {
    const headers: http.OutgoingHttpHeaders = {};
    if (status === 503) headers['Retry-After'] = RETRY_AFTER_SECONDS;
    if (!request.complete) {
      earlyResponse.send(request, response, { status, headers, content: '' });
      return;
    }
    response.writeHead(status, { ...headers, 'Content-Length': 0 });
    response.end();
  }
}

/** How long the body of a request may take: its target would have no time left for it afterwards. */
function bodyTimes(
  { idleTimeoutMs }: Limits,
  route: domain.catalogue.catalogue.Route,
  { patienceMs = Infinity }: protocols.CallerMetadata,
): domain.pressure.incompleteBodies.BodyTimes {
  return {
    totalMs: Math.min(route.timeoutMs, patienceMs),
    silentMs: idleTimeoutMs > 0 ? idleTimeoutMs : Infinity,
  };
}

/** Whether a request got its answer, or lost its connection, before it was passed on. */
function isAnswered({ headersSent, destroyed }: http.ServerResponse): boolean {
  return headersSent || destroyed;
}
