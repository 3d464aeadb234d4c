/**
 * Interfaces between the product and the platform that it runs on, in protocol-independent terms. An adapter
 * implements them for one platform: it translates names and formats and takes no decisions.
 */
import type * as http from 'node:http';
import type * as domain from '@celerydrift/domain';
import type { Result } from 'ts-results';

/** Properties of a request that its caller states in headers. */
export interface CallerMetadata {
  requestId: string;
  /** How long the caller waits for the answer, in milliseconds; undefined if not stated. */
  patienceMs: number | undefined;
  /** API key of the caller. */
  key: string | undefined;
  promptTokens: number | undefined;
  /** Limit on the tokens of the answer. */
  maxAnswerTokens: number | undefined;
  /** The caller's estimate of the tokens of the answer. */
  likelyAnswerTokens: number | undefined;
  /** Id of the last event that the caller received of the stream that it resumes. */
  lastEventId: string | undefined;
}

/** A target that prefills a part of a prompt, and the reservation of memory for it there. */
export interface PrefillHelper {
  address: string;
  reservation: string | undefined;
}

/** A call that an entry makes to a target for itself, not for a caller. */
export interface TargetCall {
  method: string;
  path: string;
  headers: string[];
  body: string;
}

/** What an entry adds to a request that it forwards to a target. */
export interface ForwardingMetadata {
  /** Id of the target lifetime that must serve the request; another lifetime at the address refuses it. */
  target: string;
  organisation: string | undefined;
  /** Time left for the target, in milliseconds. */
  timeLeftMs: number;
  /** Targets that prefill parts of the prompt. */
  helpers: readonly PrefillHelper[];
  /** Urgency class for the target's own queue, 0 first; absent where all requests of the service are of one class. */
  urgency?: number;
  /** Id of the last event sent to the caller; undefined to stream from the beginning. */
  resumeAfter: string | undefined;
}

/** Request rate that a target's response allows, in requests per second of the whole fleet. */
export type AdvertisedLimit =
  { kind: 'named'; perSecond: number } | { kind: 'none' } | { kind: 'unreadable' };

/** Back-off towards this VM that a target asks for when it rejects a message. */
export type BackOff = { kind: 'none' } | { kind: 'asked'; forMs: number } | { kind: 'unreadable' };

/** What the status and headers of a target's response prove. */
export interface ResponseMetadata {
  requestId: string | undefined;
  /** Whether the target signed the response. An unsigned success may come from anything else at the address. */
  isSigned: boolean;
  /** Whether the target guarantees that it didn't run the request and won't. */
  isNotRun: boolean;
  /** Whether another lifetime answers at the address and didn't run the request. */
  isWrongLifetime: boolean;
  /** Id of the target that the response names as the cause of the failure; undefined for the responding one. */
  faulty: string | undefined;
  /** Whether the body has an encoding that wasn't requested, so that it doesn't come from the target. */
  isEncoded: boolean;
  limit: AdvertisedLimit;
  backOff: BackOff;
  /** Whether the target reports that it drains and accepts no new requests. */
  isLeaving: boolean;
  /** How long the target remains cold, in milliseconds; 0 for a warm one, absent if not stated. */
  coldForMs?: number;
}

/** Protocol of callers' requests and of calls to targets. */
export interface TrafficProtocol {
  callerMetadata(headers: http.IncomingHttpHeaders): CallerMetadata;
  /** Ids of the parts of the prompt that other requests may share, each once and in order. */
  sharedParts(headers: http.IncomingHttpHeaders): readonly string[];
  /** Headers of a request to a target: the caller's, with those that the entry adds or replaces. */
  requestHeaders(raw: readonly string[], dispatch: ForwardingMetadata): string[];
  responseMetadata(status: number, headers: Readonly<Record<string, unknown>>): ResponseMetadata;
  /** Reserves memory on a target for `holdMs` from the call's arrival; repeating the call renews it. */
  reserve(target: string, reservation: string, tokens: number, holdMs: number): TargetCall;
  release(target: string, reservation: string): TargetCall;
  /** Requests a target's state; a live target answers at once, however busy. */
  stateCall(target: string): TargetCall;
}

/** Why a path, a document or an announcement can't be parsed. */
export interface ParseError {
  kind: 'unreadable';
  detail: string;
}

/** A call of a target or an operator that the keepers' listener recognises, readable or not. */
export type ControlCall =
  | { kind: 'announce'; id: string }
  | { kind: 'depart'; id: string }
  | { kind: 'submit' }
  | { kind: 'read' }
  /** Orders about a data centre; its name is undefined if it can't be decoded. */
  | { kind: 'evacuate' | 'endEvacuation'; dataCentre: string | undefined }
  | { kind: 'listEvacuations' }
  | ParseError;

/** Protocol of targets' announcements and of operators' calls. */
export interface ControlProtocol {
  parseCall(method: string, path: string): ControlCall | undefined;
  parseAnnouncement(
    id: string,
    body: Buffer,
  ): Result<domain.registry.registry.Announcement, ParseError>;
  /** Start time of the departing lifetime, in Unix milliseconds; undefined if not stated. */
  parseDepartedLifetime(body: Buffer): Result<number | undefined, ParseError>;
  parseCatalogue(document: Buffer): Result<domain.catalogue.catalogue.Catalogue, ParseError>;
}
