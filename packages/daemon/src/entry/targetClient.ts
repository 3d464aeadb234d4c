/**
 * One sending of a request to one target, through undici. Connections are kept for each lifetime of a
 * target, so none of a dead lifetime meets its successor. What an attempt proves is exact: a request
 * whose first byte was never written did not run.
 */
import * as fs from 'node:fs';
import * as net from 'node:net';
import * as undici from 'undici';
import type * as protocols from '../edges/protocols';

/** The head of a target's answer. */
export interface ResponseHead {
  status: number;
  /** Names and values in turn, as received. */
  raw: string[];
  facts: protocols.AnswerFacts;
}

export interface ResponseHandler {
  /** Called at the first sign of an answer. */
  onHead: (head: ResponseHead) => void;
  onData: (chunk: Buffer) => void;
}

/** How a sending ended. */
export type SendResult =
  | { kind: 'complete' }
  /** No byte was written: the target certainly didn't run it. */
  | { kind: 'notSent'; detail: string }
  /** Nothing was sent, as the target wants no such message now. */
  | { kind: 'withheld' }
  /** Bytes were written and no whole answer came. */
  | { kind: 'broken'; detail: string }
  | { kind: 'cancelled' };

/** What a message is for: a caller's request, an order that begins something, one about what runs already, or a check. */
export type MessagePurpose = 'request' | 'order' | 'upkeep' | 'check';

export interface TargetMessage {
  target: string;
  address: string;
  purpose: MessagePurpose;
  /** The request's id, which its answer repeats; undefined for messages of our own. */
  requestId?: string;
  method: string;
  path: string;
  headers: string[];
  body: Buffer;
}

/** A message under way to a target. */
export interface DeliveryCallbacks {
  /** An answer to it began. */
  answered: (head: ResponseHead) => void;
  /** It is over, with or without an answer. */
  ended: () => void;
}

/** Decides on each message to a target, and hears of each answer. */
export interface AdmissionGate {
  /** Undefined where the target wants no such message now. */
  admit(message: TargetMessage): DeliveryCallbacks | undefined;
}

export interface Dependencies {
  protocol: Pick<protocols.TrafficProtocol, 'answerFacts'>;
  gate: AdmissionGate;
  /** IP address that connections come from; undefined where the operating system chooses. */
  source?: string;
}

/** How a call of our own ended. */
export type CallResult =
  | { kind: 'answered'; status: number; facts: protocols.AnswerFacts }
  | { kind: 'silent' }
  | { kind: 'withheld' };

/**
 * Longest time for a new connection, milliseconds. One way takes a few; a lost opening packet is sent again
 * after a second, and by then another target has the request. Nothing was sent, so any request may go elsewhere.
 */
const CONNECT_TIMEOUT_MS = 250;

/** An idle connection is given up this long before the target closes it, milliseconds. */
const IDLE_TIMEOUT_MARGIN_MS = 500;

/** How long an idle connection is kept where the target says nothing, milliseconds. */
const IDLE_TIMEOUT_MS = 4_000;

/** What happens to a connection at this very moment, while its listeners run. */
type ConnectionEvent = 'none' | 'closedByTarget' | 'reset';

/**
 * Whether a connection that seems to have ended in order was reset. Where data and a reset arrive together,
 * the event loop's library reads the data and reports an end without asking again; the reset then waits in
 * the socket, and one more read brings it out. After an end in order that read gives no bytes.
 */
function wasReset(socket: net.Socket): boolean {
  // The descriptor has no public name; without one the socket is closed already, which proves nothing.
  const { _handle: handle } = socket as unknown as { _handle?: { fd?: number } | null };
  if (handle?.fd === undefined || handle.fd < 0) return true;
  try {
    return fs.readSync(handle.fd, Buffer.alloc(1)) > 0;
  } catch {
    return true;
  }
}

/**
 * Notes the end of a connection before the HTTP library hears of it. The library takes an answer for whole
 * when its connection ends and the head announced that it would: also where the connection was reset, and
 * where a chunked body lacks its last chunk. A caller would get a cut answer that looks complete.
 */
class ConnectionTracker {
  private event: ConnectionEvent = 'none';

  constructor(private readonly localAddress: string | undefined) {}

  get current(): ConnectionEvent {
    return this.event;
  }

  readonly connect = (
    options: { hostname: string; port: string },
    callback: (error: Error | null, socket: net.Socket | null) => void,
  ): void => {
    const { hostname, port } = options;
    const socket = net.connect({
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

/** A sending under way; `cancel` closes its connection, which also stops the target. */
export class Attempt implements undici.Dispatcher.DispatchHandler {
  readonly result: Promise<SendResult>;

  private settle!: (result: SendResult) => void;

  private controller: undici.Dispatcher.DispatchController | undefined;

  private cancelled = false;

  private isSettled = false;

  private isChunked = false;

  /** `delivery` is undefined where nothing is sent. */
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

  /** Whether the target wants no such message now, and gets none. */
  get isWithheld(): boolean {
    return this.callbacks === undefined;
  }

  cancel(): void {
    if (this.isSettled) return;
    this.cancelled = true;
    this.controller?.abort(new Error('cancelled'));
    this.finish({ kind: 'cancelled' });
  }

  /** Whether bytes of the request may have left. */
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
    const head = { status, raw, facts: this.protocol.answerFacts(status, headers) };
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
    this.connections = new ConnectionTracker(dependencies.source);
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

  /** A call of our own. */
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

  /** The lifetime ended: its idle connections are closed, running answers go on. */
  forget(target: string): void {
    const pool = this.pools.get(target);
    this.pools.delete(target);
    // Closing fails only for a pool that is closed already.
    void pool?.close().catch(() => undefined);
  }

  close(): void {
    this.pools.forEach((pool) => {
      void pool.destroy();
    });
    this.pools.clear();
  }

  private pool(target: string, address: string): undici.Pool {
    const known = this.pools.get(target);
    if (known !== undefined) return known;
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
