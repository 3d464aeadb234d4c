/**
 * HTTP client for targets, based on undici. Repeatable calls share pooled connections; undici closes a
 * connection whose response was not read to the end. Calls that can't risk a pooled connection that died
 * unnoticed use a new one, and so do all calls to a target that isn't known to repeat the ids of messages.
 */
import type * as net from 'node:net';
import type * as tls from 'node:tls';
import * as undici from 'undici';
import * as connectionEnds from '../http/connectionEnds';
import type * as observer from '../observability/observer';
import * as boundedBody from './boundedBody';
import type * as errors from './errors';
import * as messageIds from './messageIds';
import * as truncatedResponses from './truncatedResponses';

/** Timeout of control calls, which are retried later. */
const CONTROL_TIMEOUT_MS = 2_000;

/** Maximum response that is held, bytes; listings of engines and most answers of services are far smaller. */
const MAX_RESPONSE_BYTES = 32 * 1_048_576;

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
  /** Why it is sent, for logs and counters. */
  purpose?: 'request' | 'upkeep';
  /** Id of the attempt that it belongs to, for logs. */
  request?: string;
}

export class HttpClient {
  private readonly pools = new Map<string, undici.Pool>();

  /** Addresses of targets whose latest response repeated the id of its message. */
  private readonly repeatsIds = new Set<string>();

  /** Addresses treated as unreachable; tests cut network paths with it. */
  readonly blockedAddresses = new Set<string>();

  private readonly ends = new connectionEnds.ConnectionEnds();

  private readonly connect: undici.buildConnector.connector;

  constructor(
    connectMs: number,
    private readonly tlsOptions: tls.ConnectionOptions | undefined,
    private readonly observe: Pick<observer.Observer, 'log' | 'count'>,
  ) {
    const connect = undici.buildConnector({ timeout: connectMs, ...tlsOptions });
    this.connect = (options, callback) => {
      connect(options, (...result) => {
        // undici passes no socket after a failure, although its types say null.
        const [, socket] = result as [Error | null, net.Socket | null | undefined];
        if (socket) this.ends.watch(socket);
        callback(...result);
      });
    };
  }

  async request(address: string, call: Call): Promise<undici.Dispatcher.ResponseData> {
    if (this.blockedAddresses.has(address)) {
      throw Object.assign(new Error('address is blocked'), { code: 'EHOSTUNREACH' });
    }
    const { headersTimeoutMs = CONTROL_TIMEOUT_MS, purpose, request, ...options } = call;
    // On a shared connection a response without an id could be a late one to any earlier message.
    const isOwnConnection = call.newConnection === true || !this.repeatsIds.has(address);
    const dispatcher = isOwnConnection ? this.singleUseClient(address) : this.pool(address);
    const onOwnResponse = (repeatsId: boolean): void => this.learn(address, repeatsId);
    const response = await dispatcher
      .compose(
        truncatedResponses.interceptor(this.ends),
        messageIds.interceptor({ isOwnConnection, onOwnResponse }),
      )
      .request({ ...options, headersTimeout: headersTimeoutMs, bodyTimeout: 0 })
      .catch((error: unknown) => {
        if (isOwnConnection) void dispatcher.destroy();
        if (error instanceof messageIds.ForeignResponseError) this.onForeign(address, call, error);
        throw error;
      });
    if (isOwnConnection) {
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
    const content = await this.read(address, call, body);
    return { status: statusCode, content: JSON.parse(content.toString()) as T };
  }

  /** Reads the body of a response that is held as a whole. */
  async read(
    address: string,
    { method, path, purpose = 'upkeep', request }: Call,
    body: undici.Dispatcher.ResponseData['body'],
  ): Promise<Buffer> {
    try {
      return await boundedBody.read(body, MAX_RESPONSE_BYTES);
    } catch (error) {
      if (error instanceof boundedBody.ResponseTooLargeError) {
        this.observe.count(`responses.tooLarge.${purpose}`);
        const { code, message } = error;
        const detail = `${code}: ${message}`;
        this.observe.log('attemptFailed', { request, address, purpose, method, path, detail });
      }
      throw error;
    }
  }

  /** Closes the pooled connections of a target that is gone or restarted. */
  closePool(address: string): void {
    void this.pools.get(address)?.destroy();
    this.pools.delete(address);
    this.repeatsIds.delete(address);
  }

  close(): void {
    this.pools.forEach((pool) => {
      void pool.destroy();
    });
    this.pools.clear();
  }

  private learn(address: string, repeatsId: boolean): void {
    if (repeatsId) this.repeatsIds.add(address);
    else this.repeatsIds.delete(address);
  }

  private onForeign(
    address: string,
    { method, path, purpose = 'upkeep', request }: Call,
    { id, answered, status }: messageIds.ForeignResponseError,
  ): void {
    // The target may have been replaced at its address by one that doesn't repeat ids.
    if (answered === undefined) this.learn(address, false);
    this.observe.count(`responses.foreign.${purpose}`);
    const fields = { request, address, purpose, method, path, status, message: id, answered };
    this.observe.log('foreignResponse', fields);
  }

  private origin(address: string): string {
    return this.tlsOptions === undefined ? `http://${address}` : `https://${address}`;
  }

  private poolOptions(): undici.Pool.Options {
    return { connect: this.connect, pipelining: 1, allowH2: false };
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
  const detail = `${code} ${message}`.trim();
  if (error instanceof messageIds.ForeignResponseError)
    return { progress: 'sent', fault: 'crossed', detail, retryAfterMs: 0 };
  const isNotSent = NOT_SENT_CODES.includes(code);
  return {
    progress: isNotSent ? 'notSent' : 'sent',
    fault: isNotSent ? 'connectFailed' : 'connectionLost',
    detail,
    retryAfterMs: 0,
  };
}
