/** Engine adapter for the HTTP protocol in docs/API.md, "Targets". */
import * as stringDecoder from 'node:string_decoder';
import * as domain from '@celerydrift/domain';
import * as eventSource from 'eventsource-parser';
import { Err, Ok, Result } from 'ts-results';
import type * as undici from 'undici';
import * as clock from '../clock';
import type * as adapter from './adapter';
import type * as agedLoad from './agedLoad';
import * as boundedBody from './boundedBody';
import type * as errors from './errors';
import * as httpClient from './httpClient';

type Target = domain.target.target.Target;
type AdapterResult<T> = Promise<Result<T, errors.TargetError>>;

/** Body of an engine's error response. */
interface RefusalBody {
  error?: string;
  notRun?: boolean;
  /** Load of the engine if it refused for lack of memory. */
  noRoom?: agedLoad.AgedLoad;
}

interface Waiter {
  resolve: (frame: adapter.EngineFrame | undefined) => void;
  reject: (error: Error) => void;
}

/** Maximum length of one event of a stream, characters. */
const MAX_EVENT_LENGTH = 1_048_576;

/** Number of unread frames from which the connection isn't read on. */
const MAX_UNREAD_FRAMES = 1_000;

/** Frames of a server-sent event stream, queued until they are read. */
class EventStream implements adapter.EngineStream {
  private readonly frames: adapter.EngineFrame[] = [];

  private waiter: Waiter | undefined;

  private isEnded = false;

  private failure: Error | undefined;

  constructor(private readonly body: undici.Dispatcher.ResponseData['body']) {
    const parser = eventSource.createParser({
      onEvent: ({ data }) => this.deliver(JSON.parse(data) as adapter.EngineFrame),
      onError: ({ type }) => {
        if (type !== 'max-buffer-size-exceeded') return;
        throw new boundedBody.ResponseTooLargeError(MAX_EVENT_LENGTH);
      },
      maxBufferSize: MAX_EVENT_LENGTH,
    });
    // A multi-byte character may be split between two chunks.
    const decoder = new stringDecoder.StringDecoder('utf8');
    body.on('data', (chunk: Buffer) => {
      try {
        parser.feed(decoder.write(chunk));
      } catch (error) {
        this.fail(error as Error);
        this.close();
      }
    });
    body.on('end', () => this.finish());
    body.on('error', (error: Error) => this.fail(error));
  }

  next(): Promise<adapter.EngineFrame | undefined> {
    const frame = this.frames.shift();
    if (this.frames.length === 0 && this.body.isPaused()) this.body.resume();
    if (frame !== undefined) return Promise.resolve(frame);
    if (this.failure !== undefined) return Promise.reject(this.failure);
    if (this.isEnded) return Promise.resolve(undefined);
    return new Promise((resolve, reject) => {
      this.waiter = { resolve, reject };
    });
  }

  close(): void {
    this.body.on('error', () => undefined);
    this.body.destroy();
    this.finish();
  }

  private deliver(frame: adapter.EngineFrame): void {
    if (this.waiter !== undefined) {
      this.settleWaiter((waiter) => waiter.resolve(frame));
      return;
    }
    this.frames.push(frame);
    if (this.frames.length >= MAX_UNREAD_FRAMES) this.body.pause();
  }

  private finish(): void {
    this.isEnded = true;
    this.settleWaiter((waiter) => waiter.resolve(undefined));
  }

  private fail(error: Error): void {
    this.failure = error;
    this.settleWaiter((waiter) => waiter.reject(error));
  }

  private settleWaiter(action: (waiter: Waiter) => void): void {
    const { waiter } = this;
    this.waiter = undefined;
    if (waiter !== undefined) action(waiter);
  }
}

function refusalError(
  status: number,
  { error, notRun, noRoom }: RefusalBody,
  retryAfter: string,
): errors.TargetError {
  return {
    progress: notRun === true ? 'refusedByTarget' : 'sent',
    fault: 'refused',
    detail: `${status} ${error ?? ''}`.trim(),
    retryAfterMs: Number(retryAfter || 0) * 1_000,
    noRoom,
  };
}

/** Body of an error response; empty if it can't be read. */
function refusalOf(content: Buffer): RefusalBody {
  try {
    return JSON.parse(content.toString()) as RefusalBody;
  } catch {
    return {};
  }
}

export class HttpAdapter implements adapter.EngineAdapter {
  constructor(private readonly client: httpClient.HttpClient) {}

  async generate(
    target: Target,
    generation: adapter.GenerateRequest,
    signal: AbortSignal,
  ): AdapterResult<adapter.EngineStream> {
    const body = JSON.stringify({ ...generation, system: domain.memory.leasedResources.SYSTEM });
    const headers = { 'content-type': 'application/json' };
    const call = { method: 'POST', path: '/v1/generate', body, headers, signal } as const;
    const { request } = generation;
    return this.open(target, { ...call, headersTimeoutMs: 0, purpose: 'request', request });
  }

  async resume(target: Target, request: string, from: number): AdapterResult<adapter.EngineStream> {
    const path = `/v1/requests/${encodeURIComponent(request)}/stream?from=${from}`;
    return this.open(target, { method: 'GET', path, newConnection: true });
  }

  async stateOf(target: Target, request: string): AdapterResult<adapter.RequestState> {
    const path = `/v1/requests/${encodeURIComponent(request)}`;
    const call = { method: 'GET', path, newConnection: true } as const;
    const answer = await this.json<{ state: adapter.RequestState }>(target, call);
    return answer.map(({ state }) => state);
  }

  async release(
    target: Target,
    id: string,
    kind: domain.memory.leasedResources.Kind,
  ): AdapterResult<void> {
    const collection = kind === 'stream' ? 'requests' : 'holdings';
    const path = `/v1/${collection}/${encodeURIComponent(id)}`;
    const answer = await this.json(target, { method: 'DELETE', path, newConnection: true });
    return answer.map(() => undefined);
  }

  async reserve(target: Target, reservation: adapter.ReservationRequest): AdapterResult<boolean> {
    const body = JSON.stringify({ ...reservation, system: domain.memory.leasedResources.SYSTEM });
    const call = { method: 'POST', path: '/v1/reservations', body } as const;
    const answer = await this.json<{ granted: boolean }>(target, call, [409]);
    return answer.map(({ granted }) => granted);
  }

  async renew(target: Target, id: string, leaseMs: number): AdapterResult<void> {
    const body = JSON.stringify({ leaseMs });
    const path = `/v1/reservations/${encodeURIComponent(id)}`;
    const answer = await this.json(target, { method: 'PUT', path, body });
    return answer.map(() => undefined);
  }

  async holdings(target: Target): AdapterResult<adapter.LeaseListing> {
    return this.json<adapter.LeaseListing>(target, { method: 'GET', path: '/v1/holdings' });
  }

  async order(target: Target, order: domain.placement.order.Order): AdapterResult<void> {
    // The target compares the end of the order with its own time of day.
    const expiresAt = clock.timeOfDay() + (order.expiresAt - clock.steady());
    const body = JSON.stringify({ ...order, expiresAt });
    const answer = await this.json(target, { method: 'POST', path: '/v1/orders', body });
    return answer.map(() => undefined);
  }

  async cache(target: Target, since: number): AdapterResult<adapter.CacheListing> {
    const path = `/v1/cache?since=${since}`;
    return this.json<adapter.CacheListing>(target, { method: 'GET', path });
  }

  private async open(target: Target, call: httpClient.Call): AdapterResult<adapter.EngineStream> {
    try {
      const { statusCode, body, headers } = await this.client.request(target.address, call);
      if (statusCode === 200) return Ok(new EventStream(body));
      const content = await this.client
        .read(target.address, call, body)
        .then(refusalOf, () => ({}));
      return Err(refusalError(statusCode, content, String(headers['retry-after'] ?? '')));
    } catch (error) {
      return Err(httpClient.targetErrorOf(error));
    }
  }

  private async json<T>(
    target: Target,
    call: httpClient.Call,
    accepted: readonly number[] = [],
  ): AdapterResult<T> {
    try {
      const { status, content } = await this.client.json<T & RefusalBody>(target.address, call);
      if (status < 300 || accepted.includes(status)) return Ok(content);
      return Err(refusalError(status, content, ''));
    } catch (error) {
      return Err(httpClient.targetErrorOf(error));
    }
  }
}
