/**
 * HTTP client for targets, built on undici. Each lifetime of a target has its own connection pool, so a restarted
 * target never gets a connection of its predecessor. A request whose first byte was never written is known not to
 * have run.
 */
import * as fs from 'node:fs';
import * as net from 'node:net';
import * as undici from 'undici';
import type * as protocols from '../edges/protocols';

/** Status and headers of a target's response. */
export interface ResponseHead {
  status: number;
  /** Header names and values, alternating, as received. */
  raw: string[];
  facts: protocols.ResponseMetadata;
}

export interface ResponseHandler {
  /** Called when the head of the response arrives. */
  onHead: (head: ResponseHead) => void;
  onData: (chunk: Buffer) => void;
}

/** How an attempt ended. */
export type SendResult =
  | { kind: 'complete' }
  /** No byte was written: the target can't have run it. */
  | { kind: 'notSent'; detail: string }
  /** Nothing was sent, because the target is unavailable to such messages. */
  | { kind: 'withheld' }
  /** Bytes were written, but no complete response arrived. */
  | { kind: 'broken'; detail: string }
  | { kind: 'cancelled' };

/**
 * Purpose of a message: a caller's request, an order that starts something, the upkeep of something that runs, or a
 * liveness probe (`check`).
 */
export type MessagePurpose = 'request' | 'order' | 'upkeep' | 'check';

/** An HTTP request to a target. */
export interface TargetMessage {
  target: string;
  address: string;
  purpose: MessagePurpose;
  /** Ids of the prefill helpers that get a part of the request from the target; absent where there are none. */
  helpers?: readonly string[];
  /** Id of the caller's request, which its response repeats; undefined for messages that this daemon originates. */
  requestId?: string;
  method: string;
  path: string;
  headers: string[];
  body: Buffer;
}

/** Notified about a message that was sent to a target. */
export interface DeliveryCallbacks {
  /** The head of its response arrived. */
  answered: (head: ResponseHead) => void;
  /** It ended, with or without a response. */
  ended: () => void;
}

/** Admits or withholds each message to a target, and is notified of each response. */
export interface AdmissionGate {
  /** Undefined if the message is withheld. */
  admit(message: TargetMessage): DeliveryCallbacks | undefined;
}

/** Opens a TCP connection. */
export type SocketOpener = (endpoint: net.TcpNetConnectOpts) => net.Socket;

export interface Dependencies {
  protocol: Pick<protocols.TrafficProtocol, 'responseMetadata'>;
  gate: AdmissionGate;
  /** Opens connections to targets; `net.connect` by default. */
  openSocket?: SocketOpener;
  /** IP address that connections come from; undefined where the operating system chooses. */
  source?: string;
}

/** Result of a call that this daemon originates; `silent` if no complete response arrived in time. */
export type CallResult =
  | { kind: 'answered'; status: number; facts: protocols.ResponseMetadata }
  | { kind: 'silent' }
  | { kind: 'withheld' };

/**
 * Connect timeout, milliseconds. A one-way trip takes a few; a lost SYN is sent again after a second, too late to wait
 * for. Nothing was sent by then, so even an unsafe request may go to another target.
 */
const CONNECT_TIMEOUT_MS = 250;

/** An idle connection is closed this long before the target would close it, milliseconds. */
const IDLE_TIMEOUT_MARGIN_MS = 500;

/** How long an idle connection is kept if the target doesn't announce a timeout, milliseconds. */
const IDLE_TIMEOUT_MS = 4_000;

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

/**
 * Records how a connection ended before undici handles the event. undici treats a response with `Connection: close` as
 * complete when its connection ends, even if the connection was reset or a chunked body lacks its last chunk. A caller
 * would get a truncated response that looks complete.
 */
class ConnectionTracker {
  private event: ConnectionEvent = 'none';

  constructor(
    private readonly localAddress: string | undefined,
    private readonly openSocket: SocketOpener,
  ) {}

  get current(): ConnectionEvent {
    return this.event;
  }

  readonly connect = (
    options: { hostname: string; port: string },
    callback: (error: Error | null, socket: net.Socket | null) => void,
  ): void => {
    const { hostname, port } = options;
    const socket = this.openSocket({
      host: hostname,
      port: Number(port),
      localAddress: this.localAddress,
      noDelay: true,
    });
    const fail = (error: Error): void => {
      clearTimeout(timer);
      socket.destroy();
      callback(error, null);
    };
    const timer = setTimeout(() => fail(new Error('connect timeout')), CONNECT_TIMEOUT_MS);
    socket.once('error', fail);
    socket.once('connect', () => {
      clearTimeout(timer);
      socket.off('error', fail);
      socket.on('error', () => this.record('reset'));
      socket.on('end', () => this.record(wasReset(socket) ? 'reset' : 'closedByTarget'));
      callback(null, socket);
    });
  };

  /** Listeners run in the order in which they were added, all before the next microtask. */
  private record(event: ConnectionEvent): void {
    this.event = event;
    queueMicrotask(() => {
      this.event = 'none';
    });
  }
}

/** One attempt to send a message; `cancel` closes its connection, which also stops the target's work. */
export class Attempt implements undici.Dispatcher.DispatchHandler {
  readonly result: Promise<SendResult>;

  private settle!: (result: SendResult) => void;

  private controller: undici.Dispatcher.DispatchController | undefined;

  private cancelled = false;

  private isSettled = false;

  private isChunked = false;

  /** `callbacks` is undefined if the message is withheld. */
  constructor(
    private readonly handler: ResponseHandler,
    private readonly connections: ConnectionTracker,
    private readonly protocol: Dependencies['protocol'],
    private readonly callbacks: DeliveryCallbacks | undefined,
  ) {
    this.result = new Promise((resolve) => {
      this.settle = resolve;
    });
    if (callbacks === undefined) this.finish({ kind: 'withheld' });
  }

  /** Whether the message was withheld because the target is unavailable to it. */
  get isWithheld(): boolean {
    return this.callbacks === undefined;
  }

  cancel(): void {
    if (this.isSettled) return;
    this.cancelled = true;
    this.controller?.abort(new Error('cancelled'));
    this.finish({ kind: 'cancelled' });
  }

  /** Whether bytes of the request may have been written. */
  get wasSent(): boolean {
    return this.controller !== undefined;
  }

  pause(): void {
    this.controller?.pause();
  }

  resume(): void {
    this.controller?.resume();
  }

  onRequestStart(controller: undici.Dispatcher.DispatchController): void {
    if (this.cancelled) {
      controller.abort(new Error('cancelled'));
      return;
    }
    this.controller = controller;
  }

  onResponseStart(
    controller: undici.Dispatcher.DispatchController,
    status: number,
    headers: Record<string, string | string[] | undefined>,
  ): void {
    if (this.isSettled || status < 200) return;
    this.isChunked = headers['transfer-encoding'] !== undefined;
    const raw = ((controller.rawHeaders ?? []) as (Buffer | string)[]).map((part) =>
      part.toString('latin1'),
    );
    const head = { status, raw, facts: this.protocol.responseMetadata(status, headers) };
    this.callbacks?.answered(head);
    this.handler.onHead(head);
  }

  onResponseData(_controller: undici.Dispatcher.DispatchController, chunk: Buffer): void {
    if (!this.isSettled) this.handler.onData(chunk);
  }

  onResponseEnd(): void {
    const { current } = this.connections;
    const isCut = current === 'reset' || (current === 'closedByTarget' && this.isChunked);
    this.finish(isCut ? { kind: 'broken', detail: `${current} midway` } : { kind: 'complete' });
  }

  onResponseError(_controller: undici.Dispatcher.DispatchController, error: Error): void {
    const { code = '' } = error as { code?: string };
    const detail = `${code} ${error.message}`.trim();
    this.finish(this.wasSent ? { kind: 'broken', detail } : { kind: 'notSent', detail });
  }

  private finish(result: SendResult): void {
    if (this.isSettled) return;
    this.isSettled = true;
    this.callbacks?.ended();
    this.settle(result);
  }
}

export class TargetClient {
  private readonly pools = new Map<string, undici.Pool>();

  private readonly connections: ConnectionTracker;

  constructor(private readonly dependencies: Dependencies) {
    this.connections = new ConnectionTracker(
      dependencies.source,
      dependencies.openSocket ?? net.connect,
    );
  }

  send(message: TargetMessage, handler: ResponseHandler): Attempt {
    const { protocol, gate } = this.dependencies;
    const { target, address, method, path, headers, body } = message;
    const attempt = new Attempt(handler, this.connections, protocol, gate.admit(message));
    if (attempt.isWithheld) return attempt;
    this.pool(target, address).dispatch(
      {
        method,
        path,
        headers,
        body: body.length === 0 ? null : body,
        headersTimeout: 0,
        bodyTimeout: 0,
      },
      attempt,
    );
    return attempt;
  }

  /** Sends a message that this daemon originates, and discards the body of its response. */
  async call(
    { target, address, purpose }: Pick<TargetMessage, 'target' | 'address' | 'purpose'>,
    { method, path, headers, body }: protocols.TargetCall,
    timeoutMs: number,
  ): Promise<CallResult> {
    let head: ResponseHead | undefined;
    const handler: ResponseHandler = {
      onHead: (received) => {
        head = received;
      },
      onData: () => undefined,
    };
    const recipient = { target, address, purpose };
    const message = { ...recipient, method, path, headers, body: Buffer.from(body) };
    const attempt = this.send(message, handler);
    const timer = setTimeout(() => attempt.cancel(), timeoutMs);
    const result = await attempt.result;
    clearTimeout(timer);
    if (result.kind === 'withheld') return result;
    if (result.kind !== 'complete' || head === undefined) return { kind: 'silent' };
    return { kind: 'answered', status: head.status, facts: head.facts };
  }

  /** Closes the idle connections of a lifetime that ended; responses in progress continue. */
  forget(target: string): void {
    const pool = this.pools.get(target);
    this.pools.delete(target);
    // Fails only if the pool is closed already.
    void pool?.close().catch(() => undefined);
  }

  close(): void {
    this.pools.forEach((pool) => {
      void pool.destroy();
    });
    this.pools.clear();
  }

  private pool(target: string, address: string): undici.Pool {
    const existing = this.pools.get(target);
    if (existing !== undefined) return existing;
    const created = new undici.Pool(`http://${address}`, {
      connect: this.connections.connect as unknown as undici.buildConnector.connector,
      pipelining: 1,
      allowH2: false,
      connections: null,
      keepAliveTimeout: IDLE_TIMEOUT_MS,
      keepAliveTimeoutThreshold: IDLE_TIMEOUT_MARGIN_MS,
    });
    this.pools.set(target, created);
    return created;
  }
}
