/**
 * Client for calls to other daemons, with one connection per address, opened on demand. A call that times
 * out closes its connection: a connection can stall permanently while new ones work, so a peer is never
 * considered unresponsive on the evidence of an old connection, and a stalled one is never reused.
 */
import * as net from 'node:net';
import * as tls from 'node:tls';
import * as jsonRpc from 'json-rpc-2.0';
import { Err, Ok, Result } from 'ts-results';
import * as clock from '../clock';
import type * as observer from '../observability/observer';
import * as errors from './errors';
import * as framing from './framing';
import * as handshake from './handshake';
import * as messageChecks from './messageChecks';

export interface CallOptions {
  timeoutMs?: number;
  /** Replaces the open connection by a new one for this call. */
  fresh?: boolean;
  /**
   * Leaves the connection open after a timeout, for calls that the callee may answer slowly for its own reasons, so
   * that one late answer doesn't fail concurrent calls. Another call must detect that the connection has stalled.
   */
  toleratesDelay?: boolean;
}

const DEFAULT_TIMEOUT_MS = 2_000;

/** A connection without traffic for this long is closed, milliseconds. */
const IDLE_TIMEOUT_MS = 60_000;

/**
 * A connection that isn't established by then is replaced when the next message is sent, milliseconds. A SYN to a
 * VM without power is lost, and TCP retransmits it only after a second: a keeper that started first couldn't answer
 * the others for 0.4 s after they were up, and no leader was elected meanwhile. Longer than a round trip between
 * distant regions.
 */
const CONNECT_TIMEOUT_MS = 400;

class Connection {
  readonly client: jsonRpc.JSONRPCClient;

  closed = false;

  private readonly socket: net.Socket;

  private readonly openedAt = clock.steady();

  private readonly handshake: handshake.CallerHandshake;

  private isAuthenticated = false;

  private readonly decoder: framing.FrameDecoder;

  /** Frames held back until the connection is authenticated. */
  private readonly unsentFrames: Buffer[] = [];

  constructor(
    address: string,
    secret: string,
    tlsOptions: tls.ConnectionOptions | undefined,
    private readonly observer: observer.Observer,
    localAddress: string | undefined,
  ) {
    this.handshake = new handshake.CallerHandshake(secret, 'rpc');
    const colon = address.lastIndexOf(':');
    const host = address.slice(0, colon);
    const port = Number(address.slice(colon + 1));
    const endpoint: net.TcpNetConnectOpts = { host, port, localAddress };
    this.socket =
      tlsOptions === undefined
        ? net.connect({ ...endpoint, noDelay: true })
        : tls.connect({ ...endpoint, ...tlsOptions });
    this.client = new jsonRpc.JSONRPCClient((request) => this.send(request));
    this.decoder = new framing.FrameDecoder(
      (value, bytes) => this.handleFrame(value, bytes),
      handshake.MAX_HANDSHAKE_FRAME_BYTES,
    );
    this.socket.on('data', (chunk: Buffer) => {
      try {
        this.decoder.push(chunk);
      } catch {
        this.close('malformed frame');
      }
    });
    this.socket.on('error', (error) => this.close(error.message));
    this.socket.on('close', () => this.close('connection closed'));
    this.socket.setTimeout(IDLE_TIMEOUT_MS, () => this.close('idle'));
  }

  /** Whether calls were sent; before authentication they are held back. */
  get hasSentCalls(): boolean {
    return this.isAuthenticated;
  }

  /** Whether the socket is still connecting after `timeoutMs`. */
  isConnectOverdue(timeoutMs: number): boolean {
    return this.socket.connecting && clock.steady() - this.openedAt > timeoutMs;
  }

  close(reason: string): void {
    if (this.closed) return;
    this.closed = true;
    this.socket.destroy();
    this.client.rejectAllPendingRequests(reason);
  }

  private send(request: jsonRpc.JSONRPCRequest): void {
    const frame = framing.encode(request);
    this.observer.count(`rpc.out.${request.method}.bytes`, frame.length);
    if (this.isAuthenticated) this.socket.write(frame);
    else this.unsentFrames.push(frame);
  }

  private handleFrame(value: unknown, bytes: number): void {
    if (this.isAuthenticated) {
      this.observer.count('rpc.in.answers.bytes', bytes);
      this.client.receive(value as jsonRpc.JSONRPCResponse);
      return;
    }
    const step = this.handshake.handle(value);
    if (step === 'rejected') {
      this.close('peer failed authentication');
      return;
    }
    if (step !== 'authenticated') {
      this.socket.write(step);
      return;
    }
    this.isAuthenticated = true;
    this.decoder.maxFrameBytes = framing.MAX_FRAME_BYTES;
    this.unsentFrames.splice(0).forEach((frame) => this.socket.write(frame));
  }
}

export class PeerClient {
  private readonly connections = new Map<string, Connection>();

  /** Addresses to which no connection is made; tests simulate network partitions with it. */
  readonly blockedAddresses = new Set<string>();

  private readonly checks: messageChecks.MessageChecks;

  constructor(
    private readonly secret: string,
    private readonly tlsOptions: tls.ConnectionOptions | undefined,
    private readonly observer: observer.Observer,
    /** Local IP address of the connections; undefined to let the operating system choose. */
    private readonly localAddress?: string,
    /** Connect timeout in milliseconds; a shorter one suits a fleet whose VMs are near each other. */
    private readonly connectTimeoutMs = CONNECT_TIMEOUT_MS,
    shapes: messageChecks.Shapes = messageChecks.UNCHECKED,
  ) {
    this.checks = new messageChecks.MessageChecks(shapes.answers, 'answer', observer);
  }

  async call<T>(
    address: string,
    method: string,
    parameters: unknown,
    { timeoutMs = DEFAULT_TIMEOUT_MS, fresh = false, toleratesDelay = false }: CallOptions = {},
  ): Promise<Result<T, errors.CallError>> {
    if (fresh) this.drop(address, 'replaced');
    const connection = this.connection(address);
    if (typeof connection === 'string') {
      const detail = connection;
      return Err({ kind: 'unreachable', address, method, mayHaveArrived: false, detail });
    }
    let stopTimeout = (): void => undefined;
    const timeout = new Promise<Result<T, errors.CallError>>((resolve) => {
      stopTimeout = clock.startTimeout(timeoutMs, () => {
        if (!toleratesDelay) connection.close('timeout');
        // A connection that stays open may still send the call once it is authenticated.
        const mayHaveArrived = toleratesDelay || connection.hasSentCalls;
        const detail = `${timeoutMs} ms`;
        resolve(Err({ kind: 'timeout', address, method, mayHaveArrived, detail }));
      });
    });
    const answer = this.request<T>(connection, address, method, parameters);
    const result = await Promise.race([answer, timeout]);
    stopTimeout();
    return result;
  }

  /** Closes the connection to the address, and fails its pending calls, if it isn't established in time. */
  dropOverdueConnection(address: string): void {
    if (this.connections.get(address)?.isConnectOverdue(this.connectTimeoutMs))
      this.drop(address, 'no connection');
  }

  /** Sends a notification without an answer; the protocol above must resend what is lost. */
  notify(address: string, method: string, parameters: unknown): void {
    const connection = this.connection(address);
    if (typeof connection === 'string') return;
    connection.client.notify(method, parameters as jsonRpc.JSONRPCParams);
  }

  close(): void {
    this.connections.forEach((connection) => connection.close('closing'));
    this.connections.clear();
  }

  private async request<T>(
    connection: Connection,
    address: string,
    method: string,
    parameters: unknown,
  ): Promise<Result<T, errors.CallError>> {
    try {
      const answer: unknown = await connection.client.request(
        method,
        parameters as jsonRpc.JSONRPCParams,
      );
      if (this.checks.isUsable(method, address, answer)) return Ok(answer as T);
      const detail = 'malformed answer';
      return Err({ kind: 'failed', address, method, mayHaveArrived: true, detail });
    } catch (error) {
      const detail = error instanceof Error ? error.message : String(error);
      const kind = error instanceof jsonRpc.JSONRPCErrorException ? 'rejected' : 'unreachable';
      const { hasSentCalls: mayHaveArrived } = connection;
      return Err({ kind, address, method, mayHaveArrived, detail });
    }
  }

  /** The connection to an address, or why there can't be one. */
  private connection(address: string): Connection | string {
    if (this.blockedAddresses.has(address)) {
      this.drop(address, 'address is blocked');
      return 'address is blocked';
    }
    const existing = this.connections.get(address);
    if (existing?.isConnectOverdue(this.connectTimeoutMs) === true) existing.close('no connection');
    if (existing !== undefined && !existing.closed) return existing;
    try {
      const created = new Connection(
        address,
        this.secret,
        this.tlsOptions,
        this.observer,
        this.localAddress,
      );
      this.connections.set(address, created);
      return created;
    } catch (error) {
      return `address is unusable: ${String(error)}`;
    }
  }

  private drop(address: string, reason: string): void {
    this.connections.get(address)?.close(reason);
    this.connections.delete(address);
  }
}
