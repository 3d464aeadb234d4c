/**
 * Calls to other daemons. One open connection per address, made on demand. A call that times out
 * closes its connection: a connection can go silent for good while new ones work, so silence is never
 * judged on the old connection, and none that was silent is used again.
 */
import * as net from 'node:net';
import * as tls from 'node:tls';
import * as jsonRpc from 'json-rpc-2.0';
import { Err, Ok, Result } from 'ts-results';
import * as clock from '../clock';
import type * as observer from '../observability/observer';
import * as errors from './errors';
import * as framing from './framing';
import * as proof from './proof';

export interface CallOptions {
  timeoutMs?: number;
  /** Makes a new connection for this call. */
  fresh?: boolean;
  /**
   * Leaves the connection open after a timeout: for calls whose callee may be slow for a reason of its own, so that
   * one late answer doesn't end the calls beside it. Another call must watch the connection for silence.
   */
  toleratesDelay?: boolean;
}

const DEFAULT_TIMEOUT_MS = 2_000;

/** A connection unused for so long is closed, in milliseconds. */
const IDLE_MS = 60_000;

/**
 * A connection that isn't there after so long is given up when the next message comes, milliseconds. The opening packet to
 * a VM without power is lost, and TCP repeats it only after a second; a keeper that was up first couldn't
 * answer the others for 0.4 s after they were up, and nobody was elected meanwhile. Over a round trip between far
 * regions.
 */
const CONNECT_MS = 400;

interface Hello {
  nonce?: string;
  answer?: string;
}

class Connection {
  readonly client: jsonRpc.JSONRPCClient;

  closed = false;

  private readonly socket: net.Socket;

  private readonly openedAt = clock.steady();

  private proven = false;

  private readonly waiting: Buffer[] = [];

  private readonly nonce = proof.challenge();

  constructor(
    address: string,
    private readonly secret: string,
    tlsOptions: tls.ConnectionOptions | undefined,
    private readonly observer: observer.Observer,
    localAddress: string | undefined,
  ) {
    const colon = address.lastIndexOf(':');
    const host = address.slice(0, colon);
    const port = Number(address.slice(colon + 1));
    const path: net.TcpNetConnectOpts = { host, port, localAddress };
    this.socket =
      tlsOptions === undefined
        ? net.connect({ ...path, noDelay: true })
        : tls.connect({ ...path, ...tlsOptions });
    this.client = new jsonRpc.JSONRPCClient((request) => this.send(request));
    const splitter = new framing.Splitter((value, bytes) => this.take(value, bytes));
    this.socket.on('data', (chunk: Buffer) => {
      try {
        splitter.push(chunk);
      } catch {
        this.close('bad frame');
      }
    });
    this.socket.on('error', (error) => this.close(error.message));
    this.socket.on('close', () => this.close('connection closed'));
    this.socket.setTimeout(IDLE_MS, () => this.close('idle'));
  }

  /** Whether the other side's VM hasn't answered at all for `connectMs`. */
  isStuck(connectMs: number): boolean {
    return this.socket.connecting && clock.steady() - this.openedAt > connectMs;
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
    if (this.proven) this.socket.write(frame);
    else this.waiting.push(frame);
  }

  private take(value: unknown, bytes: number): void {
    if (this.proven) {
      this.observer.count('rpc.in.answers.bytes', bytes);
      this.client.receive(value as jsonRpc.JSONRPCResponse);
      return;
    }
    const hello = value as Hello;
    if (hello.nonce !== undefined) {
      const answer = proof.answer(this.secret, 'caller', hello.nonce);
      this.socket.write(framing.encode({ nonce: this.nonce, answer } satisfies Hello));
      return;
    }
    const expected = proof.answer(this.secret, 'callee', this.nonce);
    if (!proof.isEqual(String(hello.answer), expected)) {
      this.close('peer failed to prove itself');
      return;
    }
    this.proven = true;
    this.waiting.splice(0).forEach((frame) => this.socket.write(frame));
  }
}

export class PeerClient {
  private readonly connections = new Map<string, Connection>();

  /** Addresses that may not be reached; tests cut paths with it. */
  readonly cut = new Set<string>();

  constructor(
    private readonly secret: string,
    private readonly tlsOptions: tls.ConnectionOptions | undefined,
    private readonly observer: observer.Observer,
    /** IP address that connections come from; undefined where the operating system chooses. */
    private readonly source?: string,
    /** How long a connection may take, milliseconds; for a fleet whose VMs are near each other. */
    private readonly connectMs = CONNECT_MS,
  ) {}

  async call<T>(
    address: string,
    method: string,
    parameters: unknown,
    { timeoutMs = DEFAULT_TIMEOUT_MS, fresh = false, toleratesDelay = false }: CallOptions = {},
  ): Promise<Result<T, errors.CallError>> {
    if (fresh) this.drop(address, 'replaced');
    const connection = this.connection(address);
    if (connection === undefined) {
      return Err({ kind: 'unreachable', address, method, detail: 'path cut' });
    }
    let timer: NodeJS.Timeout | undefined;
    const timeout = new Promise<Result<T, errors.CallError>>((resolve) => {
      timer = setTimeout(() => {
        if (!toleratesDelay) connection.close('timeout');
        resolve(Err({ kind: 'timeout', address, method, detail: `${timeoutMs} ms` }));
      }, timeoutMs);
    });
    const answer = this.request<T>(connection, address, method, parameters);
    const result = await Promise.race([answer, timeout]);
    clearTimeout(timer);
    return result;
  }

  /** Gives a connection up that isn't there in time, with all that waits for it. */
  dropStuck(address: string): void {
    if (this.connections.get(address)?.isStuck(this.connectMs)) this.drop(address, 'no connection');
  }

  /** Sends without waiting for an answer; what is lost is sent again by the protocol above. */
  notify(address: string, method: string, parameters: unknown): void {
    this.connection(address)?.client.notify(method, parameters as jsonRpc.JSONRPCParams);
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
      return Ok(answer as T);
    } catch (error) {
      const detail = error instanceof Error ? error.message : String(error);
      const kind = error instanceof jsonRpc.JSONRPCErrorException ? 'rejected' : 'unreachable';
      return Err({ kind, address, method, detail });
    }
  }

  private connection(address: string): Connection | undefined {
    if (this.cut.has(address)) {
      this.drop(address, 'path cut');
      return undefined;
    }
    const open = this.connections.get(address);
    if (open?.isStuck(this.connectMs) === true) open.close('no connection');
    if (open !== undefined && !open.closed) return open;
    const made = new Connection(address, this.secret, this.tlsOptions, this.observer, this.source);
    this.connections.set(address, made);
    return made;
  }

  private drop(address: string, reason: string): void {
    this.connections.get(address)?.close(reason);
    this.connections.delete(address);
  }
}
