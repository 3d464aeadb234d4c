/**
 * One replica of one log: follower, candidate or leader. It has no clock, disk or connection: a
 * step takes a message or the time and returns what to persist, send, install and apply. The
 * process must have synced `persist` before it sends messages of the same step.
 */
import * as random from '../shared/random';
import * as electionPace from './electionPace';
import * as log from './log';
import * as memberContacts from './memberContacts';
import * as messages from './messages';

export type State = 'follower' | 'preCandidate' | 'candidate' | 'leader';

/** Times in milliseconds. */
export interface Timing {
  heartbeat: number;
  /** Minimum time without a leader before a replica starts an election. */
  electionMin: number;
  electionMax: number;
  /**
   * Bounds of the first election timeout after a start, for logs whose users don't rely on a
   * leader's lease: a replica may then vote at once after its start. Longer than a heartbeat, so
   * that an existing leader is heard first. Without these bounds a replica waits for a whole
   * election timeout, as it may have confirmed a lease before its restart.
   */
  restart?: {
    min: number;
    max: number;
    /**
     * Bounds of the delay between attempts until the first message of a leader. An attempt that
     * found no quorum only sent pre-votes, which bind nobody; usually the other replicas are about
     * to start as well.
     */
    again: { min: number; max: number };
  };
}

export const DEFAULT_TIMING: Timing = { heartbeat: 200, electionMin: 800, electionMax: 1_200 };

/** Entries in one append request; further ones follow when it is answered. */
const MAX_BATCH_ENTRIES = 256;

/**
 * Fraction of the minimum election timeout for which a leader trusts its last quorum contact. The
 * rest allows for different clock rates of the VMs.
 */
const LEASE_FRACTION = 0.8;

interface Progress {
  next: number;
  matched: number;
  /** The leader's clock at the sending of the last answered request. */
  contactAt: number;
  /** Like `contactAt`, but without a start value: a member that never answered has none. */
  answeredAt: number;
  /** When the last request with entries was sent, if it hasn't been answered yet; 0 otherwise. */
  pendingSince: number;
}

/** Why a replica refuses a command or a change of the replica set. */
export type RefusalReason = 'notLeader' | 'noQuorumContact' | 'changeInProgress' | 'notCaughtUp';

/** Where a proposal stands in the log. */
export interface Position {
  index: number;
  term: number;
}

export class Replica {
  readonly id: string;

  state: State = 'follower';

  leader = '';

  commit: number;

  private readonly log: log.Log;

  private vote: messages.Vote;

  private readonly timing: Timing;

  private readonly random: random.Random;

  private electionAt = 0;

  private heartbeatAt = 0;

  private leaderContactAt: number;

  private leaderSince = 0;

  /** Pre-votes of the latest attempt. */
  private grantedPreVotes = new Set<string>();

  /** Votes of the current term. They count for as long as the term lasts, however late they arrive. */
  private grantedVotes = new Set<string>();

  private preVoteAt = -Infinity;

  private progress = new Map<string, Progress>();

  private readonly pace: electionPace.ElectionPace;

  private readonly contacts = new memberContacts.MemberContacts();

  private effects = messages.noEffects();

  constructor(
    id: string,
    durable: messages.DurableState,
    timing: Timing,
    source: random.Random,
    now: number,
  ) {
    this.id = id;
    this.log = new log.Log(durable.snapshot, durable.entries);
    this.vote = durable.vote;
    this.commit = durable.snapshot.index;
    this.timing = timing;
    this.pace = new electionPace.ElectionPace(timing.electionMin);
    this.random = source;
    // A restarted replica can't know when it last received a message of a leader. Counting from now
    // keeps it from helping to elect a second leader while the lease of the first, which it may
    // have confirmed, is still valid.
    this.leaderContactAt = timing.restart === undefined ? now : -Infinity;
    this.resetElection(now, timing.restart);
  }

  get term(): number {
    return this.vote.term;
  }

  get lastIndex(): number {
    return this.log.lastIndex;
  }

  /** Entries since the snapshot; the process makes a new snapshot when there are many. */
  get logLength(): number {
    return this.log.length;
  }

  /** The replica set in use: the latest in the log, committed or not. */
  get members(): messages.Member[] {
    return this.log.membersAt(this.log.lastIndex);
  }

  get voters(): messages.Member[] {
    return this.members.filter(({ role }) => role === 'voter');
  }

  /** The voters that sent something to this replica, or to the leader as that stated, since a time; itself included. */
  votersHeardSince(since: number): messages.Member[] {
    return this.voters.filter(({ id }) => {
      return id === this.id || (this.contacts.lastAt(id) ?? -Infinity) >= since;
    });
  }

  /** State that the disk must hold, for rewriting the journal. */
  get durable(): messages.DurableState {
    const entries = this.log.from(this.log.snapshot.index + 1, Infinity);
    return { vote: this.vote, snapshot: this.log.snapshot, entries };
  }

  /** Whether this replica belongs to a replica set or ever had an entry of one. */
  get isFounded(): boolean {
    return this.members.length > 0 || this.log.lastIndex > 0;
  }

  /** Makes this empty replica a founding member. Has no effect on one that is founded. */
  found(members: messages.Member[]): messages.Effects {
    if (this.isFounded) return messages.noEffects();
    const snapshot = { ...this.log.snapshot, members };
    this.log.compact(snapshot);
    this.effects.persist.push({ kind: 'snapshot', snapshot });
    return this.takeEffects();
  }

  /**
   * Advances time: starts elections, sends heartbeats and checks that the leader still has a
   * quorum.
   */
  tick(now: number): messages.Effects {
    this.pace.ticked(now);
    if (this.state === 'leader') this.tickLeader(now);
    else if (now >= this.electionAt) this.startPreVote(now);
    return this.takeEffects();
  }

  /**
   * Handles a message that was addressed to the replica `to`. One for another replica is dropped: a VM that lost its disk
   * receives messages for its former replica, and would otherwise answer them under its own id. A leader would even take
   * its own request to its former replica for that of another leader and step down. Peers of the last version don't name
   * the recipient.
   */
  receive(message: messages.Message, now: number, to: string = this.id): messages.Effects {
    if (to !== this.id || message.from === this.id) return messages.noEffects();
    this.observeTerm(message, now);
    this.contacts.heard(message.from, now);
    if (message.kind === 'voteRequest') this.handleVoteRequest(message, now);
    if (message.kind === 'voteAnswer') this.handleVoteAnswer(message, now);
    if (message.kind === 'appendRequest') this.handleAppendRequest(message, now);
    if (message.kind === 'appendAnswer') this.handleAppendAnswer(message, now);
    if (message.kind === 'snapshotRequest') this.handleSnapshotRequest(message, now);
    return this.takeEffects();
  }

  /**
   * Appends commands to the log. A command is accepted once the entry at its position is applied
   * with the same term; an entry of another term there means that the command was lost.
   */
  propose(
    commands: readonly unknown[],
    now: number,
  ): { refusal?: RefusalReason; positions: Position[]; effects: messages.Effects } {
    const refusal = this.refusalToPropose(now);
    if (refusal !== undefined) return { refusal, positions: [], effects: messages.noEffects() };
    const first = this.log.lastIndex + 1;
    const entries = commands.map((command, offset): messages.Entry => {
      return { kind: 'command', index: first + offset, term: this.term, command };
    });
    this.appendOwn(entries, now);
    const positions = entries.map(({ index, term }) => ({ index, term }));
    return { positions, effects: this.takeEffects() };
  }

  /** Replaces the replica set by one that differs in one member. */
  changeMembers(
    members: messages.Member[],
    now: number,
  ): { refusal?: RefusalReason; effects: messages.Effects } {
    const refusal = this.refusalToChange(members, now);
    if (refusal !== undefined) return { refusal, effects: messages.noEffects() };
    const index = this.log.lastIndex + 1;
    this.contacts.retain(members);
    this.appendOwn([{ kind: 'members', index, term: this.term, members }], now);
    return { effects: this.takeEffects() };
  }

  /** Whether a quorum confirmed this leader so recently that no other one can have been elected. */
  hasLease(now: number): boolean {
    return this.timing.restart === undefined && this.hasQuorumContact(now);
  }

  /**
   * Whether a quorum confirmed this leader recently. Replicas that restarted since may have elected
   * another one.
   */
  hasQuorumContact(now: number): boolean {
    return this.isInContact(now, 1);
  }

  /** A command that is accepted with an older contact may be lost, but isn't acknowledged; leases allow for nothing. */
  private isInContact(now: number, slowness: number): boolean {
    if (this.state !== 'leader' || this.log.termAt(this.commit) !== this.term) return false;
    const maxAge = this.timing.electionMin * LEASE_FRACTION * slowness;
    return now - this.quorumContactAt(now) < maxAge;
  }

  /** Sends heartbeats at once, to confirm with a quorum that this replica still leads. */
  contactQuorum(now: number): messages.Effects {
    if (this.state === 'leader') this.broadcast(now);
    return this.takeEffects();
  }

  /**
   * Whether a quorum answered a request that this leader sent at `since` or later. Then no other
   * leader can have committed anything before `since`, so the state applied here is the newest as
   * of then. Unlike the lease this doesn't depend on clocks: old answers prove nothing for a leader
   * that was suspended.
   */
  isConfirmedSince(since: number): boolean {
    if (this.state !== 'leader' || this.log.termAt(this.commit) !== this.term) return false;
    const confirming = this.voters.filter(({ id }) => {
      return id === this.id || (this.progress.get(id)?.answeredAt ?? -Infinity) >= since;
    });
    return this.isQuorum(confirming.length);
  }

  /**
   * Milliseconds since the leader or one of its predecessors last had contact with `id`. What predecessors saw counts
   * only once `id` has had the time of an election to answer this leader.
   */
  silentFor(id: string, now: number): number {
    const progress = this.progress.get(id);
    if (progress !== undefined && progress.answeredAt > -Infinity) return now - progress.answeredAt;
    const askedSince = this.contactAt(id);
    if (now - askedSince < this.timing.electionMin) return now - askedSince;
    return now - Math.min(askedSince, this.contacts.lastAt(id) ?? askedSince);
  }

  /**
   * When this leader last had contact with `id`: the sending time of the last request that `id` answered, or else when
   * it became a leader or `id` a member.
   */
  private contactAt(id: string): number {
    return this.progress.get(id)?.contactAt ?? this.leaderSince;
  }

  /** Whether `id` has everything committed. */
  isCaughtUp(id: string): boolean {
    return (this.progress.get(id)?.matched ?? 0) >= this.commit;
  }

  /** Replaces the entries up to `index` by a snapshot of the state machine. */
  compact(index: number, state: unknown): messages.Effects {
    const term = this.log.termAt(index);
    if (term === undefined || index > this.commit || index <= this.log.snapshot.index) {
      return messages.noEffects();
    }
    const snapshot = { index, term, members: this.log.membersAt(index), state };
    this.log.compact(snapshot);
    this.effects.persist.push({ kind: 'snapshot', snapshot });
    return this.takeEffects();
  }

  private takeEffects(): messages.Effects {
    const { effects } = this;
    this.effects = messages.noEffects();
    return effects;
  }

  private send(to: string, message: messages.Message): void {
    this.effects.send.push({ to, message });
  }

  private get isVoter(): boolean {
    return this.voters.some(({ id }) => id === this.id);
  }

  private get peers(): messages.Member[] {
    return this.members.filter(({ id }) => id !== this.id);
  }

  private isQuorum(count: number): boolean {
    return count * 2 > this.voters.length;
  }

  /** Factor by which this replica's timeouts grow while a quorum is slow. */
  private get slowness(): number {
    return this.pace.factor(this.id, () => this.voters.map(({ id }) => id));
  }

  private get quorumRoundTripMs(): number {
    return this.pace.quorumRoundTripMs(
      this.id,
      this.voters.map(({ id }) => id),
    );
  }

  private resetElection(now: number, bounds?: { min: number; max: number }): void {
    const { min, max } = bounds ?? { min: this.timing.electionMin, max: this.timing.electionMax };
    this.electionAt = now + (min + this.random.uniform() * (max - min)) * this.slowness;
  }

  private persistVote(vote: messages.Vote): void {
    this.vote = vote;
    this.effects.persist.push({ kind: 'vote', vote });
  }

  /** A higher term turns this replica into a follower, except in pre-votes, which bind nobody. */
  private observeTerm(message: messages.Message, now: number): void {
    if (message.term <= this.term) return;
    if (message.kind === 'voteRequest' && (message.pre || this.trustsLeader(now))) return;
    if (message.kind === 'voteAnswer' && message.pre && message.granted) return;
    this.becomeFollower(message.term, '', now);
  }

  private becomeFollower(term: number, leader: string, now: number): void {
    if (term > this.term) this.persistVote({ term, votedFor: '' });
    this.state = 'follower';
    this.leader = leader;
    this.progress.clear();
    this.resetElection(now);
  }

  /**
   * Whether to refuse votes: a follower that recently received a message of its leader does, and so
   * does a leader with a quorum. Otherwise a replica that was cut off would depose a working
   * leader, and a leader's lease would prove nothing.
   */
  private trustsLeader(now: number): boolean {
    if (this.state === 'leader') return true;
    return now - this.leaderContactAt < this.timing.electionMin * this.slowness;
  }

  /**
   * Whether this replica has received no message of a leader since its start, in a log where it may
   * therefore vote at once.
   */
  private get isFreshlyStarted(): boolean {
    return this.leaderContactAt === -Infinity;
  }

  private startPreVote(now: number): void {
    this.resetElection(now, this.isFreshlyStarted ? this.timing.restart?.again : undefined);
    this.leader = '';
    if (!this.isVoter) return;
    this.state = 'preCandidate';
    this.preVoteAt = now;
    this.grantedPreVotes = new Set([this.id]);
    this.requestVotes(true, this.term + 1, now);
    if (this.isQuorum(this.grantedPreVotes.size)) this.startElection(now);
  }

  private startElection(now: number): void {
    // Each vote takes a disk sync; a slow disk must not restart the election before the votes
    // arrive.
    const isEager = this.isFreshlyStarted && this.slowness === 1;
    this.resetElection(now, isEager ? this.timing.restart : undefined);
    this.state = 'candidate';
    this.persistVote({ term: this.term + 1, votedFor: this.id });
    this.grantedVotes = new Set([this.id]);
    this.requestVotes(false, this.term, now);
    if (this.isQuorum(this.grantedVotes.size)) this.becomeLeader(now);
  }

  private requestVotes(pre: boolean, term: number, now: number): void {
    const { lastIndex, lastTerm } = this.log;
    const request = { from: this.id, pre, term, lastIndex, lastTerm, sentAt: now };
    this.voters
      .filter(({ id }) => id !== this.id)
      .forEach(({ id }) => {
        this.send(id, { kind: 'voteRequest', ...request });
      });
  }

  private handleVoteRequest(request: messages.VoteRequest, now: number): void {
    const granted = this.mayGrant(request, now) && !this.hasElectionPriority(request, now);
    if (granted && !request.pre) {
      this.persistVote({ term: request.term, votedFor: request.from });
      this.resetElection(now);
    }
    // Only between freshly started replicas is there a priority; without one, two that yield to
    // each other would both stop.
    const isYielding = granted && request.pre && this.isFreshlyStarted;
    if (isYielding && this.state === 'preCandidate') this.state = 'follower';
    const term = granted && request.pre ? request.term : this.term;
    const { pre, sentAt } = request;
    const knowsLeader = this.trustsLeader(now);
    const answer = { from: this.id, pre, term, granted, knowsLeader, sentAt };
    this.send(request.from, { kind: 'voteAnswer', ...answer });
  }

  /**
   * Whether this replica has priority over the one that requests a pre-vote. Replicas that start
   * together, or miss their leader at the same time, request pre-votes within milliseconds; if each
   * gets them, the votes are split, and there is no leader until a further timeout has passed. So
   * among replicas with the same log the one with the lowest id goes on. It loses its priority when
   * its own pre-votes are overdue, as it may be cut off from a quorum.
   */
  private hasElectionPriority(
    { pre, from, lastIndex, lastTerm }: messages.VoteRequest,
    now: number,
  ): boolean {
    if (!pre || this.state !== 'preCandidate') return false;
    const isOverdue = now - this.preVoteAt >= this.timing.heartbeat;
    if (isOverdue && !this.isFreshlyStarted) return false;
    const isSameLog = lastTerm === this.log.lastTerm && lastIndex === this.log.lastIndex;
    return isSameLog && this.id < from;
  }

  private mayGrant(request: messages.VoteRequest, now: number): boolean {
    if (request.term < this.term || this.trustsLeader(now)) return false;
    const { lastIndex, lastTerm } = this.log;
    const isUpToDate =
      request.lastTerm > lastTerm ||
      (request.lastTerm === lastTerm && request.lastIndex >= lastIndex);
    if (!isUpToDate) return false;
    if (request.pre) return request.term > this.term;
    return this.vote.votedFor === '' || this.vote.votedFor === request.from;
  }

  private handleVoteAnswer(answer: messages.VoteAnswer, now: number): void {
    if (answer.sentAt !== undefined && this.state !== 'leader' && this.leader === '')
      this.pace.answered(answer.from, answer.sentAt, now);
    const requestedTerm = answer.pre ? this.term + 1 : this.term;
    if (
      this.state === (answer.pre ? 'preCandidate' : 'candidate') &&
      !answer.granted &&
      answer.knowsLeader &&
      this.isFreshlyStarted
    ) {
      // There is a leader, whose next message will arrive; a majority of freshly started replicas
      // would depose it without need.
      this.state = 'follower';
      this.resetElection(now);
      return;
    }
    if (!this.isAwaited(answer) || !answer.granted || answer.term !== requestedTerm) return;
    if (!this.voters.some(({ id }) => id === answer.from)) return;
    const granted = answer.pre ? this.grantedPreVotes : this.grantedVotes;
    granted.add(answer.from);
    if (!this.isQuorum(granted.size)) return;
    if (answer.pre) this.startElection(now);
    else this.becomeLeader(now);
  }

  /** Whether a vote may still help. One for the current term does also while the next attempt has only sent pre-votes. */
  private isAwaited({ pre }: messages.VoteAnswer): boolean {
    if (pre || this.state === 'candidate')
      return this.state === (pre ? 'preCandidate' : 'candidate');
    return this.state === 'preCandidate' && this.vote.votedFor === this.id;
  }

  private becomeLeader(now: number): void {
    this.state = 'leader';
    this.leader = this.id;
    this.leaderSince = now;
    this.pace.lead();
    this.progress.clear();
    this.appendOwn([{ kind: 'empty', index: this.log.lastIndex + 1, term: this.term }], now);
  }

  private tickLeader(now: number): void {
    // Quorum check: a leader that is cut off from a majority must step down; otherwise it would act
    // as the leader for as long as the partition lasts.
    if (now - this.quorumContactAt(now) > this.timing.electionMax * this.slowness) {
      this.becomeFollower(this.term, '', now);
      return;
    }
    if (now >= this.heartbeatAt) this.broadcast(now);
  }

  private quorumContactAt(now: number): number {
    const times = this.voters.map(({ id }) => (id === this.id ? now : this.contactAt(id)));
    times.sort((a, b) => b - a);
    return times[Math.floor(times.length / 2)] ?? -Infinity;
  }

  private appendOwn(entries: messages.Entry[], now: number): void {
    this.log.append(entries);
    this.effects.persist.push({ kind: 'append', entries });
    this.broadcast(now);
    this.advanceCommit();
  }

  private broadcast(now: number): void {
    this.heartbeatAt = now + this.timing.heartbeat;
    this.peers.forEach(({ id }) => this.sendAppend(id, now, true));
  }

  private progressOf(id: string, now: number): Progress {
    const existing = this.progress.get(id);
    if (existing !== undefined) return existing;
    const initial = {
      next: this.log.lastIndex + 1,
      matched: 0,
      // The silence of a member counts from now, not from before it was a member.
      contactAt: now,
      answeredAt: -Infinity,
      pendingSince: 0,
    };
    this.progress.set(id, initial);
    return initial;
  }

  /**
   * Sends the entries that `id` lacks; while a batch is pending, only a heartbeat without entries.
   */
  private sendAppend(id: string, now: number, isHeartbeat: boolean): void {
    const progress = this.progressOf(id, now);
    const isPending =
      progress.pendingSince > 0 && now - progress.pendingSince < this.timing.electionMin;
    if (isPending && !isHeartbeat) return;
    const previousTerm = this.log.termAt(progress.next - 1);
    if (previousTerm === undefined) {
      if (!isPending) this.sendSnapshot(id, progress, now);
      return;
    }
    const entries = isPending ? [] : this.log.from(progress.next, MAX_BATCH_ENTRIES);
    if (entries.length > 0) progress.pendingSince = now;
    const silences = this.silences(now);
    const quorumRoundTripMs = this.slowness > 1 ? this.quorumRoundTripMs : undefined;
    this.send(id, {
      kind: 'appendRequest',
      from: this.id,
      term: this.term,
      previousIndex: progress.next - 1,
      previousTerm,
      entries,
      commit: this.commit,
      sentAt: now,
      ...(silences.length > 0 && { silences }),
      ...(quorumRoundTripMs !== undefined && { quorumRoundTripMs }),
    });
  }

  /** Members that have been silent for longer than an election takes. */
  private silences(now: number): messages.Silence[] {
    return this.peers
      .map(({ id }) => ({ id, ms: this.silentFor(id, now) }))
      .filter(({ ms }) => ms >= this.timing.electionMin);
  }

  private sendSnapshot(id: string, progress: Progress, now: number): void {
    progress.pendingSince = now;
    const { snapshot } = this.log;
    const { term } = this;
    this.send(id, { kind: 'snapshotRequest', from: this.id, term, snapshot, sentAt: now });
  }

  private handleAppendRequest(request: messages.AppendRequest, now: number): void {
    const { from, sentAt } = request;
    const answer = (success: boolean, matched: number): void => {
      const { term } = this;
      this.send(from, { kind: 'appendAnswer', from: this.id, term, success, matched, sentAt });
    };
    if (request.term < this.term) {
      this.stateTerm(from, now);
      return;
    }
    this.pace.follow(request.quorumRoundTripMs ?? 0);
    this.followLeader(from, now);
    this.contacts.stated(from, this.members, request.silences ?? [], now);
    // Everything that the snapshot covers is committed and therefore equal at any leader.
    const isCovered = request.previousIndex < this.log.snapshot.index;
    const ownTerm = this.log.termAt(request.previousIndex);
    if (!isCovered && ownTerm !== request.previousTerm) {
      answer(false, Math.min(this.log.lastIndex, request.previousIndex - 1));
      return;
    }
    this.storeEntries(request.entries);
    const matched = request.previousIndex + request.entries.length;
    this.advanceTo(Math.min(request.commit, matched));
    answer(true, matched);
  }

  /**
   * Tells the sender of a request of an earlier term which term it is. Not by an answer to the request: the sender may have
   * been restarted since and lead this term, on a clock that began anew, so that it would take the answer for a contact.
   */
  private stateTerm(to: string, now: number): void {
    const { id: from, term } = this;
    const knowsLeader = this.trustsLeader(now);
    this.send(to, { kind: 'voteAnswer', from, pre: true, term, granted: false, knowsLeader });
  }

  private followLeader(leader: string, now: number): void {
    if (this.state !== 'follower' || this.leader !== leader) {
      this.becomeFollower(this.term, leader, now);
    }
    this.leaderContactAt = now;
    this.resetElection(now);
  }

  private storeEntries(entries: readonly messages.Entry[]): void {
    const conflict = entries.find(
      ({ index, term }) => index > this.log.snapshot.index && this.log.termAt(index) !== term,
    );
    if (conflict === undefined) return;
    if (conflict.index <= this.log.lastIndex) {
      this.log.truncate(conflict.index);
      this.effects.persist.push({ kind: 'truncate', from: conflict.index });
    }
    const newEntries = entries.filter(({ index }) => index >= conflict.index);
    this.log.append(newEntries);
    this.effects.persist.push({ kind: 'append', entries: newEntries });
  }

  private handleAppendAnswer(answer: messages.AppendAnswer, now: number): void {
    if (this.state !== 'leader' || answer.term !== this.term) return;
    if (!this.members.some(({ id }) => id === answer.from)) return;
    // Replicas of earlier versions answer requests of this leader's former process, too.
    if (answer.sentAt < this.leaderSince || answer.sentAt > now) return;
    const progress = this.progressOf(answer.from, now);
    this.pace.answered(answer.from, answer.sentAt, now);
    progress.contactAt = Math.max(progress.contactAt, answer.sentAt);
    progress.answeredAt = Math.max(progress.answeredAt, answer.sentAt);
    if (answer.sentAt >= progress.pendingSince) progress.pendingSince = 0;
    if (answer.success) {
      progress.matched = Math.max(progress.matched, answer.matched);
      progress.next = Math.max(progress.next, progress.matched + 1);
      this.advanceCommit();
    } else {
      progress.next = Math.max(progress.matched + 1, Math.min(progress.next, answer.matched + 1));
      progress.pendingSince = 0;
    }
    if (progress.next <= this.log.lastIndex) this.sendAppend(answer.from, now, false);
  }

  /**
   * Commits what a quorum has. Only entries of this term count; earlier ones are committed with
   * them.
   */
  private advanceCommit(): void {
    const matched = this.voters.map(({ id }) =>
      id === this.id ? this.log.lastIndex : (this.progress.get(id)?.matched ?? 0),
    );
    matched.sort((a, b) => b - a);
    const quorumIndex = matched[Math.floor(matched.length / 2)] ?? 0;
    if (quorumIndex > this.commit && this.log.termAt(quorumIndex) === this.term)
      this.advanceTo(quorumIndex);
  }

  private advanceTo(commit: number): void {
    if (commit <= this.commit) return;
    const entries = this.log.from(this.commit + 1, commit - this.commit);
    this.commit += entries.length;
    this.effects.apply.push(...entries);
  }

  private handleSnapshotRequest(request: messages.SnapshotRequest, now: number): void {
    const { snapshot, from, sentAt } = request;
    if (request.term < this.term) return;
    this.followLeader(from, now);
    // A snapshot that is older than the applied state must not replace it, as settings would
    // revert.
    if (snapshot.index > this.commit) {
      this.log.compact(snapshot);
      this.commit = snapshot.index;
      this.effects.persist.push({ kind: 'snapshot', snapshot });
      this.effects.install = snapshot;
    }
    const matched = snapshot.index;
    const { term } = this;
    this.send(from, { kind: 'appendAnswer', from: this.id, term, success: true, matched, sentAt });
  }

  private refusalToPropose(now: number): RefusalReason | undefined {
    if (this.state !== 'leader') return 'notLeader';
    return this.isInContact(now, this.slowness) ? undefined : 'noQuorumContact';
  }

  private refusalToChange(members: messages.Member[], now: number): RefusalReason | undefined {
    const refusal = this.refusalToPropose(now);
    if (refusal !== undefined) return refusal;
    // Two concurrent changes could form two disjoint quorums.
    if (this.log.membersIndex > this.commit) return 'changeInProgress';
    const promoted = members.filter(({ id, role }) => {
      const before = this.members.find((member) => member.id === id);
      return role === 'voter' && before?.role !== 'voter';
    });
    return promoted.every(({ id }) => this.isCaughtUp(id)) ? undefined : 'notCaughtUp';
  }
}
