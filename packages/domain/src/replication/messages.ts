/**
 * Messages between the replicas of one log, and their state on disk. The protocol is Raft: a
 * leader-based replicated log with terms, pre-vote and changes of one member at a time, after
 * Ongaro's dissertation (2014).
 */

/** A voter counts for the quorum; a learner only receives entries until it has all of them. */
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
  /** Opaque to replication; interpreted by the state machine. */
  command: unknown;
}

export interface MembersEntry {
  kind: 'members';
  index: number;
  term: number;
  members: Member[];
}

/** A new leader's first entry; committing it commits the entries of earlier terms. */
export interface EmptyEntry {
  kind: 'empty';
  index: number;
  term: number;
}

export type Entry = CommandEntry | MembersEntry | EmptyEntry;

/** State of the state machine after `index`, with the replica set at that index. */
export interface Snapshot {
  index: number;
  term: number;
  members: Member[];
  state: unknown;
}

/** Raft's hard state, which must survive a crash, besides the entries. */
export interface Vote {
  term: number;
  votedFor: string;
}

export interface VoteRequest {
  kind: 'voteRequest';
  from: string;
  /** A pre-vote doesn't raise terms, so a returning replica can't depose a leader. */
  pre: boolean;
  term: number;
  lastIndex: number;
  lastTerm: number;
  /** The sender's clock, echoed in the answer to measure the round trip; absent from peers of the last version. */
  sentAt?: number;
}

export interface VoteAnswer {
  kind: 'voteAnswer';
  from: string;
  pre: boolean;
  term: number;
  granted: boolean;
  /** Whether the answering replica leads, or recently received a message of the leader. */
  knowsLeader: boolean;
  sentAt?: number;
}

/** How long a member has been silent towards the leader. */
export interface Silence {
  id: string;
  ms: number;
}

export interface AppendRequest {
  kind: 'appendRequest';
  from: string;
  term: number;
  previousIndex: number;
  previousTerm: number;
  entries: Entry[];
  commit: number;
  /**
   * The leader's clock at sending. It is echoed in the answer, so that the lease starts at the
   * sending.
   */
  sentAt: number;
  /**
   * Members that the leader hasn't heard for longer than an election takes; absent if there are none, and from leaders
   * of the last version.
   */
  silences?: Silence[];
  /** Time in which a quorum answers, if it exceeds what the timing allows for, so that followers wait accordingly. */
  quorumRoundTripMs?: number;
}

export interface AppendAnswer {
  kind: 'appendAnswer';
  from: string;
  term: number;
  success: boolean;
  /** Last index known to match, or after a mismatch the index to continue from. */
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

/** A record that must be on disk before the messages of the same step are sent. */
export type StorageRecord =
  | { kind: 'vote'; vote: Vote }
  | { kind: 'append'; entries: Entry[] }
  | { kind: 'truncate'; from: number }
  | { kind: 'snapshot'; snapshot: Snapshot };

/** State of a replica on disk after the replay of its journal. */
export interface DurableState {
  vote: Vote;
  snapshot: Snapshot;
  entries: Entry[];
}

/** Effects of a step, to be carried out in this order: persist, send, install, apply. */
export interface Effects {
  persist: StorageRecord[];
  send: { to: string; message: Message }[];
  /** Snapshot that replaces the state of the state machine. */
  install: Snapshot | undefined;
  /** Entries newly committed, in order. */
  apply: Entry[];
}

export function noEffects(): Effects {
  return { persist: [], send: [], install: undefined, apply: [] };
}

/** Whether a step has no effects. */
export function isEmpty(effects: Effects): boolean {
  const { persist, send, install, apply } = effects;
  return persist.length + send.length + apply.length === 0 && install === undefined;
}

/** The log of a new data folder: empty, in no replica set. */
export function emptyDurable(): DurableState {
  return {
    vote: { term: 0, votedFor: '' },
    snapshot: { index: 0, term: 0, members: [], state: undefined },
    entries: [],
  };
}
