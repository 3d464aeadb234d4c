/**
 * Encodes replication messages as arrays rather than objects: heartbeats make up most of an idle fleet's
 * traffic, and field names would make up most of a heartbeat.
 */
import type * as domain from '@celerydrift/domain';
import * as t from 'io-ts';

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

export const MEMBERS = t.array(
  t.type({
    id: t.string,
    address: t.string,
    dataCentre: t.string,
    role: t.keyof({ voter: null, learner: null }),
  }),
);

const POSITION = { index: t.number, term: t.number };

const ENTRY = t.union([
  t.type({ kind: t.literal('command'), ...POSITION }),
  t.type({ kind: t.literal('members'), ...POSITION, members: MEMBERS }),
  t.type({ kind: t.literal('empty'), ...POSITION }),
]);

/** The fields of each kind; a replica that got another value would fail midway through its batch. */
const FIELDS: Record<Message['kind'], t.Mixed> = {
  voteRequest: t.type({ pre: t.boolean, lastIndex: t.number, lastTerm: t.number }),
  voteAnswer: t.type({ pre: t.boolean, granted: t.boolean }),
  appendRequest: t.intersection([
    t.type({
      previousIndex: t.number,
      previousTerm: t.number,
      commit: t.number,
      sentAt: t.number,
      entries: t.array(ENTRY),
    }),
    t.partial({
      silences: t.array(t.type({ id: t.string, ms: t.number })),
      quorumRoundTripMs: t.number,
    }),
  ]),
  appendAnswer: t.type({ success: t.boolean, matched: t.number, sentAt: t.number }),
  snapshotRequest: t.type({
    sentAt: t.number,
    snapshot: t.type({ ...POSITION, members: MEMBERS }),
  }),
};

function isMessage(message: { kind: Message['kind'] }): message is Message {
  return FIELDS[message.kind].is(message);
}

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
  const message = { kind, from, term, ...unpackFields(kind, fields) };
  return isMessage(message) ? message : undefined;
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
