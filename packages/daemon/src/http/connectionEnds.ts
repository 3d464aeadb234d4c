/**
 * Records how connections to targets end. undici treats a response with `Connection: close`, or without a length, as complete
 * when its connection ends, even if the connection was reset or a chunked body lacks its last chunk: a caller would get a
 * truncated response that looks complete.
 */
import * as fs from 'node:fs';
import * as net from 'node:net';
import * as tls from 'node:tls';
import * as unsentRequests from './unsentRequests';

/** Event of a connection whose listeners are running right now. */
type ConnectionEvent = 'none' | 'closedByTarget' | 'reset';

/**
 * Whether a connection that appears to have been closed cleanly was reset. When data and a reset arrive together, libuv
 * reads the data and reports an end without reading again. The reset stays pending in the socket, and one more read
 * returns it; after a clean close that read returns no bytes.
 */
function wasReset(socket: net.Socket): boolean {
  // There is no public API for the descriptor. A socket without one is closed already and can't prove a clean close.
  const { _handle: handle } = socket as unknown as { _handle?: { fd?: number } | null };
  if (handle?.fd === undefined || handle.fd < 0) return true;
  try {
    return fs.readSync(handle.fd, Buffer.alloc(1)) > 0;
  } catch {
    return true;
  }
}

export class ConnectionEnds {
  private event: ConnectionEvent = 'none';

  /** Whether a response that ends now is cut: its connection was reset, or closed within a chunked body. */
  isCut(isChunked: boolean): boolean {
    return this.event === 'reset' || (this.event === 'closedByTarget' && isChunked);
  }

  /** The event that the present listeners are told of. */
  get current(): ConnectionEvent {
    return this.event;
  }

  /** To be called before the HTTP client listens to the socket. */
  watch(socket: net.Socket): void {
    socket.on('error', () => this.record('reset'));
    // The end of an encrypted connection can't be looked into.
    if (socket instanceof tls.TLSSocket) socket.on('end', () => this.record('closedByTarget'));
    else {
      unsentRequests.verifyEnd(socket);
      socket.on('end', () => this.record(wasReset(socket) ? 'reset' : 'closedByTarget'));
    }
  }

  /** Listeners run in the order in which they were added, all before the next microtask. */
  private record(event: ConnectionEvent): void {
    this.event = event;
    queueMicrotask(() => {
      this.event = 'none';
    });
  }
}
