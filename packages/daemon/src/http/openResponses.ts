/**
 * Responses that callers wait for, by connection. A caller may send requests behind another one; Node closes the connection
 * after the first response that says so, whatever is queued behind it.
 */
import type * as http from 'node:http';
import type * as stream from 'node:stream';

export class OpenResponses {
  private readonly byConnection = new WeakMap<stream.Duplex, Set<http.ServerResponse>>();

  private readonly closing = new WeakSet<stream.Duplex>();

  /** A request arrived. */
  began({ socket }: http.IncomingMessage, response: http.ServerResponse): void {
    const responses = this.byConnection.get(socket) ?? new Set();
    this.byConnection.set(socket, responses.add(response));
    response.once('close', () => {
      // Its connection is still read for a moment.
      if (announcesEnd(response)) this.endInput(socket);
      responses.delete(response);
    });
  }

  /** Responses without an end, in the order of their requests. */
  of(connection: stream.Duplex): http.ServerResponse[] {
    return [...(this.byConnection.get(connection) ?? [])];
  }

  /** From now on requests that arrive on a connection get no answer. */
  endInput(connection: stream.Duplex): void {
    this.closing.add(connection);
  }

  /** Whether a request that arrives now would get no answer, as its connection closes after an earlier response. */
  isClosing(connection: stream.Duplex): boolean {
    if (this.closing.has(connection)) return true;
    return this.of(connection).some(announcesEnd);
  }
}

/** Whether the head of a response says that the connection closes after it. */
function announcesEnd(response: http.ServerResponse): boolean {
  return response.headersSent && response.getHeader('connection') === 'close';
}

/** Announces with the last of a connection's responses, and no earlier one, that the connection closes after it. */
export function closeAfterLast(responses: readonly http.ServerResponse[]): void {
  const unsent = responses.filter(({ headersSent }) => !headersSent);
  unsent.forEach((response) => response.removeHeader('Connection'));
  unsent.at(-1)?.setHeader('Connection', 'close');
}
