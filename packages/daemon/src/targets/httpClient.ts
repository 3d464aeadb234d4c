/**
 * HTTP client for targets, based on undici. Repeatable calls share pooled connections; undici closes a
 * connection whose response was not read to the end. Calls that can't risk a pooled connection that died
 * unnoticed use a new one.
 */
import type * as tls from 'node:tls';
import * as undici from 'undici';
import type * as errors from './errors';

/** Timeout of control calls, which are retried later. */
const CONTROL_TIMEOUT_MS = 2_000;

/** Error codes that prove that nothing was sent. */
const NOT_SENT_CODES = ['ECONNREFUSED', 'EHOSTUNREACH', 'ENETUNREACH', 'UND_ERR_CONNECT_TIMEOUT'];

export interface Call {
  method: undici.Dispatcher.HttpMethod;
  path: string;
  body?: string | Buffer;
  headers?: Record<string, string>;
  signal?: AbortSignal;
  /** Whether to use a new connection instead of a pooled one. */
  newConnection?: boolean;
  /** Zero disables the timeout. */
  headersTimeoutMs?: number;
}

export class HttpClient {
  private readonly pools = new Map<string, undici.Pool>();

  /** Addresses treated as unreachable; tests cut network paths with it. */
  readonly blockedAddresses = new Set<string>();

  constructor(
    private readonly connectMs: number,
    private readonly tlsOptions: tls.ConnectionOptions | undefined,
  ) {}

  async request(address: string, call: Call): Promise<undici.Dispatcher.ResponseData> {
    if (this.blockedAddresses.has(address)) {
      throw Object.assign(new Error('address is blocked'), { code: 'EHOSTUNREACH' });
    }
    const { newConnection = false, headersTimeoutMs = CONTROL_TIMEOUT_MS, ...rest } = call;
    const dispatcher = newConnection ? this.singleUseClient(address) : this.pool(address);
    const response = await dispatcher
      .request({ ...rest, headersTimeout: headersTimeoutMs, bodyTimeout: 0 })
      .catch((error: unknown) => {
        if (newConnection) void dispatcher.destroy();
        throw error;
      });
    if (newConnection) {
      const close = (): void => {
        void dispatcher.destroy();
      };
      response.body.once('close', close);
    }
    return response;
  }

  async json<T>(address: string, call: Call): Promise<{ status: number; content: T }> {
    const signal = AbortSignal.timeout(CONTROL_TIMEOUT_MS);
    const { statusCode, body } = await this.request(address, { signal, ...call });
    return { status: statusCode, content: (await body.json()) as T };
  }

  /** Closes the pooled connections of a target that is gone or restarted. */
  closePool(address: string): void {
    void this.pools.get(address)?.destroy();
    this.pools.delete(address);
  }

  close(): void {
    this.pools.forEach((pool) => {
      void pool.destroy();
    });
    this.pools.clear();
  }

  private origin(address: string): string {
    return this.tlsOptions === undefined ? `http://${address}` : `https://${address}`;
  }

  private poolOptions(): undici.Pool.Options {
    const connect = { timeout: this.connectMs, ...this.tlsOptions };
    return { connect, pipelining: 1, allowH2: false };
  }

  private pool(address: string): undici.Pool {
    const existing = this.pools.get(address);
    if (existing !== undefined) return existing;
    const created = new undici.Pool(this.origin(address), {
      ...this.poolOptions(),
      connections: 256,
    });
    this.pools.set(address, created);
    return created;
  }

  private singleUseClient(address: string): undici.Client {
    return new undici.Client(this.origin(address), this.poolOptions());
  }
}

/** Converts an error of a call. Every error not known to precede the sending counts as sent. */
export function targetErrorOf(error: unknown): errors.TargetError {
  const { code = '', message = String(error) } = error as { code?: string; message?: string };
  const isNotSent = NOT_SENT_CODES.includes(code);
  return {
    progress: isNotSent ? 'notSent' : 'sent',
    fault: isNotSent ? 'connectFailed' : 'connectionLost',
    detail: `${code} ${message}`.trim(),
    retryAfterMs: 0,
  };
}
