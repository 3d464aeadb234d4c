/**
 * Replication messages on the wire: lists in place of objects, because heartbeats are most of a quiet
 * fleet's traffic and field names were most of a heartbeat.
 */
import type * as domain from '@celerydrift/domain';

type Message = domain.replication.messages.Message;

export type Packed = readonly [kind: number, from: string, term: number, ...rest: unknown[]];

const KINDS: readonly Message['kind'][] = [
  'voteRequest',
  'voteAnswer',
  'appendRequest',
  'appendAnswer',
  'snapshotRequest',
];

function restOf(message: Message): unknown[] {
  if (message.kind === 'voteRequest') return [message.pre, message.lastIndex, message.lastTerm];
  if (message.kind === 'voteAnswer') return [message.pre, message.granted, message.knowsLeader];
  if (message.kind === 'appendRequest') {
    const { previousIndex, previousTerm, commit, sentAt, entries } = message;
    const base = [previousIndex, previousTerm, commit, sentAt];
    return entries.length === 0 ? base : [...base, entries];
  }
  if (message.kind === 'appendAnswer') return [message.success, message.matched, message.sentAt];
  return [message.sentAt, message.snapshot];
}

export function pack(message: Message): Packed {
  return [KINDS.indexOf(message.kind), message.from, message.term, ...restOf(message)];
}

/** The message, or undefined for what is none. */
export function unpack(packed: unknown): Message | undefined {
  if (!Array.isArray(packed)) return undefined;
  const [index, from, term, ...rest] = packed as unknown as [number, string, number, ...unknown[]];
  const kind = KINDS[index];
  if (kind === undefined || typeof from !== 'string' || typeof term !== 'number') return undefined;
  return { kind, from, term, ...fieldsOf(kind, rest) } as Message;
}

function fieldsOf(kind: Message['kind'], rest: unknown[]): object {
  if (kind === 'voteRequest') return { pre: rest[0], lastIndex: rest[1], lastTerm: rest[2] };
  if (kind === 'voteAnswer') return { pre: rest[0], granted: rest[1], knowsLeader: rest[2] };
  if (kind === 'appendRequest') {
    const [previousIndex, previousTerm, commit, sentAt, entries = []] = rest;
    return { previousIndex, previousTerm, commit, sentAt, entries };
  }
  if (kind === 'appendAnswer') return { success: rest[0], matched: rest[1], sentAt: rest[2] };
  return { sentAt: rest[0], snapshot: rest[1] };
}
