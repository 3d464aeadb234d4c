/**
 * Answers bytes of a caller's connection that are no request. Node would answer by itself, on a kept connection also while
 * a request is in progress: where the answer to that one is due its 408 would guarantee that it didn't run.
 */
import * as http from 'node:http';
import type * as stream from 'node:stream';
import type * as observer from '../observability/observer';

/** Statuses by the error code of Node's parser; 400 for others. */
const STATUSES: Readonly<Record<string, number>> = {
  ERR_HTTP_REQUEST_TIMEOUT: 408,
  HPE_CHUNK_EXTENSIONS_OVERFLOW: 413,
  HPE_HEADER_OVERFLOW: 431,
  TUNNEL: 405,
};

const BAD_REQUEST = 400;

/** Code, among those of Node's parser, of a request for a tunnel. */
const TUNNEL = 'TUNNEL';

export class MalformedInput {
  /** Responses without an end, by connection. */
  private readonly open = new WeakMap<stream.Duplex, Set<http.ServerResponse>>();

  constructor(
    server: http.Server,
    private readonly observe: Pick<observer.Observer, 'count'> | undefined,
  ) {
    server.on('clientError', (error: NodeJS.ErrnoException, socket) => {
      this.answer(error.code ?? '', socket);
    });
    // Node closes a connection that is to become a tunnel without an answer, unless something handles it.
    server.on('connect', (_request, socket) => {
      // Node no longer handles the errors of this connection.
      socket.on('error', () => socket.destroy());
      this.answer(TUNNEL, socket);
    });
  }

  /** A request begins; once it has arrived whole, its own answer comes before any other on its connection. */
  began({ socket }: http.IncomingMessage, response: http.ServerResponse): void {
    const responses = this.open.get(socket) ?? new Set();
    this.open.set(socket, responses.add(response));
    response.once('close', () => responses.delete(response));
  }

  private answer(code: string, socket: stream.Duplex): void {
    const open = this.open.get(socket) ?? new Set();
    const inProgress = [...open].filter(({ req }) => req.complete);
    if (!socket.writable || socket.destroyed) {
      socket.destroy();
      return;
    }
    this.observe?.count(`callers.malformed.${code}`);
    if (inProgress.length === 0) {
      const status = STATUSES[code] ?? BAD_REQUEST;
      const line = `HTTP/1.1 ${status} ${http.STATUS_CODES[status]}`;
      socket.end(`${line}\r\nConnection: close\r\nContent-Length: 0\r\n\r\n`, () =>
        socket.destroy(),
      );
      return;
    }
    const unanswered = new Set(inProgress);
    inProgress.forEach((response) => {
      if (!response.headersSent) response.setHeader('Connection', 'close');
      response.once('close', () => {
        unanswered.delete(response);
        if (unanswered.size === 0) socket.end();
      });
    });
  }
}
