/**
 * Models five VMs with a replica each and the repair of their set. VMs lose their disks and return with a new replica at
 * their address, or restart with their disks, at most two at a time: a VM counts as lost until it has been back for some
 * time. Messages are lost, repeated and delayed. Checks three properties: replicas never apply different entries at an
 * index; once faults end, the set elects a leader that accepts a command; and it holds all acknowledged commands.
 */
import * as domain from '@celerydrift/domain';
import type * as explorer from '../explorer';

const { messages, repair, replica } = domain.replication;

type Member = domain.replication.messages.Member;
type Message = domain.replication.messages.Message;

export type Event =
  /** Time passes; messages arrive, and the leader repairs the set. */
  | { kind: 'wait'; ms: number }
  /** The same until the first VM that is lost no longer counts. */
  | { kind: 'waitForNextLoss' }
  /** The VM that leads, or the one at an address, loses power; with its disk it returns as a new replica. */
  | { kind: 'lose'; whom: 'leader' | number; isWiped: boolean }
  /** The messages in flight are lost, arrive twice or arrive late. */
  | { kind: 'lossOfMessages' | 'repetition' | 'delay' };

interface Vm {
  address: string;
  /** Id of its replica; a new one after each loss of the disk. */
  id: string;
  durable: domain.replication.messages.DurableState;
  /** Undefined while it has no power. */
  replica: domain.replication.replica.Replica | undefined;
  returnsAt: number;
  /** Until when it counts as lost; infinite while it has no power. */
  countsUntil: number;
}

interface Envelope {
  to: string;
  address: string;
  message: Message;
  arrivesAt: number;
}

/** Rules of the replication that a model may replace, to show that it finds the difference. */
export interface Rules {
  nextStep: typeof repair.nextStep;
  /** How long a member has been silent towards the leader, milliseconds. */
  silentFor: (leading: domain.replication.replica.Replica, id: string, now: number) => number;
  /** Whether messages name the replica that they are for. */
  areAddressed: boolean;
}

export const RULES: Rules = {
  nextStep: repair.nextStep,
  silentFor: (leading, id, now) => leading.silentFor(id, now),
  areAddressed: true,
};

const VMS = 5;
const TOLERATED_LOSSES = 2;
/** A VM that is back counts as lost for this long, milliseconds. */
const SYNC_MS = 4_000;
/** Time without power, milliseconds. */
const DOWN_MS = 300;
const DEAD_AFTER_MS = 2_000;
/** Interval at which replicas tick and the leader looks for a repair step, milliseconds. */
const TICK_MS = 50;
const LATENCY_MS = 5;
const DELAY_MS = 400;
/** Time after the last fault within which the set must accept a command again, milliseconds. */
const RECOVERY_MS = 12_000;
const TIMING: domain.replication.replica.Timing = {
  heartbeat: 120,
  electionMin: 450,
  electionMax: 750,
  restart: { min: 150, max: 200, again: { min: 40, max: 60 } },
};

/** The VMs and the messages between them. */
export class Deployment {
  readonly vms: Vm[];

  problem: string | undefined;

  private now = 0;

  private inFlight: Envelope[] = [];

  private readonly applied = new Map<number, string>();

  private readonly acknowledged: number[] = [];

  private starts = 0;

  private commands = 0;

  constructor(private readonly rules: Rules) {
    const ids = Array.from({ length: VMS }, (_, i) => `r${i}`);
    const members = ids.map((id, i): Member => {
      return { id, address: `vm${i}`, dataCentre: `dc${i % 3}`, role: 'voter' };
    });
    this.vms = members.map(({ id, address }) => {
      const empty = messages.emptyDurable();
      const durable = { ...empty, snapshot: { ...empty.snapshot, members } };
      return { address, id, durable, replica: undefined, returnsAt: 0, countsUntil: 0 };
    });
    this.wait(1_500);
  }

  get leader(): Vm | undefined {
    return this.vms.find((vm) => vm.replica?.hasQuorumContact(this.now));
  }

  /** Whether another VM may be lost now. */
  get toleratesLoss(): boolean {
    return this.vms.filter(({ countsUntil }) => countsUntil > this.now).length < TOLERATED_LOSSES;
  }

  lose(vm: Vm, isWiped: boolean): void {
    Object.assign(vm, { replica: undefined, returnsAt: this.now + DOWN_MS });
    Object.assign(vm, { countsUntil: vm.returnsAt + SYNC_MS });
    this.inFlight = this.inFlight.filter(({ address }) => address !== vm.address);
    if (!isWiped) return;
    this.starts += 1;
    Object.assign(vm, { id: `s${this.starts}`, durable: messages.emptyDurable() });
  }

  wait(ms: number): void {
    for (let t = 0; t < ms; t += TICK_MS) {
      this.now += TICK_MS;
      this.vms.forEach((vm) => this.tick(vm));
      this.deliver();
      this.repair();
    }
  }

  /** Waits until the first VM that is lost no longer counts. */
  waitForNextLoss(): void {
    const counting = this.vms.filter(({ countsUntil }) => countsUntil > this.now);
    const first = Math.min(...counting.map(({ countsUntil }) => countsUntil));
    if (counting.length > 0) this.wait(first - this.now);
  }

  loseMessages(): void {
    this.inFlight = [];
  }

  repeatMessages(): void {
    this.inFlight.push(...this.inFlight.map((each) => structuredClone(each)));
  }

  delayMessages(): void {
    this.inFlight.forEach((each) => Object.assign(each, { arrivesAt: this.now + DELAY_MS }));
  }

  /** Proposes a command at the leader; the position at which it may be applied. */
  propose(): domain.replication.replica.Position | undefined {
    const { leader } = this;
    if (leader?.replica === undefined) return undefined;
    this.commands += 1;
    const { positions, effects } = leader.replica.propose([`c${this.commands}`], this.now);
    this.carryOut(leader, effects);
    return positions[0];
  }

  /** Ends all faults; returns the property that the set violates then, if any. */
  findViolation(): string | undefined {
    this.wait(RECOVERY_MS);
    const position = this.propose();
    this.wait(500);
    if (this.problem !== undefined) return this.problem;
    const isApplied = position !== undefined && this.applied.has(position.index);
    if (!isApplied) return 'no command is accepted after all faults ended';
    const commit = this.leader?.replica?.commit ?? 0;
    return this.acknowledged.some((index) => index > commit) ? 'a command is lost' : undefined;
  }

  /** Whatever determines the future but random timeouts. */
  get fingerprint(): string {
    const vms = this.vms.map(({ id, durable, countsUntil }) => [id, durable, countsUntil]);
    return JSON.stringify([this.now, vms, this.inFlight]);
  }

  private tick(vm: Vm): void {
    if (vm.replica !== undefined) this.carryOut(vm, vm.replica.tick(this.now));
    else if (vm.returnsAt <= this.now) {
      this.starts += 1;
      const random = domain.shared.random.seeded(this.starts);
      const durable = structuredClone(vm.durable);
      Object.assign(vm, {
        replica: new replica.Replica(vm.id, durable, TIMING, random, this.now),
      });
    }
  }

  /** Delivers what is due, and what follows from that within the tick. */
  private deliver(): void {
    const until = this.now + TICK_MS - LATENCY_MS;
    for (;;) {
      const next = this.inFlight.findIndex(({ arrivesAt }) => arrivesAt <= until);
      if (next < 0) return;
      const [{ to, address, message }] = this.inFlight.splice(next, 1);
      const vm = this.vms.find((each) => each.address === address);
      const recipient = this.rules.areAddressed ? to : undefined;
      if (vm?.replica !== undefined)
        this.carryOut(vm, vm.replica.receive(message, this.now, recipient));
    }
  }

  private repair(): void {
    const { leader } = this;
    if (leader?.replica === undefined) return;
    const { replica: leading, id: leaderId } = leader;
    const { members } = leading;
    const health = members
      .filter(({ id }) => id !== leaderId)
      .map(({ id }) => ({
        id,
        silentFor: this.rules.silentFor(leading, id, this.now),
        caughtUp: leading.isCaughtUp(id),
      }));
    const spares = this.vms
      .filter((vm) => vm.replica !== undefined && vm !== leader)
      .map(({ id, address }) => ({ id, address, dataCentre: address, silentFor: 0 }));
    const situation = { members, health, spares, size: VMS, deadAfterMs: DEAD_AFTER_MS };
    const step = this.rules.nextStep(situation);
    if (step !== undefined)
      this.carryOut(leader, leading.changeMembers(step.members, this.now).effects);
  }

  private carryOut(vm: Vm, effects: domain.replication.messages.Effects): void {
    if (effects.persist.length > 0 && vm.replica !== undefined) {
      Object.assign(vm, { durable: structuredClone(vm.replica.durable) });
    }
    effects.send.forEach(({ to, message }) => {
      const address = this.addressOf(to, vm);
      const arrivesAt = this.now + LATENCY_MS;
      this.inFlight.push({ to, address, message: structuredClone(message), arrivesAt });
    });
    effects.apply.forEach((entry) => this.apply(entry, vm));
  }

  private addressOf(id: string, { replica: sender }: Vm): string {
    const member = sender?.members.find((each) => each.id === id);
    return member?.address ?? this.vms.find((vm) => vm.id === id)?.address ?? '';
  }

  private apply(entry: domain.replication.messages.Entry, vm: Vm): void {
    const content = JSON.stringify(entry);
    const first = this.applied.get(entry.index) ?? content;
    this.applied.set(entry.index, first);
    if (first !== content) this.problem = `two entries at an index: ${first} and ${content}`;
    if (entry.kind === 'command' && vm.replica?.state === 'leader')
      this.acknowledged.push(entry.index);
  }
}

/** What may be lost: any VM, with or without its disk and beside failing messages, or only disks of leaders. */
export type Faults = 'any' | 'leadersDisks';

const WAITS: Event[] = [
  { kind: 'wait', ms: 700 },
  { kind: 'wait', ms: 1_900 },
  { kind: 'waitForNextLoss' },
];

const MESSAGE_FAULTS: Event[] = [
  { kind: 'wait', ms: 100 },
  { kind: 'lossOfMessages' },
  { kind: 'repetition' },
  { kind: 'delay' },
];

export function replicationModel(
  rules: Rules,
  faults: Faults = 'any',
): explorer.Model<Deployment, Event> {
  const losses = faults === 'any' ? anyLosses : leadersDisks;
  return {
    initialState: () => new Deployment(rules),
    enabledEvents: (deployment) => [
      ...WAITS,
      ...(faults === 'any' ? MESSAGE_FAULTS : []),
      ...(deployment.toleratesLoss ? losses(deployment) : []),
    ],
    apply,
    fingerprint: ({ fingerprint }) => fingerprint,
    findViolation: (replay) => replay().findViolation(),
    describe: (event) => JSON.stringify(event),
  };
}

/** The loss of the leader's disk, as often as there are waits; none while there is no leader. */
function leadersDisks({ leader }: Deployment): Event[] {
  return leader === undefined
    ? []
    : WAITS.map((): Event => ({ kind: 'lose', whom: 'leader', isWiped: true }));
}

function anyLosses({ leader, vms }: Deployment): Event[] {
  const whom = [...(leader === undefined ? [] : ['leader' as const]), ...vms.keys()];
  const running = whom.filter((each) => each === 'leader' || vms[each].replica !== undefined);
  return running.flatMap((each): Event[] => {
    // The loss of a leader's disk is the hardest one, and one VM in six leads.
    const wipe: Event = { kind: 'lose', whom: each, isWiped: true };
    const restart: Event = { kind: 'lose', whom: each, isWiped: false };
    return each === 'leader' ? [wipe, wipe, wipe, restart] : [wipe, restart];
  });
}

function apply(deployment: Deployment, event: Event): void {
  if (event.kind === 'wait') deployment.wait(event.ms);
  if (event.kind === 'waitForNextLoss') deployment.waitForNextLoss();
  if (event.kind === 'lossOfMessages') deployment.loseMessages();
  if (event.kind === 'repetition') deployment.repeatMessages();
  if (event.kind === 'delay') deployment.delayMessages();
  if (event.kind !== 'lose') return;
  const vm = event.whom === 'leader' ? deployment.leader : deployment.vms[event.whom];
  deployment.propose();
  // A shrunk trace may name a VM that can't be lost at that point.
  if (vm !== undefined && deployment.toleratesLoss) deployment.lose(vm, event.isWiped);
}
