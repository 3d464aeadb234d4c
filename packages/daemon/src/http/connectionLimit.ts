/**
 * Limits the connections of a server. A new one is accepted at the limit too, and another makes room for it: if the new
 * one were refused, clients that keep theirs for good would shut all others out. First go those that have sent no request
 * for a while or wait for the next one, the longest first, then those whose request doesn't become whole. One
 * whose request is being served never goes.
 */
import type * as http from 'node:http';
import type * as net from 'node:net';
import type * as stream from 'node:stream';
import type * as turnedAwayClients from './turnedAwayClients';

export interface Options {
  /** Maximum number of connections. */
  maximum: number;
  /** Maximum number of those that haven't sent the head of a request; half of `maximum` by default. */
  maximumNew?: number;
  /** Whether the server's own sockets are those of its requests; with TLS there is one within the other. */
  isPlain: boolean;
  turnedAway: Pick<turnedAwayClients.TurnedAwayClients, 'add'>;
  now: () => number;
}

/** Time in which the head of a request, and its body, arrive from a client that doesn't hold its connection up, milliseconds. */
const USUAL_ARRIVAL_MS = 1_000;

/** Maximum number of requests of one connection that have no answer. */
const MAX_PIPELINED = 100;

/** Share of the connections that may be new: the head of a request takes memory before any of it is known. */
const NEW_SHARE = 0.5;

/** What a client is told whose request isn't whole; nothing of it was passed on. */
const REFUSAL =
  'HTTP/1.1 503 Service Unavailable\r\nRetry-After: 0.50\r\nConnection: close\r\nContent-Length: 0\r\n\r\n';

/**
 * What a connection waits for: its first request (`new`), the rest of one (`receiving`), an answer (`serving`), or
 * its next request (`idle`).
 */
type Phase = 'new' | 'receiving' | 'serving' | 'idle';

interface Connection {
  socket: net.Socket;
  phase: Phase;
  /** When the phase began, milliseconds. */
  since: number;
  /** Responses that aren't complete, and those of them whose requests are whole. */
  open: Set<http.ServerResponse>;
  whole: Set<http.ServerResponse>;
}

export class ConnectionLimit {
  private readonly connections = new Map<unknown, Connection>();

  /** The connections of each phase, the longest in it first. */
  private readonly byPhase: Record<Phase, Set<Connection>> = {
    new: new Set(),
    receiving: new Set(),
    serving: new Set(),
    idle: new Set(),
  };

  private readonly maximumNew: number;

  constructor(
    server: net.Server,
    private readonly options: Options,
  ) {
    this.maximumNew = options.maximumNew ?? options.maximum * NEW_SHARE;
    server.on('connection', (socket: net.Socket) => this.accept(socket));
  }

  get size(): number {
    return this.connections.size;
  }

  /**
   * The head of a request has arrived; its response tells when it has ended. The result tells whether to serve it: with too
   * many requests behind each other its connection is closed.
   */
  began({ socket }: http.IncomingMessage, response: http.ServerResponse): boolean {
    const connection = this.connections.get(this.keyOf(socket));
    if (connection === undefined) return !socket.destroyed;
    if (!this.byPhase[connection.phase].has(connection)) return false;
    if (connection.open.size >= MAX_PIPELINED) {
      this.close(connection, 'pipelined');
      return false;
    }
    connection.open.add(response);
    this.update(connection);
    response.once('close', () => {
      connection.open.delete(response);
      connection.whole.delete(response);
      this.update(connection);
    });
    return true;
  }

  /**
   * A request has arrived whole. The result tells whether to serve it: its connection may have made room before, and been
   * told that it doesn't run.
   */
  received({ socket }: http.IncomingMessage, response: http.ServerResponse): boolean {
    const connection = this.connections.get(this.keyOf(socket));
    if (connection === undefined) return !socket.destroyed;
    if (!this.byPhase[connection.phase].has(connection)) return false;
    connection.whole.add(response);
    this.update(connection);
    return true;
  }

  private keyOf(socket: stream.Duplex): unknown {
    if (this.options.isPlain) return socket;
    const { remoteAddress, remotePort } = socket as net.Socket;
    return `${remoteAddress}:${remotePort}`;
  }

  private accept(socket: net.Socket): void {
    const connection: Connection = {
      socket,
      phase: 'new',
      since: this.options.now(),
      open: new Set(),
      whole: new Set(),
    };
    const key = this.keyOf(socket);
    this.connections.set(key, connection);
    this.byPhase.new.add(connection);
    socket.once('close', () => {
      this.connections.delete(key);
      this.byPhase[connection.phase].delete(connection);
    });
    if (this.connections.size > this.options.maximum) this.close(this.leastUseful(connection));
    else if (this.byPhase.new.size > this.maximumNew) {
      const [oldest] = this.byPhase.new;
      this.close(oldest);
    }
  }

  private update(connection: Connection): void {
    const phase = phaseOf(connection);
    if (phase === connection.phase || !this.byPhase[connection.phase].delete(connection)) return;
    Object.assign(connection, { phase, since: this.options.now() });
    this.byPhase[phase].add(connection);
  }

  private leastUseful(newest: Connection): Connection {
    const overdueSince = this.options.now() - USUAL_ARRIVAL_MS;
    const isOverdue = ({ since }: Connection): boolean => since < overdueSince;
    const [firstNew] = this.byPhase.new;
    const [firstIdle] = this.byPhase.idle;
    const [firstReceiving] = this.byPhase.receiving;
    const overdue = [firstNew, firstIdle, firstReceiving].find(
      (each) => each !== undefined && (each === firstIdle || isOverdue(each)),
    );
    return overdue ?? (firstNew === newest ? undefined : firstNew) ?? firstReceiving ?? newest;
  }

  private close(connection: Connection, reason: turnedAwayClients.Reason = 'connections'): void {
    const { socket, phase, open } = connection;
    this.options.turnedAway.add(reason);
    this.byPhase[phase].delete(connection);
    const isUnanswered = ![...open].some(({ headersSent }) => headersSent);
    // Requests behind each other may be whole although they are only about to be read.
    const isIncomplete = phase === 'receiving' && reason === 'connections';
    if (isIncomplete && isUnanswered && this.options.isPlain)
      socket.end(REFUSAL, () => socket.destroy());
    else socket.destroy();
  }
}

function phaseOf({ phase, open, whole }: Connection): Phase {
  if (open.size === 0) return phase === 'new' ? 'new' : 'idle';
  return whole.size > 0 ? 'serving' : 'receiving';
}
