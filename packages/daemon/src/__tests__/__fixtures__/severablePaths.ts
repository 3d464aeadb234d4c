/** The paths from one entry to all targets, which a test can sever in the ways in which networks fail. */
import * as net from 'node:net';

/**
 * How paths fail: packets are lost without a notice (`silent`), the same behind something that accepts connections
 * (`mute`), open connections are reset and new ones refused (`refused`), or new connections are refused while open ones
 * continue (`newRefused`).
 */
export type Failure = 'silent' | 'mute' | 'refused' | 'newRefused';

/** A port on which nothing listens. */
const CLOSED_PORT = 1;

export class SeverablePaths {
  private failure: Failure | undefined;

  private readonly open = new Set<net.Socket>();

  /** Whether open connections convey nothing. */
  get isSilent(): boolean {
    return this.failure === 'silent' || this.failure === 'mute';
  }

  sever(failure: Failure): void {
    this.failure = failure;
    if (failure !== 'refused') return;
    this.open.forEach((socket) => {
      socket.destroy(Object.assign(new Error('read ECONNRESET'), { code: 'ECONNRESET' }));
    });
  }

  restore(): void {
    this.failure = undefined;
  }

  readonly openSocket = (endpoint: net.TcpNetConnectOpts): net.Socket => {
    if (this.failure === 'silent') return new net.Socket();
    const isRefused = this.failure === 'refused' || this.failure === 'newRefused';
    const port = isRefused ? CLOSED_PORT : endpoint.port;
    const socket = net.connect({ ...endpoint, port });
    this.open.add(socket);
    socket.once('close', () => this.open.delete(socket));
    return socket;
  };
}
