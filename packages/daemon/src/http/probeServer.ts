/**
 * A server that answers any request alike, such as a readiness check. It reads no bodies and keeps few connections, so that
 * whoever reaches it can't take much of the process.
 */
import * as http from 'node:http';
import * as clock from '../clock';
import type * as observer from '../observability/observer';
import * as connectionLimit from './connectionLimit';
import * as earlyResponse from './earlyResponse';
import * as openFiles from './openFiles';
import * as pacedRequest from './pacedRequest';
import * as turnedAwayClients from './turnedAwayClients';

export interface Options {
  /** Name of the listener, as in the settings. */
  name: string;
  answer: () => earlyResponse.Content | Promise<earlyResponse.Content>;
  observer: Pick<observer.Observer, 'log' | 'count'>;
}

/** Share of the descriptors that its connections may take, and the most that they may. */
const CONNECTION_SHARE = 1 / 16;
const MAX_CONNECTIONS = 128;

/** Most of a body that is read and discarded before its connection is closed, bytes. */
const MAX_DISCARDED_BYTES = 65_536;

const HTTP_OPTIONS = {
  IncomingMessage: pacedRequest.PacedRequest,
  maxHeaderSize: 16_384,
  headersTimeout: 5_000,
  requestTimeout: 5_000,
  connectionsCheckingInterval: 5_000,
};

function hasBody({ headers }: http.IncomingMessage): boolean {
  return headers['transfer-encoding'] !== undefined || Number(headers['content-length'] ?? 0) > 0;
}

async function serve(
  request: http.IncomingMessage,
  response: http.ServerResponse,
  { answer, observer: observe, name }: Options,
): Promise<void> {
  response.on('error', () => undefined);
  try {
    const content = await answer();
    if (hasBody(request)) {
      earlyResponse.send(request, response, content, MAX_DISCARDED_BYTES);
      return;
    }
    const length = Buffer.byteLength(content.content);
    response.writeHead(content.status, { ...content.headers, 'Content-Length': length });
    response.end(content.content);
  } catch (error) {
    observe.log('crashed', { listener: name, detail: String(error) });
    response.destroy();
  }
}

/** Creates the server; it doesn't listen yet. An answer that fails ends its connection, not the process. */
export function create(options: Options): http.Server {
  const { name, observer: observe } = options;
  const server = http.createServer(HTTP_OPTIONS);
  const connections = new connectionLimit.ConnectionLimit(server, {
    maximum: openFiles.shareOf(CONNECTION_SHARE, MAX_CONNECTIONS),
    isPlain: true,
    turnedAway: new turnedAwayClients.TurnedAwayClients(name, observe),
    now: clock.steady,
  });
  server.on('request', (request, response) => {
    if (connections.began(request, response)) void serve(request, response, options);
  });
  return server;
}
