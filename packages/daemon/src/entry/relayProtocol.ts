/**
 * How an entry hands a message to another entry that reaches its target: an HTTP request on an authenticated connection
 * between them. The message's head is in a header and its body in the request's body. The response has the head of the
 * target's response in a header, its body, and a trailer that says whether it is complete; or, without such a head, how
 * the attempt ended.
 */
import type * as domain from '@celerydrift/domain';
import * as t from 'io-ts';
import * as msgpackr from 'msgpackr';
import type * as targetMessage from './targetMessage';

export const RELAY_PATH = '/messages';

export const MESSAGE_HEADER = 'x-message';

export const HEAD_HEADER = 'x-response-head';

export const END_TRAILER = 'x-end';

/** Value of the trailer of a response that the target completed. */
export const COMPLETE = 'complete';

/** A message without its body. */
export type MessageHead = Omit<targetMessage.TargetMessage, 'body' | 'currentHeaders'>;

/** The head of a target's response; the receiver derives the rest. */
export type RelayedHead = Pick<targetMessage.ResponseHead, 'status' | 'raw'>;

/** For how long a relay sends a target nothing, milliseconds; absent while that isn't known. */
export type Withheld = Pick<domain.reachability.withheldTargets.WithheldTarget, 'forMs'>;

/** How an attempt ended without a response of the target. */
export type RelayResult =
  /** The relay couldn't connect to the target either. */
  | { kind: 'notSent'; detail: string }
  /** The relay takes no messages now; another one may. */
  | { kind: 'refused'; detail: string }
  /**
   * The relay doesn't take this message, because of its target; another one may. With `withheld` if the target is
   * unavailable to requests of the relay; absent from an earlier version.
   */
  | { kind: 'declined'; detail: string; withheld?: Withheld }
  /** The target may have run it. */
  | { kind: 'broken'; detail: string }
  /** The same, as the target's response answers another message; the last version takes it for `broken`. */
  | { kind: 'foreign'; detail: string }
  /** The same, as the target's response can't be used; the last version takes it for `broken`. */
  | { kind: 'unusable'; detail: string };

/** `relayStatus`: asks an entry whether it would relay messages. */
export interface RelayStatus {
  isReady: boolean;
  /** Messages that it is relaying. */
  active: number;
  /** Scopes of targets that it doesn't reach itself. */
  lost: readonly domain.reachability.targetPaths.Scope[];
  /** Targets to which it sends no requests; absent from an earlier version. */
  withheld?: readonly domain.reachability.withheldTargets.WithheldTarget[];
}

/** `reach`: asks an entry whether a target responds to it. */
export interface ReachRequest {
  target: string;
  address: string;
}

export interface ReachAnswer {
  /** Absent if the entry can't tell. */
  isAlive?: boolean;
  /** Whether the target gave no response at all, rather than refuse. */
  isSilent?: boolean;
  /**
   * Whether others of its service respond to the entry, while it refuses connections like all of its service in its data
   * centre, so that the entry can't tell whether its own paths are lost. Absent from an earlier version.
   */
  doOthersRespond?: boolean;
}

const MESSAGE_SHAPE = t.intersection([
  t.type({
    target: t.string,
    address: t.string,
    purpose: t.keyof({ request: null, order: null, upkeep: null, check: null }),
    method: t.string,
    path: t.string,
    headers: t.array(t.string),
  }),
  t.partial({ helpers: t.array(t.string), requestId: t.string, isRepeat: t.boolean }),
]);

const HEAD_SHAPE = t.type({ status: t.number, raw: t.array(t.string) });

const packr = new msgpackr.Packr({ useRecords: false });

export function encode(value: MessageHead | RelayedHead): string {
  return packr.pack(value).toString('base64');
}

/** Undefined if the text isn't an encoded message. */
export function decodeMessage(text: string): MessageHead | undefined {
  const value = decode(text);
  return MESSAGE_SHAPE.is(value) ? value : undefined;
}

/** @throws Error when the text isn't an encoded head */
export function decodeHead(text: string): RelayedHead {
  const value = decode(text);
  if (!HEAD_SHAPE.is(value)) throw new Error('malformed head');
  return value;
}

function decode(text: string): unknown {
  try {
    return packr.unpack(Buffer.from(text, 'base64'));
  } catch {
    return undefined;
  }
}

/** The headers of a response by lower-case name; a repeated one as a list. */
export function headersOf(raw: readonly string[]): Record<string, string | string[]> {
  const headers: Record<string, string | string[]> = {};
  for (let i = 0; i + 1 < raw.length; i += 2) {
    const name = raw[i].toLowerCase();
    const earlier = headers[name];
    headers[name] = earlier === undefined ? raw[i + 1] : [earlier, raw[i + 1]].flat();
  }
  return headers;
}
