/**
 * A message to a target, the response to it, and how its attempt ended: the types that all parts of the way to a target
 * share.
 */
import type * as protocols from '../edges/protocols';
import type * as sentMessages from '../http/sentMessages';

/** Status and headers of a target's response. */
export interface ResponseHead {
  status: number;
  /** Header names and values, alternating, as received. */
  raw: string[];
  facts: protocols.ResponseMetadata;
}

export interface ResponseHandler {
  /** Called when the head of the response arrives. */
  onHead: (head: ResponseHead) => void;
  onData: (chunk: Buffer) => void;
  /** Called when the attempt ends because its response can't be used, whatever follows. */
  onUnusable?: (detail: string) => void;
}

/** How an attempt ended. */
export type SendResult =
  | { kind: 'complete' }
  /**
   * No byte was written: the target can't have run it. `isRefused` if the connection was refused or reset rather
   * than left unanswered; `isConfirmed` if another VM couldn't connect to it either.
   */
  | { kind: 'notSent'; detail: string; isRefused?: boolean; isConfirmed?: boolean }
  /** Nothing was sent, because the target is unavailable to such messages. */
  | { kind: 'withheld' }
  /** Bytes were written, but no complete response arrived. */
  | { kind: 'broken'; detail: string }
  /** Bytes were written, and the response that arrived answers another message. */
  | { kind: 'foreign'; detail: string }
  /** Bytes were written, and the response can't be used, whatever follows; it may have no end. */
  | { kind: 'unusable'; detail: string }
  | { kind: 'cancelled' };

/**
 * Purpose of a message: a caller's request, an order that starts something, the upkeep of something that runs, or a
 * liveness probe (`check`).
 */
export type MessagePurpose = 'request' | 'order' | 'upkeep' | 'check';

/** Whether a message makes its target begin something, rather than serving what runs there already. */
export function startsWork(purpose: MessagePurpose): boolean {
  return purpose === 'request' || purpose === 'order';
}

/** An HTTP request to a target. */
export interface TargetMessage {
  target: string;
  address: string;
  purpose: MessagePurpose;
  /** Ids of the prefill helpers that get a part of the request from the target; absent where there are none. */
  helpers?: readonly string[];
  /** Id of the caller's request, which its response repeats; undefined for messages that this daemon originates. */
  requestId?: string;
  /**
   * Whether the target has received the same id before. A late copy of its former answer would look like the answer to
   * this message, so this one goes over a connection of its own.
   */
  isRepeat?: boolean;
  method: string;
  path: string;
  headers: string[];
  /** The headers as they would be now, for a message that is sent again later; absent if they don't depend on time. */
  currentHeaders?: () => string[];
  body: Buffer;
}

/** Notified about a message that was sent to a target. */
export interface DeliveryCallbacks {
  /** The head of its response arrived. */
  answered: (head: ResponseHead) => void;
  /** The head of a response to another message arrived instead; `connection` is undefined for a relayed message. */
  foreign: (head: ResponseHead, connection?: sentMessages.Connection) => void;
  /** Its response was given up before its end, as it can't be used. */
  unusable?: (detail: string) => void;
  /** Its response has waited for so many turns of the event loop, as it brings bytes without a pause. */
  paced?: (turns: number) => void;
  /** It ended, with or without a response. */
  ended: () => void;
}

/** Admits or withholds each message to a target, and is notified of each response. */
export interface AdmissionGate {
  /**
   * Undefined if the message is withheld. `isRelayed` for a message of another entry, whose own gate has admitted it.
   */
  admit(message: TargetMessage, isRelayed?: boolean): DeliveryCallbacks | undefined;
}

/**
 * Result of a call that this daemon originates: `refused` if the connection was refused or broke, `silent` if no complete
 * response arrived in time.
 */
export type CallResult =
  | { kind: 'answered'; status: number; facts: protocols.ResponseMetadata }
  | { kind: 'refused' }
  | { kind: 'silent' }
  | { kind: 'withheld' };
