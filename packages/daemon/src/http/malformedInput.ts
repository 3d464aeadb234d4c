/**
 * Answers bytes of a caller's connection that are no request. Node would answer by itself, on a kept connection also while
 * a request is in progress: where the answer to that one is due its 408 would guarantee that it didn't run.
 */
import * as http from 'node:http';
import type * as stream from 'node:stream';
import type * as observer from '../observability/observer';
import * as openResponses from './openResponses';

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

/** A request that has arrived whole gets its own answer before any other on its connection. */
export function handle(
  server: http.Server,
  responses: openResponses.OpenResponses,
  observe: Pick<observer.Observer, 'count'> | undefined,
): void {
  const answerCode = (code: string, socket: stream.Duplex): void => {
    if (!socket.writable || socket.destroyed) {
      socket.destroy();
      return;
    }
    observe?.count(`callers.malformed.${code}`);
    answer(code, socket, responses);
  };
  server.on('clientError', (error: NodeJS.ErrnoException, socket) => {
    answerCode(error.code ?? '', socket);
  });
  // Node closes a connection that is to become a tunnel without an answer, unless something handles it.
  server.on('connect', (_request, socket) => {
    // Node no longer handles the errors of this connection.
    socket.on('error', () => socket.destroy());
    answerCode(TUNNEL, socket);
  });
}

function answer(code: string, socket: stream.Duplex, responses: openResponses.OpenResponses): void {
  // Node's parser goes on, also with what follows a head that took too long.
  responses.endInput(socket);
  const inProgress = responses.of(socket).filter(({ req }) => req.complete);
  if (inProgress.length === 0) {
    const status = STATUSES[code] ?? BAD_REQUEST;
    const line = `HTTP/1.1 ${status} ${http.STATUS_CODES[status]}`;
    socket.end(`${line}\r\nConnection: close\r\nContent-Length: 0\r\n\r\n`, () => socket.destroy());
    return;
  }
  openResponses.closeAfterLast(inProgress);
  const unanswered = new Set(inProgress);
  inProgress.forEach((response) => {
    response.once('close', () => {
      unanswered.delete(response);
      if (unanswered.size === 0) socket.end();
    });
  });
}
