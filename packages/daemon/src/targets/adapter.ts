/**
 * What the daemon needs of an engine, whatever protocol it speaks. Another engine protocol is another
 * class that implements this; nothing in the domain changes.
 */
import type * as domain from '@celerydrift/domain';
import type { Result } from 'ts-results';
import type * as errors from './errors';

type Target = domain.target.target.Target;

/** One attempt at a prompt. */
export interface GenerateRequest {
  /** Id of the attempt, unique over all daemons. */
  request: string;
  model: domain.target.target.Loaded;
  prompt: string;
  answerTokens: number;
  priority: number;
  /** Tokens already passed on by earlier attempts, and their text. */
  resumeFrom: number;
  emitted: string;
  prefixKeys: readonly number[];
  owner: domain.memory.holding.Owner;
  reservations: readonly domain.memory.gathering.Part[];
  /** The engine refuses at once, as not run, if it has no memory for it now. */
  needsRoom: boolean;
}

/** An engine's load, measured `ageMs` before it was sent. */
export interface AgedLoad {
  queuedTokens: number;
  streams: number;
  freeTokens: number;
  ageMs: number;
}

export interface EngineFrame extends domain.request.stream.Frame {
  load?: AgedLoad;
  promptTokens?: number;
}

export interface EngineStream {
  /** The next frame; undefined at the end of the connection. Rejects when the connection breaks. */
  next(): Promise<EngineFrame | undefined>;
  /** Closes the connection; it is never used again. */
  close(): void;
}

export type RequestState = 'unknown' | 'queued' | 'prefilling' | 'decoding' | 'finished';

export interface LeaseListing {
  incarnation: number;
  holdings: domain.memory.holding.Listed[];
}

export interface CacheListing {
  sequence: number;
  keys?: number[];
  events?: domain.routing.prefixIndex.CacheEvent[];
}

export interface ReservationRequest {
  id: string;
  owner: domain.memory.holding.Owner;
  tokens: number;
  leaseMs: number;
}

export interface EngineAdapter {
  generate(
    target: Target,
    generation: GenerateRequest,
    signal: AbortSignal,
  ): Promise<Result<EngineStream, errors.TargetError>>;
  /** Reads a running request's stream again, from a token on, over a new connection. */
  resume(
    target: Target,
    request: string,
    from: number,
  ): Promise<Result<EngineStream, errors.TargetError>>;
  /** Asks over a new connection, so that a silent one is told apart from a dead engine. */
  stateOf(target: Target, request: string): Promise<Result<RequestState, errors.TargetError>>;
  /** Frees a stream or reservation; resolves to whether the engine confirmed. */
  release(
    target: Target,
    id: string,
    kind: domain.memory.holding.Kind,
  ): Promise<Result<void, errors.TargetError>>;
  reserve(
    target: Target,
    reservation: ReservationRequest,
  ): Promise<Result<boolean, errors.TargetError>>;
  renew(target: Target, id: string, leaseMs: number): Promise<Result<void, errors.TargetError>>;
  holdings(target: Target): Promise<Result<LeaseListing, errors.TargetError>>;
  order(
    target: Target,
    order: domain.placement.order.Order,
  ): Promise<Result<void, errors.TargetError>>;
  /** Cache events after `since`, or the full listing for a negative one. */
  cache(target: Target, since: number): Promise<Result<CacheListing, errors.TargetError>>;
}
