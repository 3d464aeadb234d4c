/**
 * Second copies of a target's answers, which arrive late: on the same connection, where the answer to the next message is
 * due. They bear the id of the message that they answered first, and state whatever that answer stated.
 */
import type * as net from 'node:net';

/** Share of the answers that are sent a second time. */
const REPEATED_SHARE = 0.3;

/** An answer as the target sent it first. */
export interface Answer {
  status: number;
  /** Names and values, alternating. */
  headers: readonly string[];
  body: string;
}

export class LateCopies {
  private readonly bySocket = new WeakMap<net.Socket, string>();

  /** Keeps a part of the answers for a second time. */
  answered(socket: net.Socket, answer: Answer): void {
    if (Math.random() < REPEATED_SHARE) this.bySocket.set(socket, bytesOf(answer));
  }

  /** Sends the copy that is left on a connection, as another message has arrived there. */
  messageArrived(socket: net.Socket): void {
    const copy = this.bySocket.get(socket);
    this.bySocket.delete(socket);
    if (copy !== undefined) socket.write(copy);
  }
}

function bytesOf({ status, headers, body }: Answer): string {
  const lines = headers.flatMap((name, i) => (i % 2 === 0 ? [`${name}: ${headers[i + 1]}`] : []));
  return [`HTTP/1.1 ${status} Copy`, ...lines, `content-length: ${body.length}`, '', body].join(
    '\r\n',
  );
}
