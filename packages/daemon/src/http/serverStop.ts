/**
 * Stops a server without cutting responses. To Node a connection is idle as soon as its response has been ended, although
 * a caller that reads slowly has yet to receive the last part; `close` and `closeIdleConnections` would cut that.
 */
import type * as http from 'node:http';
import * as net from 'node:net';

export class ServerStop {
  /** Responses that aren't sent to the end. */
  private readonly open = new Set<http.ServerResponse>();

  /** Whether connections are to be closed that are idle when the responses in `open` have been sent. */
  private isDue = false;

  constructor(private readonly server: http.Server) {}

  /** A request arrived. */
  began(response: http.ServerResponse): void {
    this.open.add(response);
    response.once('close', () => {
      this.open.delete(response);
      if (this.isDue) this.closeIdle();
    });
  }

  /** Responses whose last part isn't sent, although their connections are open. */
  get unfinished(): http.ServerResponse[] {
    return [...this.open].filter(({ writableFinished, req }) => {
      return !writableFinished && !req.socket.destroyed;
    });
  }

  /** Accepts no new connections and closes the idle ones; `onClosed` is called when all are closed. */
  stop(onClosed?: () => void): void {
    net.Server.prototype.close.call(this.server, onClosed);
    this.closeIdle();
  }

  /** Closes idle connections, now or when all ended responses have been sent. */
  closeIdle(): void {
    this.isDue = [...this.open].some(({ writableEnded, req }) => {
      return writableEnded && !req.socket.destroyed;
    });
    if (!this.isDue) this.server.closeIdleConnections();
  }
}
