/**
 * What replicas of one log keep and say to each other. The protocol is a leader-based replicated
 * log with terms, pre-vote and one-at-a-time changes of the replica set, after Ongaro's
 * dissertation on Raft (2014).
 */

/** A voter counts for the quorum; a learner only receives entries until it holds them all. */
export type Role = 'voter' | 'learner';

/** One member of the replica set. The id belongs to the data folder, not to the VM. */
export interface Member {
  id: string;
  address: string;
  dataCentre: string;
  role: Role;
}

export interface CommandEntry {
  kind: 'command';
  index: number;
  term: number;
  /** Opaque to replication; the state machine reads it. */
  command: unknown;
}

export interface MembersEntry {
  kind: 'members';
  index: number;
  term: number;
  members: Member[];
}

/** A new leader's first entry; it commits what earlier terms left. */
export interface EmptyEntry {
  kind: 'empty';
  index: number;
  term: number;
}

export type Entry = CommandEntry | MembersEntry | EmptyEntry;

/** State of the machine after `index`, with the replica set as of then. */
export interface Snapshot {
  index: number;
  term: number;
  members: Member[];
  state: unknown;
}

/** The part of a replica's state that must survive a crash, besides entries. */
export interface Vote {
  term: number;
  votedFor: string;
}

export interface VoteRequest {
  kind: 'voteRequest';
  from: string;
  /** A pre-vote asks without raising terms, so a returning replica can't depose a leader. */
  pre: boolean;
  term: number;
  lastIndex: number;
  lastTerm: number;
}

export interface VoteAnswer {
  kind: 'voteAnswer';
  from: string;
  pre: boolean;
  term: number;
  granted: boolean;
  /** Whether the answering replica leads, or heard the leader lately. */
  knowsLeader: boolean;
}

export interface AppendRequest {
  kind: 'appendRequest';
  from: string;
  term: number;
  previousIndex: number;
  previousTerm: number;
  entries: Entry[];
  commit: number;
  /** The leader's clock when it sent this; echoed, so that its lease starts at the sending. */
  sentAt: number;
}

export interface AppendAnswer {
  kind: 'appendAnswer';
  from: string;
  term: number;
  success: boolean;
  /** Last index known to match, or where to go on from after a mismatch. */
  matched: number;
  sentAt: number;
}

export interface SnapshotRequest {
  kind: 'snapshotRequest';
  from: string;
  term: number;
  snapshot: Snapshot;
  sentAt: number;
}

export type Message = VoteRequest | VoteAnswer | AppendRequest | AppendAnswer | SnapshotRequest;

/** Something that must be on disk before the messages of the same step leave. */
export type Record =
  | { kind: 'vote'; vote: Vote }
  | { kind: 'append'; entries: Entry[] }
  | { kind: 'truncate'; from: number }
  | { kind: 'snapshot'; snapshot: Snapshot };

/** What a replica holds on its disk after replay. */
export interface Durable {
  vote: Vote;
  snapshot: Snapshot;
  entries: Entry[];
}

/** What a step asks of the process around it, in this order: persist, send, install, apply. */
export interface Effects {
  persist: Record[];
  send: { to: string; message: Message }[];
  /** State that replaces the machine's. */
  install: Snapshot | undefined;
  /** Entries newly committed, in order. */
  apply: Entry[];
}

export function noEffects(): Effects {
  return { persist: [], send: [], install: undefined, apply: [] };
}

/** Whether a step asks for nothing. */
export function isEmpty(effects: Effects): boolean {
  const { persist, send, install, apply } = effects;
  return persist.length + send.length + apply.length === 0 && install === undefined;
}

/** What a new data folder holds of a log: nothing, in no replica set. */
export function emptyDurable(): Durable {
  return {
    vote: { term: 0, votedFor: '' },
    snapshot: { index: 0, term: 0, members: [], state: undefined },
    entries: [],
  };
}
