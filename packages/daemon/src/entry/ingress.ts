/**
 * The callers' listener of an entry: bounds what a caller may send, finds the route and the organisation,
 * and reads the body. What it refuses has not run anywhere.
 */
import * as http from 'node:http';
import type * as net from 'node:net';
import type * as domain from '@celerydrift/domain';
import type * as codecs from '../configuration/codecs';
import type * as protocols from '../edges/protocols';
import * as listening from '../http/listening';
import type * as observer from '../observability/observer';
import type * as exchange from './exchange';
import * as settingsWait from './settingsWait';

type Directory = domain.catalogue.directory.Directory;
type Limits = domain.catalogue.catalogue.Limits;

export interface Dependencies {
  protocol: protocols.TrafficProtocol;
  observer: observer.Observer;
  now: () => number;
  directory: () => Directory | undefined;
  /** Whether what is in force here is known to be fresh enough to admit keys. */
  isFresh: () => boolean;
  serve: (admitted: exchange.AdmittedRequest) => Promise<void>;
}

interface Refusal {
  status: number;
  reason: string;
}

interface Arrival {
  request: http.IncomingMessage;
  response: http.ServerResponse;
  arrivedAt: number;
}

/** A caller's body, or why there is none. */
type Body = Buffer | 'tooLarge' | 'broken';

/** Longest body that is read before the catalogue's limit is known; the limit of the deployments. */
const MAX_EARLY_BODY_BYTES = 4 * 1024 * 1024;

/** Longest head that Node parses at all; the catalogue's limit, which may change, is checked below it. */
const MAX_PARSED_HEADER_BYTES = 65_536;

/** Heads that are slower than this are ended by Node; checked each second. */
const HEADER_CHECK_INTERVAL_MS = 1_000;

/** What a caller is told to wait where the entry has no fresh settings, seconds: the next follow. */
const RETRY_AFTER_SECONDS = '0.50';

export class Ingress {
  private readonly server: http.Server;

  private readonly sockets = new Set<net.Socket>();

  private active = 0;

  private isDraining = false;

  private isRefusing = false;

  private readonly settingsWait: settingsWait.SettingsWait;

  constructor(private readonly dependencies: Dependencies) {
    this.settingsWait = new settingsWait.SettingsWait(() => this.hasUsableSettings);
    this.server = http.createServer(
      {
        maxHeaderSize: MAX_PARSED_HEADER_BYTES,
        connectionsCheckingInterval: HEADER_CHECK_INTERVAL_MS,
        requestTimeout: 0,
        noDelay: true,
      },
      (request, response) => {
        void this.handle(request, response);
      },
    );
    this.server.on('connection', (socket) => {
      this.sockets.add(socket);
      socket.once('close', () => this.sockets.delete(socket));
    });
  }

  listen(address: codecs.Address, early?: listening.EarlyListener): Promise<void> {
    return listening.listenOrTakeOver(this.server, address, early);
  }

  /** Requests that have no final answer yet. */
  get activeRequests(): number {
    return this.active;
  }

  applyLimits({ idleTimeoutMs, headerTimeoutMs }: Limits): void {
    this.server.keepAliveTimeout = idleTimeoutMs;
    this.server.headersTimeout = headerTimeoutMs;
  }

  /** Settings came or were confirmed: requests that waited for them go on. */
  wake(): void {
    this.settingsWait.wake();
  }

  /** From now on each answer closes its connection; new requests are still served. */
  drain(): void {
    this.isDraining = true;
  }

  /** Takes no new connections, and refuses requests that come on open ones; those under way go on. */
  refuseNew(): void {
    this.isRefusing = true;
    this.close();
  }

  close(): void {
    this.server.close();
    this.server.closeIdleConnections();
  }

  private async handle(
    request: http.IncomingMessage,
    response: http.ServerResponse,
  ): Promise<void> {
    const arrivedAt = this.dependencies.now();
    this.active += 1;
    response.once('close', () => {
      this.active -= 1;
    });
    if (this.isDraining) response.setHeader('Connection', 'close');
    // An error of the caller's connection ends its exchange by `close`; nothing else follows from it.
    response.on('error', () => undefined);
    if (this.isRefusing) {
      this.refuse(request, response, { status: 503, reason: 'this entry stops' });
      return;
    }
    const earlyBody = this.hasUsableSettings ? undefined : await this.readAndWait(request);
    if (earlyBody === 'broken' || response.destroyed) return;
    const directory = this.dependencies.directory();
    if (directory === undefined) {
      this.refuse(request, response, { status: 503, reason: 'no catalogue yet' });
      return;
    }
    await this.admit(directory, { request, response, arrivedAt }, earlyBody);
  }

  private get hasUsableSettings(): boolean {
    return this.dependencies.directory() !== undefined && this.dependencies.isFresh();
  }

  /** Callers leave an entry that doesn't read their request, so the body comes before the wait. */
  private async readAndWait(request: http.IncomingMessage): Promise<Body> {
    const body = await readBody(request, MAX_EARLY_BODY_BYTES);
    await this.settingsWait.wait(this.dependencies.protocol.facts(request.headers).patienceMs);
    return body;
  }

  private async admit(
    directory: Directory,
    { request, response, arrivedAt }: Arrival,
    earlyBody: Body | undefined,
  ): Promise<void> {
    const facts = this.dependencies.protocol.facts(request.headers);
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
    const body = earlyBody ?? (await readBody(request, limits.maxBodyBytes));
    if (body === 'broken') return;
    if (body === 'tooLarge' || body.length > limits.maxBodyBytes) {
      this.refuse(request, response, { status: 413, reason: 'body too large' });
      return;
    }
    await this.dependencies.serve({
      request,
      response,
      facts,
      route,
      organisation: isKeyed ? organisation?.name : undefined,
      body,
      arrivedAt,
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
    // A stale entry can't tell a missing route or key from one that is newer than its catalogue.
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

  private refuse(
    request: http.IncomingMessage,
    response: http.ServerResponse,
    { status, reason }: Refusal,
  ): void {
    const { requestId } = this.dependencies.protocol.facts(request.headers);
    const version = this.dependencies.directory()?.version ?? 0;
    this.dependencies.observer.log('requestEnded', {
      request: requestId,
      status,
      detail: reason,
      version,
    });
    const headers: http.OutgoingHttpHeaders = { 'Content-Length': 0 };
    if (status === 503) headers['Retry-After'] = RETRY_AFTER_SECONDS;
    // The rest of a body that nobody reads must not be taken for the next request.
    if (!request.complete) headers.Connection = 'close';
    response.writeHead(status, headers);
    response.end();
  }
}

async function readBody(request: http.IncomingMessage, maxBytes: number): Promise<Body> {
  return new Promise((resolve) => {
    const chunks: Buffer[] = [];
    let length = 0;
    request.on('data', (chunk: Buffer) => {
      length += chunk.length;
      if (length > maxBytes) resolve('tooLarge');
      else chunks.push(chunk);
    });
    request.once('end', () => resolve(Buffer.concat(chunks)));
    request.once('error', () => resolve('broken'));
    request.once('close', () => resolve('broken'));
  });
}
