/**
 * Engine operations that the daemon uses, independent of the engine's protocol. A further protocol is
 * supported by another implementation of `EngineAdapter`, without changes to the domain.
 */
import type * as domain from '@celerydrift/domain';
import type { Result } from 'ts-results';
import type * as agedLoad from './agedLoad';
import type * as errors from './errors';

type Target = domain.target.target.Target;

/** Request for one attempt; serialised under these field names. */
export interface GenerateRequest {
  /** Id of the attempt, unique across all daemons. */
  request: string;
  model: domain.target.target.Loaded;
  prompt: string;
  answerTokens: number;
  priority: number;
  /** Number of tokens that earlier attempts sent to the caller. */
  resumeFrom: number;
  /** Text of these tokens. */
  emitted: string;
  prefixKeys: readonly number[];
  owner: domain.memory.leasedResources.Owner;
  reservations: readonly domain.memory.gathering.MemoryPart[];
  /** Whether the engine must refuse at once, as not run, if it lacks the memory now. */
  needsRoom: boolean;
}

export interface EngineFrame extends domain.request.stream.Frame {
  load?: agedLoad.AgedLoad;
  promptTokens?: number;
}

export interface EngineStream {
  /** Resolves to the next frame, or to undefined at the end of the stream. Rejects if the connection breaks. */
  next(): Promise<EngineFrame | undefined>;
  /** Closes the connection, which is not reused. */
  close(): void;
}

export type RequestState = 'unknown' | 'queued' | 'prefilling' | 'decoding' | 'finished';

/** Resources that an engine lists as leased. */
export interface LeaseListing {
  incarnation: number;
  holdings: domain.memory.leasedResources.ListedResource[];
}

/** Contents or recent events of an engine's prefix cache. */
export interface CacheListing {
  sequence: number;
  keys?: number[];
  events?: domain.routing.prefixIndex.CacheEvent[];
}

export interface ReservationRequest {
  id: string;
  owner: domain.memory.leasedResources.Owner;
  tokens: number;
  leaseMs: number;
}

export interface EngineAdapter {
  generate(
    target: Target,
    generation: GenerateRequest,
    signal: AbortSignal,
  ): Promise<Result<EngineStream, errors.TargetError>>;
  /** Reopens the stream of a running request over a new connection, from the given token position. */
  resume(
    target: Target,
    request: string,
    from: number,
  ): Promise<Result<EngineStream, errors.TargetError>>;
  /** Probes a request over a new connection, to distinguish a dead connection from a dead engine. */
  stateOf(target: Target, request: string): Promise<Result<RequestState, errors.TargetError>>;
  /** Frees a stream or reservation; ok once the engine confirmed it. */
  release(
    target: Target,
    id: string,
    kind: domain.memory.leasedResources.Kind,
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
  /** Returns the cache events after `since`, or the full listing if `since` is negative. */
  cache(target: Target, since: number): Promise<Result<CacheListing, errors.TargetError>>;
}
