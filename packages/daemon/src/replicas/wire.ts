/**
 * Encodes replication messages as arrays rather than objects: heartbeats make up most of an idle fleet's
 * traffic, and field names would make up most of a heartbeat.
 */
import type * as domain from '@celerydrift/domain';

type Message = domain.replication.messages.Message;

export type PackedMessage = readonly [
  kind: number,
  from: string,
  term: number,
  ...fields: unknown[],
];

/** A message's kind is sent as its index here. */
const KINDS: readonly Message['kind'][] = [
  'voteRequest',
  'voteAnswer',
  'appendRequest',
  'appendAnswer',
  'snapshotRequest',
];

function sentAtOf({ sentAt }: { sentAt?: number }): number[] {
  return sentAt === undefined ? [] : [sentAt];
}

function packFields(message: Message): unknown[] {
  if (message.kind === 'voteRequest') {
    return [message.pre, message.lastIndex, message.lastTerm, ...sentAtOf(message)];
  }
  if (message.kind === 'voteAnswer') {
    return [message.pre, message.granted, message.knowsLeader, ...sentAtOf(message)];
  }
  if (message.kind === 'appendRequest') {
    const { previousIndex, previousTerm, commit, sentAt, entries, silences } = message;
    const { quorumRoundTripMs } = message;
    const base = [previousIndex, previousTerm, commit, sentAt];
    if (quorumRoundTripMs !== undefined)
      return [...base, entries, silences ?? [], quorumRoundTripMs];
    if (silences !== undefined) return [...base, entries, silences];
    return entries.length === 0 ? base : [...base, entries];
  }
  if (message.kind === 'appendAnswer') return [message.success, message.matched, message.sentAt];
  return [message.sentAt, message.snapshot];
}

export function pack(message: Message): PackedMessage {
  return [KINDS.indexOf(message.kind), message.from, message.term, ...packFields(message)];
}

/** Decodes a message; undefined if the value isn't one. */
export function unpack(packed: unknown): Message | undefined {
  if (!Array.isArray(packed)) return undefined;
  const [kindIndex, from, term, ...fields] = packed as unknown as [
    number,
    string,
    number,
    ...unknown[],
  ];
  const kind = KINDS[kindIndex];
  if (kind === undefined || typeof from !== 'string' || typeof term !== 'number') return undefined;
  return { kind, from, term, ...unpackFields(kind, fields) } as Message;
}

function unpackFields(kind: Message['kind'], fields: unknown[]): object {
  if (kind === 'voteRequest' || kind === 'voteAnswer') {
    const [pre, second, third, sentAt] = fields;
    const base =
      kind === 'voteRequest'
        ? { pre, lastIndex: second, lastTerm: third }
        : { pre, granted: second, knowsLeader: third };
    return typeof sentAt === 'number' ? { ...base, sentAt } : base;
  }
  if (kind === 'appendRequest') {
    const [previousIndex, previousTerm, commit, sentAt, entries = [], silences] = fields;
    const quorumRoundTripMs = fields[6];
    const base = { previousIndex, previousTerm, commit, sentAt, entries };
    return {
      ...base,
      ...(silences !== undefined && { silences }),
      ...(quorumRoundTripMs !== undefined && { quorumRoundTripMs }),
    };
  }
  if (kind === 'appendAnswer') return { success: fields[0], matched: fields[1], sentAt: fields[2] };
  return { sentAt: fields[0], snapshot: fields[1] };
}
