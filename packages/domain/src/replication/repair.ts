/**
 * Automatic repair of the replica set: a voter that is gone is replaced by a spare VM with a disk. The
 * spare is added as a learner and promoted when it has everything committed. Each step is committed
 * before the next, so the quorums of the old and the new set always share a member, and a second loss
 * right after the repair loses nothing.
 *
 * A voter that was silent for long may return, so it is removed after its replacement was promoted. A
 * VM that lost its disk returns with a new replica id, and nothing can serve the former replica any
 * more: that one is removed first, as soon as the new one is heard at its address. Without it the
 * other voters tolerate as many losses as before, and the VM never counts twice: with two voters,
 * both gone, the loss of one VM would cost two votes.
 */
import * as messages from './messages';

/** The leader's view of one member. */
export interface Health {
  id: string;
  /** Milliseconds since its last answer to this leader or an earlier one. */
  silentFor: number;
  caughtUp: boolean;
}

/** A VM with a data folder that belongs to no replica set. */
export interface Spare {
  id: string;
  address: string;
  dataCentre: string;
  /** Milliseconds since it was last heard from; undefined if its address wasn't confirmed by itself. */
  silentFor?: number;
}

export interface RepairStep {
  reason: 'addLearner' | 'promote' | 'removeDead' | 'dropLearner';
  subject: string;
  members: messages.Member[];
}

/** What the leader knows when it looks for the next step. */
export interface Situation {
  members: readonly messages.Member[];
  /** Health of all members but the leader. */
  health: readonly Health[];
  /** Replicas that may become members; some may be members already. */
  spares: readonly Spare[];
  /** Number of voters that the replica set should have. */
  size: number;
  /** A member that was silent for longer counts as gone, milliseconds. */
  deadAfterMs: number;
}

/** A voter without an answer for this long counts as gone, milliseconds. */
export const DEFAULT_DEAD_AFTER_MS = 10_000;

/** The next step towards `size` live voters; undefined when none is due or possible. */
export function nextStep(situation: Situation): RepairStep | undefined {
  const { members, health, size } = situation;
  const voters = members.filter(({ role }) => role === 'voter');
  const learner = members.find(({ role }) => role === 'learner');
  const gone = goneMembers(situation);
  const goneVoters = gone.filter(({ role }) => role === 'voter');
  if (learner !== undefined && gone.includes(learner))
    return without('dropLearner', learner, members);
  const succeeded = goneVoters.find((voter) => hasSuccessor(voter, situation));
  if (succeeded !== undefined && voters.length > majorityOf(size))
    return without('removeDead', succeeded, members);
  if (learner !== undefined) {
    const isCaughtUp = health.some(({ id, caughtUp }) => id === learner.id && caughtUp);
    return isCaughtUp ? promoted(learner, members) : undefined;
  }
  if (goneVoters.length > 0 && voters.length > size)
    return without('removeDead', goneVoters[0], members);
  if (goneVoters.length === 0 && voters.length >= size) return undefined;
  const spare = spareToAdd(situation, goneVoters);
  if (spare === undefined) return undefined;
  const { id, address, dataCentre } = spare;
  const added: messages.Member = { id, address, dataCentre, role: 'learner' };
  return { reason: 'addLearner', subject: id, members: [...members, added] };
}

function majorityOf(size: number): number {
  return Math.floor(size / 2) + 1;
}

function without(
  reason: 'removeDead' | 'dropLearner',
  member: messages.Member,
  members: readonly messages.Member[],
): RepairStep {
  return { reason, subject: member.id, members: members.filter(({ id }) => id !== member.id) };
}

function promoted(learner: messages.Member, members: readonly messages.Member[]): RepairStep {
  const changed = members.map((member): messages.Member => {
    return member.id === learner.id ? { ...member, role: 'voter' } : member;
  });
  return { reason: 'promote', subject: learner.id, members: changed };
}

/** The members that are gone, the longest silent first: that one is the first to no longer count as lost. */
function goneMembers(situation: Situation): messages.Member[] {
  const { members, deadAfterMs } = situation;
  const silence = silenceById(situation);
  const silentFor = ({ id }: messages.Member): number => silence.get(id) ?? 0;
  return members
    .filter((each) => silentFor(each) > deadAfterMs || hasSuccessor(each, situation))
    .sort((a, b) => silentFor(b) - silentFor(a));
}

/** Silence of the members but the leader, in milliseconds. */
function silenceById({ health }: Situation): Map<string, number> {
  return new Map(health.map(({ id, silentFor }) => [id, silentFor]));
}

/**
 * Whether another replica was heard at a member's address after the member. An address belongs to one VM, and a replica
 * to one data folder. A member that was heard later contradicts that, for instance as its disk is back.
 */
function hasSuccessor({ id, address }: messages.Member, situation: Situation): boolean {
  const { members, spares } = situation;
  const silence = silenceById(situation);
  const silentFor = silence.get(id);
  if (silentFor === undefined) return false;
  const others: readonly Spare[] = [
    ...spares,
    ...members.map((member) => ({ ...member, silentFor: silence.get(member.id) ?? 0 })),
  ];
  return others.some((other) => {
    const isElsewhere = other.id === id || other.address !== address;
    return !isElsewhere && other.silentFor !== undefined && other.silentFor < silentFor;
  });
}

/**
 * The spare for the first of the voters to replace that has one. A successor replaces its predecessor rather than another
 * voter: a voter that is merely silent may return with its disk.
 */
function spareToAdd(
  { members, spares }: Situation,
  goneVoters: readonly messages.Member[],
): Spare | undefined {
  const free = spares.filter(({ id }) => !members.some((member) => member.id === id));
  const isSuccessor = ({ address }: Spare): boolean =>
    goneVoters.some((voter) => voter.address === address);
  const present = members.filter((member) => !goneVoters.includes(member));
  const other = bestSpare(
    present,
    free.filter((spare) => !isSuccessor(spare)),
  );
  if (goneVoters.length === 0) return other;
  const candidates = goneVoters.map((voter) => {
    return free.find(({ address }) => address === voter.address) ?? other;
  });
  return candidates.find((spare) => spare !== undefined);
}

/**
 * The spare in the data centre with the fewest voters, so that the loss of a data centre costs as few voters as possible.
 */
function bestSpare(
  present: readonly messages.Member[],
  spares: readonly Spare[],
): Spare | undefined {
  const votersIn = (dataCentre: string): number =>
    present.filter((member) => member.dataCentre === dataCentre && member.role === 'voter').length;
  const ranked = [...spares].sort(
    (a, b) => votersIn(a.dataCentre) - votersIn(b.dataCentre) || (a.id < b.id ? -1 : 1),
  );
  return ranked[0];
}
