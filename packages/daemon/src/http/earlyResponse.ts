/**
 * Responses to requests whose body is still arriving. The operating system resets a connection that is closed with unread
 * bytes, and a caller that first sends its whole body then never sees the response. So the rest of the body is read and
 * discarded, for a bounded time, before the connection is closed.
 */
import type * as http from 'node:http';

/** Longest time for which the rest of a body is read, milliseconds, and most of it that is, bytes. */
const MAX_DISCARD_MS = 2_000;
const MAX_DISCARDED_BYTES = 16 * 1024 * 1024;

/**
 * Sends a whole response at once, and closes the connection when the body has arrived, or `maxDiscardedBytes` more of it
 * have.
 */
export function send(
  request: http.IncomingMessage,
  response: http.ServerResponse,
  { status, headers, content }: Content,
  maxDiscardedBytes = MAX_DISCARDED_BYTES,
): void {
  const length = Buffer.byteLength(content);
  response.setHeader('Connection', 'close');
  response.writeHead(status, { ...headers, 'Content-Length': length });
  if (content === '') response.flushHeaders();
  else response.write(content);
  let timer: NodeJS.Timeout | undefined;
  const finish = (): void => {
    clearTimeout(timer);
    response.end();
  };
  timer = setTimeout(finish, MAX_DISCARD_MS);
  let discardedBytes = 0;
  request.on('data', ({ length: bytes }: Buffer) => {
    discardedBytes += bytes;
    if (discardedBytes > maxDiscardedBytes) finish();
  });
  request.once('end', finish);
  request.once('close', finish);
  request.resume();
}

export interface Content {
  status: number;
  headers: http.OutgoingHttpHeaders;
  content: string;
}
