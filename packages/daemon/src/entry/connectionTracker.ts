/**
 * Opens the connections to targets and records how each attempt and each connection ends. undici treats a response with
 * `Connection: close` as complete when its connection ends, even if the connection was reset or a chunked body lacks
 * its last chunk: a caller would get a truncated response that looks complete.
 */
import * as fs from 'node:fs';
import * as net from 'node:net';
import * as clock from '../clock';
import * as unsentRequests from './unsentRequests';

/** Opens a TCP connection. */
export type SocketOpener = (endpoint: net.TcpNetConnectOpts) => net.Socket;

/** Notified about the attempts to open connections to targets. */
export interface ConnectionListener {
  connected: () => void;
  failed: (target: string) => void;
}

/** The form in which undici takes a connector. */
export type Connector = (
  options: { hostname: string; port: string },
  callback: (error: Error | null, socket: net.Socket | null) => void,
) => void;

/**
 * Connect timeout, milliseconds. A one-way trip takes a few; a lost SYN is sent again after a second, too late to wait
 * for. Nothing was sent by then, so even an unsafe request may go to another target.
 */
export const CONNECT_TIMEOUT_MS = 250;

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

export class ConnectionTracker {
  private event: ConnectionEvent = 'none';

  constructor(
    private readonly localAddress: string | undefined,
    private readonly openSocket: SocketOpener,
    private readonly listener: ConnectionListener | undefined,
  ) {}

  get current(): ConnectionEvent {
    return this.event;
  }

  /** Connector for the connections to one target. */
  connectorFor(target: string): Connector {
    return ({ hostname, port }, callback) => {
      const socket = this.openSocket({
        host: hostname,
        port: Number(port),
        localAddress: this.localAddress,
        noDelay: true,
      });
      let isSettled = false;
      const fail = (error: Error): void => {
        if (isSettled) return;
        isSettled = true;
        stopTimeout();
        socket.destroy();
        this.listener?.failed(target);
        callback(error, null);
      };
      const succeed = (): void => {
        if (isSettled) return;
        isSettled = true;
        stopTimeout();
        socket.off('error', fail);
        unsentRequests.verifyEnd(socket);
        socket.on('error', () => this.record('reset'));
        socket.on('end', () => this.record(wasReset(socket) ? 'reset' : 'closedByTarget'));
        this.listener?.connected();
        callback(null, socket);
      };
      const stopTimeout = clock.startTimeout(CONNECT_TIMEOUT_MS, () => {
        fail(new Error('connect timeout'));
      });
      socket.once('error', fail);
      socket.once('connect', succeed);
    };
  }

  /** Listeners run in the order in which they were added, all before the next microtask. */
  private record(event: ConnectionEvent): void {
    this.event = event;
    queueMicrotask(() => {
      this.event = 'none';
    });
  }
}
