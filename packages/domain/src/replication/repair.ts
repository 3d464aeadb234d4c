/**
 * Automatic repair of the replica set: a dead voter is replaced by a spare VM with a disk. The
 * order is fixed: add the spare as a learner, promote it when it has everything committed, then
 * remove the dead voter. Each step is committed before the next, so the quorums of the old and the
 * new set always share a member, and a second loss right after the repair loses nothing.
 */
import * as messages from './messages';

/** The leader's view of one member or spare. */
export interface Health {
  id: string;
  /** Milliseconds since its last answer. */
  silentFor: number;
  caughtUp: boolean;
}

/** A VM with a data folder that belongs to no replica set. */
export interface Spare {
  id: string;
  address: string;
  dataCentre: string;
}

export interface RepairStep {
  reason: 'addLearner' | 'promote' | 'removeDead' | 'dropLearner';
  subject: string;
  members: messages.Member[];
}

/** A voter without an answer for this long counts as dead, milliseconds. */
export const DEFAULT_DEAD_AFTER_MS = 10_000;

/**
 * The spare in the data centre with the fewest voters, so that the loss of a data centre costs as
 * few voters as possible.
 */
function bestSpare(
  members: readonly messages.Member[],
  spares: readonly Spare[],
): Spare | undefined {
  const votersIn = (dataCentre: string): number =>
    members.filter((member) => member.dataCentre === dataCentre && member.role === 'voter').length;
  const ranked = [...spares].sort(
    (a, b) => votersIn(a.dataCentre) - votersIn(b.dataCentre) || (a.id < b.id ? -1 : 1),
  );
  return ranked[0];
}

/** The next step towards `size` live voters; undefined when none is due or possible. */
export function nextStep(
  members: readonly messages.Member[],
  health: readonly Health[],
  spares: readonly Spare[],
  size: number,
  deadAfterMs: number,
): RepairStep | undefined {
  const healthOf = (id: string): Health | undefined => health.find((entry) => entry.id === id);
  const isDead = (id: string): boolean => (healthOf(id)?.silentFor ?? 0) > deadAfterMs;
  const voters = members.filter(({ role }) => role === 'voter');
  const dead = voters.find(({ id }) => isDead(id));
  const learner = members.find(({ role }) => role === 'learner');

  if (learner !== undefined && isDead(learner.id)) {
    const rest = members.filter(({ id }) => id !== learner.id);
    return { reason: 'dropLearner', subject: learner.id, members: rest };
  }
  if (learner !== undefined) {
    if (healthOf(learner.id)?.caughtUp !== true) return undefined;
    const promoted = members.map((member): messages.Member => {
      return member.id === learner.id ? { ...member, role: 'voter' } : member;
    });
    return { reason: 'promote', subject: learner.id, members: promoted };
  }
  if (dead !== undefined && voters.length > size) {
    const rest = members.filter(({ id }) => id !== dead.id);
    return { reason: 'removeDead', subject: dead.id, members: rest };
  }
  if (dead === undefined && voters.length >= size) return undefined;
  const free = spares.filter(({ id }) => !members.some((member) => member.id === id));
  const alive = members.filter(({ id }) => !isDead(id));
  const spare = bestSpare(alive, free);
  if (spare === undefined) return undefined;
  const added: messages.Member = { ...spare, role: 'learner' };
  return { reason: 'addLearner', subject: spare.id, members: [...members, added] };
}
