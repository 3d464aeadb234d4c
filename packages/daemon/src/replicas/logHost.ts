/**
 * Runs one replica of one log. Each batch processes the queued messages, ticks and proposals, persists
 * their records with one write and sync, and only then sends messages, installs snapshots and applies
 * entries. Input that arrives during a sync forms the next batch, so one sync serves many proposals
 * (group commit).
 */
import * as domain from '@celerydrift/domain';
import { Err, Ok, Result } from 'ts-results';
import * as clock from '../clock';
import type * as observer from '../observability/observer';
import type * as journal from '../storage/journal';
import type * as errors from './errors';
import * as stateMachine from './stateMachine';

type Replica = domain.replication.replica.Replica;
type Effects = domain.replication.messages.Effects;
type Message = domain.replication.messages.Message;

export interface AppliedCommand {
  index: number;
  /** Result that the state machine returned for the command. */
  answer: unknown;
}

export interface Dependencies {
  id: string;
  replica: Replica;
  journal: journal.Journal;
  machine: stateMachine.StateMachine;
  send: (address: string, to: string, message: Message) => void;
  now: () => number;
  observer: observer.Observer;
  /** Recreates the replica from its durable state. */
  reopen: (durable: domain.replication.messages.DurableState) => Replica;
  /** Log length in entries at which the log is compacted into a snapshot; undefined for the default. */
  snapshotIntervalEntries: number | undefined;
  /**
   * Called when the disk lost synced data, or with an `UnknownCommand` of the state machine; the process must exit.
   */
  onDiskFailure: (error: unknown) => void;
}

interface Proposal {
  command: unknown;
  resolve: (result: Result<AppliedCommand, errors.LogError>) => void;
  /** Term of the entry that holds the command; 0 until it is appended to the log. */
  term: number;
}

/** Log length in entries at which the log is compacted into a snapshot. */
const SNAPSHOT_INTERVAL_ENTRIES = 4_096;

/** Pause between attempts to recover the journal after a failed write, milliseconds. */
const RECOVERY_RETRY_MS = 250;

/**
 * Urgent leadership checks within this time share one round of the quorum, milliseconds. After a power loss of
 * the whole fleet, each of two hundred entry processes requests one within a few tenths of a second, and one round
 * answers them as well as two hundred would.
 */
const QUORUM_CHECK_BATCH_MS = 10;

/** A leadership check without a result by then is answered negatively, milliseconds. */
const LEADERSHIP_CHECK_TIMEOUT_MS = 700;

const PROPOSAL_TIMEOUT_MS = 5_000;

interface LeadershipCheck {
  /** Time from which a quorum must have confirmed the leadership. */
  since: number;
  resolve: (confirmed: boolean) => void;
}

interface Founding {
  /** Whether the batch in progress, or the next one that is synced, contains it. */
  isApplied: boolean;
  resolve: (isFounded: boolean) => void;
}

/** A message, tick or call for the replica, run at the time of its batch. */
type Input = (now: number) => Effects;

export class LogHost {
  readonly id: string;

  replica: Replica;

  private readonly inputs: Input[] = [];

  private proposals: Proposal[] = [];

  /** Proposals appended to the log, by index, until their entry is applied. */
  private readonly pending = new Map<number, Proposal>();

  private isProcessing = false;

  private appliedIndex: number;

  private lastLoggedState = '';

  private foundings: Founding[] = [];

  private leadershipChecks: LeadershipCheck[] = [];

  private quorumCheckTimer: NodeJS.Timeout | undefined;

  /** Whether no input is processed, because the journal is being recovered or a command is unknown. */
  private isRecovering = false;

  private isClosed = false;

  /** Peer addresses from which replicas sent messages, by replica id. */
  private readonly senderAddresses = new Map<string, string>();

  constructor(private readonly dependencies: Dependencies) {
    this.id = dependencies.id;
    this.replica = dependencies.replica;
    this.appliedIndex = dependencies.replica.commit;
  }

  tick(): void {
    this.enqueue((now) => this.replica.tick(now));
  }

  /** Queues a message to the replica `to`, received from the peer address `from`. */
  receive(message: Message, from: string, to: string | undefined): void {
    this.senderAddresses.set(message.from, from);
    this.enqueue((now) => this.replica.receive(message, now, to));
  }

  /** Proposes a command; resolves with the state machine's answer once it is applied here. */
  propose(command: unknown): Promise<Result<AppliedCommand, errors.LogError>> {
    return new Promise((resolve) => {
      const timer = setTimeout(() => resolve(this.error('timeout')), PROPOSAL_TIMEOUT_MS);
      const settle = (result: Result<AppliedCommand, errors.LogError>): void => {
        clearTimeout(timer);
        resolve(result);
      };
      this.proposals.push({ command, resolve: settle, term: 0 });
      void this.processQueue();
    });
  }

  /**
   * Whether this replica still leads and holds the latest state as of now. An urgent check starts a round
   * of the quorum within milliseconds; any other waits for the next heartbeat.
   */
  confirmLeadership(urgent: boolean): Promise<boolean> {
    return new Promise((resolve) => {
      const timer = setTimeout(() => resolve(false), LEADERSHIP_CHECK_TIMEOUT_MS);
      const settle = (confirmed: boolean): void => {
        clearTimeout(timer);
        resolve(confirmed);
      };
      this.enqueue((now) => {
        this.leadershipChecks.push({ since: now, resolve: settle });
        return domain.replication.messages.noEffects();
      });
      if (urgent) this.scheduleQuorumCheck();
    });
  }

  private scheduleQuorumCheck(): void {
    this.quorumCheckTimer ??= setTimeout(() => {
      this.quorumCheckTimer = undefined;
      this.enqueue((now) => this.replica.contactQuorum(now));
    }, QUORUM_CHECK_BATCH_MS);
  }

  /**
   * Proposes a new set of members. `onAccepted` runs when the change enters the log; callers see from the
   * replica's members when it is committed.
   */
  changeMembers(members: domain.replication.messages.Member[], onAccepted: () => void): void {
    this.enqueue((now) => {
      const { refusal, effects } = this.replica.changeMembers(members, now);
      if (refusal === undefined) onAccepted();
      return effects;
    });
  }

  /**
   * Makes this replica a founding member. Resolves with true once that is synced to disk, and with false if it can't be
   * written; then it may be tried again.
   */
  found(members: domain.replication.messages.Member[]): Promise<boolean> {
    return new Promise((resolve) => {
      const founding: Founding = { isApplied: false, resolve };
      this.foundings.push(founding);
      this.enqueue(() => {
        founding.isApplied = true;
        return this.replica.found(members);
      });
    });
  }

  get isLeader(): boolean {
    return this.replica.state === 'leader';
  }

  /** Whether reads of the local state machine are linearizable: the lease holds and all commits are applied. */
  hasFreshState(): boolean {
    return (
      this.replica.hasLease(this.dependencies.now()) && this.appliedIndex === this.replica.commit
    );
  }

  /** Whether a quorum confirmed so recently that this replica leads that it wasn't frozen since. */
  hasQuorumContact(): boolean {
    return this.replica.hasQuorumContact(this.dependencies.now());
  }

  /** Peer address of the leader that this replica knows, or empty. */
  get leaderAddress(): string {
    const { leader, members } = this.replica;
    return members.find(({ id }) => id === leader)?.address ?? '';
  }

  async close(): Promise<void> {
    // A write in progress fails when the journal closes; a closed host must not retry its recovery forever.
    this.isClosed = true;
    clearTimeout(this.quorumCheckTimer);
    while (this.isProcessing) {
      await new Promise((resolve) => {
        setImmediate(resolve);
      });
    }
    await this.dependencies.journal.close();
  }

  private enqueue(input: Input): void {
    this.inputs.push(input);
    void this.processQueue();
  }

  private async processQueue(): Promise<void> {
    if (this.isProcessing || this.isRecovering) return;
    this.isProcessing = true;
    try {
      while (this.inputs.length > 0 || this.proposals.length > 0) await this.processBatch();
    } catch (error) {
      if (error instanceof stateMachine.UnknownCommand) {
        this.stopAt(error);
        return;
      }
      this.dependencies.observer.log('diskRefused', { log: this.id, detail: String(error) });
      void this.recover();
    } finally {
      this.isProcessing = false;
    }
  }

  /** Stops for good: nothing more is applied, answered or written to a snapshot. */
  private stopAt(error: stateMachine.UnknownCommand): void {
    this.isRecovering = true;
    this.rejectPending();
    this.dependencies.observer.log('commandUnknown', { log: this.id, detail: error.message });
    this.dependencies.onDiskFailure(error);
  }

  /**
   * A full disk refuses writes for a while. The effects of the failed batch were never sent, so the replica
   * is recreated from disk and stays silent until a write succeeds; if it led, another leader is elected.
   */
  private async recover(): Promise<void> {
    this.isRecovering = true;
    this.rejectPending();
    while (this.isRecovering && !this.isClosed) {
      await clock.sleep(RECOVERY_RETRY_MS);
      this.rejectPending();
      const recovered = await this.dependencies.journal.recover().catch(() => undefined);
      if (recovered?.err === true) {
        this.dependencies.onDiskFailure(recovered.val);
        return;
      }
      if (recovered === undefined) continue;
      const durable = recovered.val ?? domain.replication.messages.emptyDurable();
      this.replica = this.dependencies.reopen(durable);
      this.isRecovering = false;
      this.dependencies.observer.log('diskAccepted', {
        log: this.id,
        entries: durable.entries.length,
      });
    }
    void this.processQueue();
  }

  private rejectPending(): void {
    this.inputs.length = 0;
    this.proposals.splice(0).forEach(({ resolve }) => resolve(this.error('notLeader')));
    this.pending.forEach(({ resolve }) => resolve(this.error('lost')));
    this.pending.clear();
    this.leadershipChecks.splice(0).forEach(({ resolve }) => resolve(false));
    this.foundings.splice(0).forEach(({ resolve }) => resolve(false));
  }

  private async processBatch(): Promise<void> {
    const now = this.dependencies.now();
    const effects = this.inputs.splice(0).map((input) => input(now));
    if (this.proposals.length > 0) effects.push(this.proposeAll(now));
    effects.push(this.compact());
    await this.persist(effects.flatMap(({ persist }) => persist));
    this.logStateChange();
    const founded = this.foundings.filter(({ isApplied }) => isApplied);
    this.foundings = this.foundings.filter(({ isApplied }) => !isApplied);
    founded.forEach(({ resolve }) => resolve(true));
    effects.forEach((each) => this.applyEffects(each));
    this.settleLeadershipChecks();
  }

  private settleLeadershipChecks(): void {
    if (this.leadershipChecks.length === 0) return;
    const stillLeads = this.isLeader;
    const settled = this.leadershipChecks.filter(
      ({ since }) => !stillLeads || this.replica.isConfirmedSince(since),
    );
    if (settled.length === 0) return;
    this.leadershipChecks = this.leadershipChecks.filter((each) => !settled.includes(each));
    settled.forEach(({ resolve }) => resolve(stillLeads));
  }

  private proposeAll(now: number): Effects {
    const proposals = this.proposals.splice(0);
    const commands = proposals.map(({ command }) => command);
    const { refusal, positions, effects } = this.replica.propose(commands, now);
    proposals.forEach((proposal, i) => {
      const position = positions[i];
      if (position === undefined) proposal.resolve(this.error(refusal ?? 'notLeader'));
      else this.pending.set(position.index, { ...proposal, term: position.term });
    });
    return effects;
  }

  private compact(): Effects {
    if (
      this.replica.logLength <
      (this.dependencies.snapshotIntervalEntries ?? SNAPSHOT_INTERVAL_ENTRIES)
    ) {
      return domain.replication.messages.noEffects();
    }
    const effects = this.replica.compact(this.appliedIndex, this.dependencies.machine.snapshot());
    if (effects.persist.length > 0) {
      this.dependencies.observer.log('snapshotMade', { log: this.id, index: this.appliedIndex });
    }
    return effects;
  }

  private async persist(records: domain.replication.messages.StorageRecord[]): Promise<void> {
    if (records.length === 0) return;
    const appendable = records.filter((record) => record.kind !== 'snapshot');
    const needsRewrite = appendable.length < records.length;
    if (needsRewrite) await this.dependencies.journal.rewrite(this.replica.durable);
    else await this.dependencies.journal.append(appendable);
    this.dependencies.observer.count(`log.${this.id}.syncs`);
  }

  private applyEffects({ send, install, apply }: Effects): void {
    send.forEach(({ to, message }) => {
      const address = this.addressOf(to);
      if (address !== undefined) this.dependencies.send(address, to, message);
    });
    if (install !== undefined) this.install(install);
    apply.forEach((entry) => this.apply(entry));
  }

  /** A learner must answer before its log contains the members, so it falls back to the sender's address. */
  private addressOf(id: string): string | undefined {
    const member = this.replica.members.find((each) => each.id === id);
    return member?.address ?? this.senderAddresses.get(id);
  }

  private install(snapshot: domain.replication.messages.Snapshot): void {
    this.dependencies.machine.restore(snapshot.state);
    this.appliedIndex = snapshot.index;
    this.dependencies.observer.log('snapshotInstalled', { log: this.id, index: snapshot.index });
  }

  private apply(entry: domain.replication.messages.Entry): void {
    if (entry.index <= this.appliedIndex) return;
    this.appliedIndex = entry.index;
    const answer =
      entry.kind === 'command'
        ? this.dependencies.machine.apply(entry.command, entry.index)
        : undefined;
    const proposal = this.pending.get(entry.index);
    if (proposal === undefined) return;
    this.pending.delete(entry.index);
    const isOwnProposal = proposal.term === entry.term;
    proposal.resolve(isOwnProposal ? Ok({ index: entry.index, answer }) : this.error('lost'));
  }

  private error(kind: errors.Kind): Err<errors.LogError> {
    return Err({ kind, log: this.id, leader: this.leaderAddress });
  }

  private logStateChange(): void {
    const { state, term } = this.replica;
    if (state === this.lastLoggedState) return;
    this.lastLoggedState = state;
    this.dependencies.observer.log('replicaRole', { log: this.id, state, term });
  }
}
