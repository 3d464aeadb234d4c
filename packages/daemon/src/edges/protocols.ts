/**
 * What a fleet's surroundings say and want to hear, in the product's own words. An adapter implements
 * these interfaces for one platform: it knows names and formats and decides nothing.
 */
import type * as http from 'node:http';
import type * as domain from '@celerydrift/domain';
import type { Result } from 'ts-results';

/** What a caller's headers say of its request. */
export interface CallerFacts {
  requestId: string;
  /** How long the caller waits, milliseconds; undefined where it doesn't say. */
  patienceMs: number | undefined;
  key: string | undefined;
  promptTokens: number | undefined;
  /** Most tokens of the answer. */
  maxAnswerTokens: number | undefined;
  /** The caller's own guess of the answer's tokens. */
  likelyAnswerTokens: number | undefined;
  /** Last event that the caller has of a stream that it goes on with. */
  lastEventId: string | undefined;
}

/** A target that helps to read a prompt, and the reservation there that keeps a part of its memory. */
export interface Helper {
  address: string;
  reservation: string | undefined;
}

/** A call to a target that isn't a caller's request. */
export interface TargetCall {
  method: string;
  path: string;
  headers: string[];
  body: string;
}

/** What an entry adds to a request for a target. */
export interface Dispatch {
  /** Lifetime that must serve it; another one at that address refuses. */
  target: string;
  organisation: string | undefined;
  /** Time that the target has, milliseconds. */
  timeLeftMs: number;
  /** Targets that help to read the prompt. */
  helpers: readonly Helper[];
  /** Last event that has reached the caller; undefined for a stream from the beginning. */
  resumeAfter: string | undefined;
}

/** What a target's answer says of how much the target takes; in requests a second of the whole fleet. */
export type NamedLimit =
  { kind: 'named'; perSecond: number } | { kind: 'none' } | { kind: 'unreadable' };

/** How long a target that turned a message away wants nothing more from this VM. */
export type BackOff = { kind: 'none' } | { kind: 'asked'; forMs: number } | { kind: 'unreadable' };

/** What the head of a target's answer proves. */
export interface AnswerFacts {
  requestId: string | undefined;
  /** Whether the target signed it. An unsigned success can't be told from bytes of something else. */
  isSigned: boolean;
  /** Whether the target says for certain that it didn't run the request and won't. */
  isNotRun: boolean;
  /** Whether another lifetime has the address, which doesn't run the request. */
  isWrongLifetime: boolean;
  /** The target that made the request fail, as the answer names it; undefined for the one that answers. */
  faulty: string | undefined;
  /** Whether the body is encoded though nobody asked for it; it isn't the target's then. */
  isEncoded: boolean;
  limit: NamedLimit;
  backOff: BackOff;
  /** Whether the target says that it leaves: from now on it wants no new request. */
  isLeaving: boolean;
}

/** The protocol of callers and targets. */
export interface TrafficProtocol {
  facts(headers: http.IncomingHttpHeaders): CallerFacts;
  /** Headers of a request for a target: the caller's, with what the entry adds and replaces. */
  requestHeaders(raw: readonly string[], dispatch: Dispatch): string[];
  answerFacts(status: number, headers: Readonly<Record<string, unknown>>): AnswerFacts;
  /** Reserves memory on a target for so long from the call's arrival; sent again it renews. */
  reserve(target: string, reservation: string, tokens: number, holdMs: number): TargetCall;
  release(target: string, reservation: string): TargetCall;
  /** Asks a target for its state; one that lives answers at once, however busy. */
  report(target: string): TargetCall;
}

/** A call from a target or an operator that the keepers' listener understands. */
export type ControlCall =
  | { kind: 'announce'; id: string }
  | { kind: 'depart'; id: string }
  | { kind: 'submit' }
  | { kind: 'read' };

/** Why a document or an announcement can't be read. */
export interface Unreadable {
  kind: 'unreadable';
  detail: string;
}

/** The protocol of targets' announcements and of operators. */
export interface ControlProtocol {
  call(method: string, path: string): ControlCall | undefined;
  announcement(id: string, body: Buffer): Result<domain.registry.registry.Announcement, Unreadable>;
  /** When the lifetime that says it departs began, Unix milliseconds; undefined where it doesn't say. */
  departedLifetime(body: Buffer): number | undefined;
  catalogue(document: Buffer): Result<domain.catalogue.catalogue.Catalogue, Unreadable>;
}
