/** Opens the connections to targets, and records how each attempt to open one and each connection ends. */
import * as net from 'node:net';
import * as clock from '../clock';
import * as connectionEnds from '../http/connectionEnds';

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

export class ConnectionTracker {
  readonly ends = new connectionEnds.ConnectionEnds();

  constructor(
    private readonly localAddress: string | undefined,
    private readonly openSocket: SocketOpener,
    private readonly listener: ConnectionListener | undefined,
  ) {}

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
        this.ends.watch(socket);
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
}
