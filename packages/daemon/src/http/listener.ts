/**
 * HTTP listener with limits on header size, body size, slow senders and connections. A route is called only
 * with the complete body; otherwise the caller receives an error.
 */
import * as http from 'node:http';
import * as https from 'node:https';
import type * as net from 'node:net';
import type * as tls from 'node:tls';
import * as clock from '../clock';
import type * as configuration from '../configuration/configuration';
import type * as observer from '../observability/observer';
import * as errors from '../requests/errors';
import * as breakOff from './breakOff';
import * as connectionLimit from './connectionLimit';
import * as earlyResponse from './earlyResponse';
import type * as heldBytes from './heldBytes';
import * as malformedInput from './malformedInput';
import * as openFiles from './openFiles';
import * as openResponses from './openResponses';
import * as pacedRequest from './pacedRequest';
import * as reply from './reply';
import * as requestBody from './requestBody';
import * as serverStop from './serverStop';
import * as turnedAwayClients from './turnedAwayClients';

/** A request with its complete body, and the response to write. */
export interface Call {
  method: string;
  path: string;
  query: URLSearchParams;
  headers: http.IncomingHttpHeaders;
  body: Buffer;
  address: string;
  response: http.ServerResponse;
}

export type Route = (call: Call) => Promise<void>;

const MAX_HEADER_BYTES = 16 * 1024;

/** Extracts the bearer token or API key; empty if there is none. */
export function bearer(headers: http.IncomingHttpHeaders): string {
  const match = /^Bearer (\S+)$/i.exec(headers.authorization ?? '');
  return match?.[1] ?? '';
}

export interface Dependencies {
  /** Name of the listener, as in the settings. */
  name: string;
  limits: Pick<
    configuration.Configuration['limits'],
    'bodyBytes' | 'connections' | 'headerSeconds' | 'bodySeconds'
  >;
  tlsOptions?: tls.TlsOptions;
  route: Route;
  held: Pick<heldBytes.HeldBytes, 'open'>;
  observer: Pick<observer.Observer, 'log' | 'count'>;
}

/** Share of the descriptors that the connections of one of the three listeners may take. */
const CONNECTION_SHARE = 1 / 4;

/** Retry-After of a call that was refused for want of memory, milliseconds. */
const RETRY_AFTER_MS = 500;

export class Listener {
  private readonly server: http.Server | https.Server;

  private readonly responses = new openResponses.OpenResponses();

  private readonly serverStop: serverStop.ServerStop;

  private readonly connections: connectionLimit.ConnectionLimit;

  private readonly turnedAway: turnedAwayClients.TurnedAwayClients;

  constructor(private readonly dependencies: Dependencies) {
    const { name, limits, tlsOptions, observer: observe } = dependencies;
    this.turnedAway = new turnedAwayClients.TurnedAwayClients(name, observe);
    const options = {
      IncomingMessage: pacedRequest.PacedRequest,
      maxHeaderSize: MAX_HEADER_BYTES,
      headersTimeout: limits.headerSeconds * 1_000,
      requestTimeout: limits.bodySeconds * 1_000,
      connectionsCheckingInterval: 1_000,
      keepAliveTimeout: 65_000,
      noDelay: true,
    };
    const serve = (request: http.IncomingMessage, response: http.ServerResponse): void => {
      if (this.responses.isClosing(request.socket)) {
        request.resume();
        return;
      }
      if (!this.connections.began(request, response)) return;
      this.responses.began(request, response);
      this.serverStop.began(response);
      void this.serve(request, response);
    };
    this.server =
      tlsOptions === undefined
        ? http.createServer(options, serve)
        : https.createServer({ ...options, ...tlsOptions }, serve);
    malformedInput.handle(this.server, this.responses, observe);
    this.serverStop = new serverStop.ServerStop(this.server);
    this.connections = new connectionLimit.ConnectionLimit(this.server, {
      maximum: openFiles.shareOf(CONNECTION_SHARE, limits.connections),
      isPlain: tlsOptions === undefined,
      turnedAway: this.turnedAway,
      now: clock.steady,
    });
  }

  async listen({ host, port }: configuration.Address): Promise<number> {
    await new Promise<void>((resolve, reject) => {
      this.server.once('error', reject);
      this.server.listen(port, host, resolve);
    });
    return (this.server.address() as net.AddressInfo).port;
  }

  /** Stops accepting connections and resolves when the open calls have finished. */
  async close(): Promise<void> {
    const closed = new Promise<void>((resolve) => {
      this.serverStop.stop(resolve);
    });
    const idle = setInterval(() => this.serverStop.closeIdle(), 100);
    await closed;
    clearInterval(idle);
  }

  /** Closes all connections at once, including those with open calls. */
  abort(): void {
    this.serverStop.unfinished.forEach((response) => {
      this.reportAborted(response, 'stopped', 'the daemon has stopped');
    });
    this.server.closeAllConnections();
  }

  private async serve(request: http.IncomingMessage, response: http.ServerResponse): Promise<void> {
    try {
      const body = await this.read(request, response);
      if (!Buffer.isBuffer(body)) {
        this.refuse(request, response, body);
        return;
      }
      if (!this.connections.received(request, response)) return;
      const url = new URL(request.url ?? '/', 'http://daemon');
      await this.dependencies.route({
        method: request.method ?? 'GET',
        path: url.pathname,
        query: url.searchParams,
        headers: request.headers,
        body,
        address: request.socket.remoteAddress ?? '',
        response,
      });
    } catch (error) {
      this.fail(response, error);
    }
  }

  private async read(
    request: http.IncomingMessage,
    response: http.ServerResponse,
  ): Promise<requestBody.Body> {
    const { bodyBytes } = this.dependencies.limits;
    const held = this.dependencies.held.open({
      request: '',
      unsentBytes: () => response.writableLength,
      cut: () => breakOff.breakOff(response),
    });
    response.once('close', () => held.close());
    if (Number(request.headers['content-length'] ?? 0) > bodyBytes) return 'tooLarge';
    return requestBody.read(request, { maxBytes: bodyBytes, held });
  }

  /** Refuses a call whose body isn't whole. */
  private refuse(
    request: http.IncomingMessage,
    response: http.ServerResponse,
    failure: requestBody.Failure,
  ): void {
    if (failure === 'broken') {
      breakOff.breakOff(response);
      return;
    }
    if (failure !== 'tooLarge') this.turnedAway.add(failure);
    const message = `the body is over ${this.dependencies.limits.bodyBytes} bytes`;
    const error =
      failure === 'tooLarge'
        ? errors.notRun('tooLarge', message)
        : errors.notRun('overloaded', 'too many bodies are arriving', RETRY_AFTER_MS);
    earlyResponse.send(request, response, reply.errorOf(error));
  }

  private fail(response: http.ServerResponse, error: unknown): void {
    if (response.headersSent) {
      this.reportError(error);
      if (response.writableEnded) return;
      this.reportAborted(response, 'internalError', String(error));
      breakOff.breakOff(response);
    } else {
      const isMalformed = error instanceof SyntaxError || error instanceof URIError;
      if (!isMalformed) this.reportError(error);
      reply.error(
        response,
        isMalformed
          ? errors.notRun('badRequest', `the request can't be read: ${error.message}`)
          : errors.unknown('unexpected error'),
      );
    }
  }

  private reportError(error: unknown): void {
    this.dependencies.observer.log('crashed', { error: String(error) });
  }

  /** Reports a call whose connection is closed without a whole answer. */
  private reportAborted(
    { req: { method, url } }: http.ServerResponse,
    reason: 'internalError' | 'stopped',
    detail: string,
  ): void {
    this.dependencies.observer.count(`answers.aborted.${reason}`);
    this.dependencies.observer.log('answerAborted', { method, path: url, reason, detail });
  }
}
