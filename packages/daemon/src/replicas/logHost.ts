/**
 * Runs one replica of one log: takes messages, ticks and proposals in turn, syncs what they ask to
 * persist in one write, then sends, installs and applies. Everything that arrives during a sync is
 * taken together after it, so one sync serves many proposals (group commit).
 */
import * as domain from '@celerydrift/domain';
import { Err, Ok, Result } from 'ts-results';
import * as clock from '../clock';
import type * as observer from '../observability/observer';
import type * as journal from '../storage/journal';
import type * as errors from './errors';
import type * as machine from './machine';

type Replica = domain.replication.replica.Replica;
type Effects = domain.replication.messages.Effects;
type Message = domain.replication.messages.Message;

export interface Applied {
  index: number;
  answer: unknown;
}

export interface Parts {
  id: string;
  replica: Replica;
  journal: journal.Journal;
  machine: machine.Machine;
  send: (address: string, message: Message) => void;
  now: () => number;
  observer: observer.Observer;
  /** Makes the replica again from what the disk holds. */
  reopen: (durable: domain.replication.messages.Durable) => Replica;
  /** Entries kept before a snapshot replaces them. */
  snapshotEvery: number | undefined;
  /** Called when the disk lost what it had synced; the process must not go on. */
  onDiskFailure: (error: unknown) => void;
}

interface Proposal {
  command: unknown;
  resolve: (result: Result<Applied, errors.LogError>) => void;
  term: number;
}

/** Entries kept before a snapshot replaces them. */
const SNAPSHOT_EVERY = 4_096;

/** Pause before a disk that refused a write is tried again, milliseconds. */
const RECOVER_EVERY_MS = 250;

/**
 * Urgent questions whether this replica still leads are gathered for so long, milliseconds. After a loss of all, each of
 * two hundred entries asks within some tenths of a second, and one round of the quorum answers them as well as two hundred.
 */
const GATHER_URGENT_MS = 10;

/** How long the question whether this replica still leads may stay open, milliseconds. */
const CONFIRM_TIMEOUT_MS = 700;

const PROPOSAL_TIMEOUT_MS = 5_000;

interface Confirmation {
  since: number;
  resolve: (confirmed: boolean) => void;
}

type Input = (now: number) => Effects;

export class LogHost {
  readonly id: string;

  replica: Replica;

  private readonly inputs: Input[] = [];

  private proposals: Proposal[] = [];

  private readonly pending = new Map<number, Proposal>();

  private running = false;

  private applied: number;

  private lastState = '';

  private founded: (() => void) | undefined;

  private confirmations: Confirmation[] = [];

  private asking: NodeJS.Timeout | undefined;

  private recovering = false;

  private isClosed = false;

  private readonly addresses = new Map<string, string>();

  constructor(private readonly parts: Parts) {
    this.id = parts.id;
    this.replica = parts.replica;
    this.applied = parts.replica.commit;
  }

  tick(): void {
    this.put((now) => this.replica.tick(now));
  }

  /** Takes a message that came from the peer address `from`. */
  receive(message: Message, from: string): void {
    this.addresses.set(message.from, from);
    this.put((now) => this.replica.receive(message, now));
  }

  /** Proposes a command; resolves when it is applied here, with the machine's answer. */
  propose(command: unknown): Promise<Result<Applied, errors.LogError>> {
    return new Promise((resolve) => {
      const timer = setTimeout(() => resolve(this.error('timeout')), PROPOSAL_TIMEOUT_MS);
      const settle = (result: Result<Applied, errors.LogError>): void => {
        clearTimeout(timer);
        resolve(result);
      };
      this.proposals.push({ command, resolve: settle, term: 0 });
      void this.run();
    });
  }

  /**
   * Whether this replica still leads and holds the newest state as of now. An urgent question asks the
   * quorum soon; any other waits for the next heartbeat.
   */
  confirm(urgent: boolean): Promise<boolean> {
    return new Promise((resolve) => {
      const timer = setTimeout(() => resolve(false), CONFIRM_TIMEOUT_MS);
      const settle = (confirmed: boolean): void => {
        clearTimeout(timer);
        resolve(confirmed);
      };
      this.put((now) => {
        this.confirmations.push({ since: now, resolve: settle });
        return domain.replication.messages.noEffects();
      });
      if (urgent) this.askSoon();
    });
  }

  private askSoon(): void {
    this.asking ??= setTimeout(() => {
      this.asking = undefined;
      this.put((now) => this.replica.askQuorum(now));
    }, GATHER_URGENT_MS);
  }

  /** Proposes another replica set; the step is done when a later look shows it committed. */
  changeMembers(members: domain.replication.messages.Member[], onTaken: () => void): void {
    this.put((now) => {
      const { refusal, effects } = this.replica.changeMembers(members, now);
      if (refusal === undefined) onTaken();
      return effects;
    });
  }

  /** Makes this replica a founding member; resolves once that is on disk. */
  async found(members: domain.replication.messages.Member[]): Promise<void> {
    await new Promise<void>((resolve) => {
      this.founded = resolve;
      this.put(() => this.replica.found(members));
    });
  }

  get isLeader(): boolean {
    return this.replica.state === 'leader';
  }

  /** Whether reads of the machine here are as fresh as any. */
  hasFreshState(): boolean {
    return this.replica.hasLease(this.parts.now()) && this.applied === this.replica.commit;
  }

  /** Peer address of the leader that this replica follows, or empty. */
  get leaderAddress(): string {
    const { leader, members } = this.replica;
    return members.find(({ id }) => id === leader)?.address ?? '';
  }

  async close(): Promise<void> {
    // A write under way fails when the journal closes; nothing must be recovered for that, for ever, in a closed host.
    this.isClosed = true;
    clearTimeout(this.asking);
    while (this.running) {
      await new Promise((resolve) => {
        setImmediate(resolve);
      });
    }
    await this.parts.journal.close();
  }

  private put(input: Input): void {
    this.inputs.push(input);
    void this.run();
  }

  private async run(): Promise<void> {
    if (this.running || this.recovering) return;
    this.running = true;
    try {
      while (this.inputs.length > 0 || this.proposals.length > 0) await this.round();
    } catch (error) {
      this.parts.observer.log('diskRefused', { log: this.id, detail: String(error) });
      void this.recover();
    } finally {
      this.running = false;
    }
  }

  /**
   * A full disk refuses writes for a while. What the failed step did in memory was told to nobody, so the
   * replica is made again from the disk, and says nothing until a write succeeds: a leader falls silent and
   * another one is elected.
   */
  private async recover(): Promise<void> {
    this.recovering = true;
    this.dropPending();
    while (this.recovering && !this.isClosed) {
      await clock.pause(RECOVER_EVERY_MS);
      this.dropPending();
      const recovered = await this.parts.journal.recover().catch(() => undefined);
      if (recovered?.err === true) {
        this.parts.onDiskFailure(recovered.val);
        return;
      }
      if (recovered === undefined) continue;
      const durable = recovered.val ?? domain.replication.messages.emptyDurable();
      this.replica = this.parts.reopen(durable);
      this.recovering = false;
      this.parts.observer.log('diskAccepted', { log: this.id, entries: durable.entries.length });
    }
    void this.run();
  }

  private dropPending(): void {
    this.inputs.length = 0;
    this.proposals.splice(0).forEach(({ resolve }) => resolve(this.error('notLeader')));
    this.pending.forEach(({ resolve }) => resolve(this.error('lost')));
    this.pending.clear();
    this.confirmations.splice(0).forEach(({ resolve }) => resolve(false));
  }

  private async round(): Promise<void> {
    const now = this.parts.now();
    const effects = this.inputs.splice(0).map((input) => input(now));
    if (this.proposals.length > 0) effects.push(this.proposeAll(now));
    effects.push(this.compact());
    await this.persist(effects.flatMap(({ persist }) => persist));
    this.observeState();
    this.founded?.();
    this.founded = undefined;
    effects.forEach((each) => this.carryOut(each));
    this.settleConfirmations();
  }

  private settleConfirmations(): void {
    if (this.confirmations.length === 0) return;
    const leads = this.isLeader;
    const settled = this.confirmations.filter(
      ({ since }) => !leads || this.replica.isConfirmedSince(since),
    );
    if (settled.length === 0) return;
    this.confirmations = this.confirmations.filter((each) => !settled.includes(each));
    settled.forEach(({ resolve }) => resolve(leads));
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
    if (this.replica.logLength < (this.parts.snapshotEvery ?? SNAPSHOT_EVERY)) {
      return domain.replication.messages.noEffects();
    }
    const effects = this.replica.compact(this.applied, this.parts.machine.snapshot());
    if (effects.persist.length > 0) {
      this.parts.observer.log('snapshotMade', { log: this.id, index: this.applied });
    }
    return effects;
  }

  private async persist(records: domain.replication.messages.Record[]): Promise<void> {
    if (records.length === 0) return;
    const appended = records.filter((record) => record.kind !== 'snapshot');
    const rewrite = appended.length < records.length;
    if (rewrite) await this.parts.journal.rewrite(this.replica.durable);
    else await this.parts.journal.append(appended);
    this.parts.observer.count(`log.${this.id}.syncs`);
  }

  private carryOut({ send, install, apply }: Effects): void {
    send.forEach(({ to, message }) => {
      const address = this.addressOf(to);
      if (address !== undefined) this.parts.send(address, message);
    });
    if (install !== undefined) this.install(install);
    apply.forEach((entry) => this.apply(entry));
  }

  /** A learner answers before its log tells it who the members are, so senders' addresses help. */
  private addressOf(id: string): string | undefined {
    const member = this.replica.members.find((each) => each.id === id);
    return member?.address ?? this.addresses.get(id);
  }

  private install(snapshot: domain.replication.messages.Snapshot): void {
    this.parts.machine.restore(snapshot.state);
    this.applied = snapshot.index;
    this.parts.observer.log('snapshotInstalled', { log: this.id, index: snapshot.index });
  }

  private apply(entry: domain.replication.messages.Entry): void {
    if (entry.index <= this.applied) return;
    this.applied = entry.index;
    const answer =
      entry.kind === 'command' ? this.parts.machine.apply(entry.command, entry.index) : undefined;
    const proposal = this.pending.get(entry.index);
    if (proposal === undefined) return;
    this.pending.delete(entry.index);
    const mine = proposal.term === entry.term;
    proposal.resolve(mine ? Ok({ index: entry.index, answer }) : this.error('lost'));
  }

  private error(kind: errors.Kind): Err<errors.LogError> {
    return Err({ kind, log: this.id, leader: this.leaderAddress });
  }

  private observeState(): void {
    const { state, term } = this.replica;
    if (state === this.lastState) return;
    this.lastState = state;
    this.parts.observer.log('replicaRole', { log: this.id, state, term });
  }
}
