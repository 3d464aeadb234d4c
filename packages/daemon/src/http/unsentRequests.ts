/**
 * Tells whether the end of a connection was clean while bytes of the request may still be under way. A target that closes
 * its connection before it has read the whole request answers the rest with a reset, which arrives after the end: a
 * response that ends with its connection would look complete although it was cut.
 */
import * as fs from 'node:fs';
import type * as net from 'node:net';
import * as clock from '../clock';

/** From this size on, a request may still be under way when its response ends, bytes: TCP sends less at once. */
const MIN_LONG_REQUEST_BYTES = 14_000;

/** How long after the end of a connection a reset may arrive, milliseconds: several round trips. */
const RESET_WAIT_MS = 100;

/** Connections whose last request was long. */
const longRequests = new WeakSet<net.Socket>();

/** Records the size of the request that is sent over a connection. */
export function recordRequest(socket: net.Socket, bodyBytes: number): void {
  if (bodyBytes >= MIN_LONG_REQUEST_BYTES) longRequests.add(socket);
  else longRequests.delete(socket);
}

/** Delays the end of a connection with a long request until it is known to be clean; otherwise it becomes an error. */
export function verifyEnd(socket: net.Socket): void {
  const push = socket.push.bind(socket);
  const end = (): void => {
    if (socket.destroyed) return;
    if (isCut(socket)) socket.destroy(new Error('connection ended before the request was sent'));
    else push(null);
  };
  // The only way to see the end before the HTTP client does.
  Object.assign(socket, {
    push: (chunk: Buffer | null, encoding?: BufferEncoding): boolean => {
      if (chunk !== null || !longRequests.has(socket)) return push(chunk, encoding);
      clock.startTimeout(RESET_WAIT_MS, end);
      return false;
    },
  });
}

/** Whether the target reset the connection after its end, or didn't take the whole request. */
function isCut(socket: net.Socket): boolean {
  const { _handle: handle } = socket as unknown as { _handle?: { fd?: number } | null };
  if (socket.writableLength > 0 || handle?.fd === undefined) return true;
  try {
    // Writes nothing, but fails after a reset; a read would only report the end.
    fs.writeSync(handle.fd, Buffer.alloc(0));
    return false;
  } catch {
    return true;
  }
}
