/**
 * A target that crashes shortly after it receives a request whose body contains the crash marker, or whose prompt has
 * the crashing part, and restarts at the same address as a new lifetime. Other requests get a stream that is long enough to overlap with a crashing
 * one. A test may make it report a rate limit, drain, or ask the senders of requests to back off.
 */
import * as http from 'node:http';
import type * as net from 'node:net';
import type * as domain from '@celerydrift/domain';
import * as clock from '../../clock';
import * as entryHarness from '../../entry/__tests__/__fixtures__/harness';

/** A request whose body contains this text crashes the target. */
export const CRASH_MARKER = 'crash';

/** A request that lists this part of its prompt crashes the target, whatever its body. */
export const CRASHING_PART = 'c0ffee';

/** How long a target runs such a request before it crashes. */
const CRASH_DELAY_MS = 30;

/** Time between a crash and the next lifetime. */
const RESTART_DELAY_MS = 500;

const ANNOUNCEMENT_INTERVAL_MS = 200;

const STREAM_EVENTS = 4;
const EVENT_INTERVAL_MS = 40;

/** A request that a target started to run. */
export interface Arrival {
  /** Id of the target, different for each lifetime. */
  target: string;
  /** Id of the request. */
  request: string;
  body: string;
  /** On the steady clock, milliseconds. */
  at: number;
}

/** A response by which a target asked the sender of a request to back off. */
export interface BackOffResponse {
  /** Name of the target, the same for all its lifetimes. */
  name: string;
  /** IP address of the sender. */
  source: string;
  /** Id of the request. */
  request: string;
  /** On the steady clock, milliseconds. */
  at: number;
  /** End of the back-off, on the steady clock, milliseconds. */
  until: number;
}

/** A message that a target received: a request or a liveness probe. */
export interface Message {
  /** Name of the target, the same for all its lifetimes. */
  name: string;
  isRequest: boolean;
  /** IP address of the sender. */
  source: string;
  /** On the steady clock, milliseconds. */
  at: number;
}

export interface Options {
  name: string;
  service: string;
  port: number;
  dataCentre: string;
  announce: (record: domain.registry.registry.Announcement) => Promise<void>;
  onMessage: (message: Message) => void;
  onBackOffResponse: (response: BackOffResponse) => void;
  onDraining: () => void;
  /** Whether nothing passes any more on the open connections from an IP address. */
  isSilenced: (source: string) => boolean;
  onArrival: (arrival: Arrival) => void;
  onCrash: (target: string, at: number) => void;
}

export class CrashableTarget {
  /** Rate limit for the whole fleet that its responses report, requests a second; undefined for none. */
  limit: number | undefined;

  /** Back-off that it asks the sender of each request for, milliseconds; undefined while it accepts requests. */
  backOffMs: number | undefined;

  /** Time on the steady clock until which it sends nothing, milliseconds; what it receives meanwhile is handled then. */
  private silentUntil = 0;

  /** Whether its responses report that it drains; its announcements still say that it is ready. */
  isDraining = false;

  private lifetime = 0;

  private sequence = 0;

  private server: http.Server | undefined;

  private readonly sockets = new Set<net.Socket>();

  private timers: NodeJS.Timeout[] = [];

  private isStopped = false;

  constructor(private readonly options: Options) {}

  get id(): string {
    return `${this.options.name}-${this.lifetime}`;
  }

  async start(): Promise<void> {
    if (this.isStopped) return;
    this.lifetime += 1;
    this.sequence = 0;
    const server = http.createServer((request, response) => this.handle(request, response));
    server.on('connection', (socket) => {
      this.sockets.add(socket);
      socket.once('close', () => this.sockets.delete(socket));
    });
    this.server = server;
    await new Promise<void>((resolve) => {
      server.listen(this.options.port, '127.0.0.1', resolve);
    });
    if (this.isStopped) {
      server.close();
      return;
    }
    const announceAgain = (): void => {
      void this.announce();
    };
    this.timers = [setInterval(announceAgain, ANNOUNCEMENT_INTERVAL_MS)];
    await this.announce();
  }

  /** Terminates and restarts at the same address under a new id; keeps its rate limit, back-off and draining state. */
  async restart(): Promise<void> {
    this.terminate();
    await clock.sleep(RESTART_DELAY_MS);
    await this.start();
  }

  /** Sends nothing for a while, and then goes on. */
  silence(forMs: number): void {
    this.silentUntil = clock.steady() + forMs;
  }

  stop(): void {
    this.isStopped = true;
    this.terminate();
  }

  /** Resets all connections and refuses new ones, as when a process crashes. */
  private terminate(): void {
    this.timers.forEach((timer) => clearInterval(timer));
    this.server?.close();
    this.server = undefined;
    this.sockets.forEach((socket) => socket.resetAndDestroy());
  }

  private handle(request: http.IncomingMessage, response: http.ServerResponse): void {
    const chunks: Buffer[] = [];
    request.on('data', (chunk: Buffer) => chunks.push(chunk));
    request.on('error', () => undefined);
    response.on('error', () => undefined);
    request.on('end', async () => {
      await this.endOfSilence();
      const { id } = this;
      const isRequest = request.url !== entryHarness.REPORT_PATH;
      const { name } = this.options;
      const source = request.socket.remoteAddress ?? '';
      if (this.options.isSilenced(source)) return;
      this.options.onMessage({ name, isRequest, source, at: clock.steady() });
      if (request.headers.target !== id) this.reply(request, response, 421);
      else if (request.url === entryHarness.REPORT_PATH) this.reply(request, response, 200);
      else if (this.backOffMs !== undefined)
        this.respondWithBackOff(request, response, this.backOffMs);
      else this.run(request, response, Buffer.concat(chunks).toString());
    });
  }

  /** Responds to a request that is not run, or a liveness probe. */
  private reply(
    request: http.IncomingMessage,
    response: http.ServerResponse,
    status: number,
  ): void {
    const notRun = status === 200 ? [] : ['not-run', '1'];
    response.writeHead(status, [...this.headersOf(request), ...notRun]).end();
  }

  private respondWithBackOff(
    request: http.IncomingMessage,
    response: http.ServerResponse,
    forMs: number,
  ): void {
    const { name } = this.options;
    const source = request.socket.remoteAddress ?? '';
    const at = clock.steady();
    const id = String(request.headers.id);
    this.options.onBackOffResponse({ name, source, request: id, at, until: at + forMs });
    response.writeHead(503, [
      ...this.headersOf(request),
      'not-run',
      '1',
      'back-off',
      String(forMs),
    ]);
    response.end();
  }

  private headersOf(request: http.IncomingMessage): string[] {
    const limit = this.limit === undefined ? [] : ['limit', String(this.limit)];
    const leaving = this.isDraining ? ['leaving', '1'] : [];
    if (this.isDraining) this.options.onDraining();
    const { id } = request.headers;
    const echoed = id === undefined ? [] : ['id', String(id)];
    return [...echoed, 'signed', '1', ...limit, ...leaving];
  }

  /** Runs a request: streams a response, or crashes and restarts. */
  private run(request: http.IncomingMessage, response: http.ServerResponse, body: string): void {
    const { id } = this;
    this.options.onArrival({
      target: id,
      request: String(request.headers.id),
      body,
      at: clock.steady(),
    });
    const hasCrashingPart = String(request.headers.parts ?? '').includes(CRASHING_PART);
    if (!body.includes(CRASH_MARKER) && !hasCrashingPart) {
      this.stream(request, response);
      return;
    }
    setTimeout(() => {
      if (this.server === undefined || this.id !== id) return;
      this.options.onCrash(id, clock.steady());
      this.terminate();
      setTimeout(() => {
        void this.start();
      }, RESTART_DELAY_MS);
    }, CRASH_DELAY_MS);
  }

  private stream(request: http.IncomingMessage, response: http.ServerResponse): void {
    response.writeHead(200, this.headersOf(request));
    let next = Number(request.headers['resume-after'] ?? 0) + 1;
    const source = request.socket.remoteAddress ?? '';
    const timer = setInterval(() => {
      if (this.options.isSilenced(source) || clock.steady() < this.silentUntil) return;
      response.write(`id: ${next}\ndata: x\n\n`);
      next += 1;
      if (next > STREAM_EVENTS) response.end();
      if (next > STREAM_EVENTS) clearInterval(timer);
    }, EVENT_INTERVAL_MS);
    response.once('close', () => clearInterval(timer));
  }

  private async endOfSilence(): Promise<void> {
    while (clock.steady() < this.silentUntil) await clock.sleep(this.silentUntil - clock.steady());
  }

  private async announce(): Promise<void> {
    await this.endOfSilence();
    this.sequence += 1;
    const { service, port, dataCentre } = this.options;
    await this.options
      .announce({
        id: this.id,
        bornAt: this.lifetime,
        service,
        address: `127.0.0.1:${port}`,
        dataCentre,
        slots: 8,
        state: 'ready',
        sequence: this.sequence,
      })
      .catch(() => undefined);
  }
}
