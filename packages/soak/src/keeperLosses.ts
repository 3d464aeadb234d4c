/**
 * Losses of keepers in turn, each of the one that leads, as soon as the number of losses that the fleet tolerates at once
 * allows: a VM counts as lost until it has been back for some time, and no longer. They follow all other faults of a
 * run, while callers go on and documents change.
 */
import * as fs from 'node:fs';
import type * as faultInjector from './faultInjector';
import type * as fleet from './fleet';
import type * as lossSeries from './lossSeries';
import * as operator from './operator';

/** A VM that is back no longer counts as lost after this time, milliseconds. */
const SYNC_MS = 4_000;

/** Limit on the wait for a leader other than the last one, milliseconds. */
const ELECTION_TIMEOUT_MS = 3_000;

const LEADER_POLL_MS = 25;

/** Numbers of log events of keepers. */
const EVENT = { started: '"event":1001,', replicaRole: '"event":2002,' } as const;

export interface Dependencies {
  fleet: fleet.Fleet;
  operators: Pick<operator.Operator, 'submitNext' | 'untilAnswers'>;
  faultInjector: Pick<faultInjector.FaultInjector, 'loseKeeper'>;
}

/** Carries out a series; resolves when all keepers but an absent one answer again. */
export async function carryOut(
  { losses, hasAbsentKeeper }: lossSeries.LossSeries,
  { fleet: { keepers }, operators, faultInjector: injector }: Dependencies,
): Promise<void> {
  await startAll(keepers, operators);
  if (hasAbsentKeeper) await followerOf(keepers)?.process.kill();
  let lost: fleet.Vm | undefined;
  let firstBack: Promise<void> | undefined;
  const returns: Promise<void>[] = [];
  for (const loss of losses) {
    lost = await untilLeaderOtherThan(lost, keepers);
    if (loss.awaitsFirst) await firstBack?.then(() => operator.sleep(SYNC_MS));
    await operator.sleep(loss.afterSeconds * 1_000);
    void operators.submitNext();
    const back = injector.loseKeeper(lost, loss.isWiped);
    // With a keeper absent, one loss at a time is tolerated beside it; each counts until its VM has been back.
    if (firstBack === undefined || hasAbsentKeeper) firstBack = back;
    returns.push(back);
  }
  await Promise.all(returns);
}

/**
 * Starts keepers that ended by themselves, such as one whose disk was full when it started, as the platform does. Until they
 * have been back for some time, they count as lost.
 */
async function startAll(
  keepers: readonly fleet.Vm[],
  operators: Dependencies['operators'],
): Promise<void> {
  const ended = keepers.filter(({ process }) => !process.isRunning);
  if (ended.length === 0) return;
  ended.forEach(({ process }) => process.start());
  await Promise.all(ended.map(({ index }) => operators.untilAnswers(index)));
  await operator.sleep(SYNC_MS);
}

function followerOf(keepers: readonly fleet.Vm[]): fleet.Vm | undefined {
  const leader = leaderOf(keepers);
  return keepers.find((keeper) => keeper !== leader);
}

/** The leader, once it is another keeper than `last`; any running keeper if none is elected in time. */
async function untilLeaderOtherThan(
  last: fleet.Vm | undefined,
  keepers: readonly fleet.Vm[],
): Promise<fleet.Vm> {
  const until = Date.now() + ELECTION_TIMEOUT_MS;
  while (Date.now() < until) {
    const leader = leaderOf(keepers);
    if (leader !== undefined && leader !== last) return leader;
    await operator.sleep(LEADER_POLL_MS);
  }
  const running = keepers.filter(({ process }) => process.isRunning);
  return running.find((keeper) => keeper !== last) ?? keepers[0];
}

/** The running keeper that leads by its own log, in the highest term. */
function leaderOf(keepers: readonly fleet.Vm[]): fleet.Vm | undefined {
  const roles = keepers
    .filter(({ process }) => process.isRunning)
    .map((keeper) => ({ keeper, role: lastRole(keeper.process.command.logFile) }))
    .filter(({ role }) => role?.state === 'leader');
  roles.sort((a, b) => (b.role?.term ?? 0) - (a.role?.term ?? 0));
  return roles[0]?.keeper;
}

interface Role {
  state: string;
  term: number;
}

/** The last replica state in a keeper's log since the process started. */
function lastRole(logFile: string): Role | undefined {
  const lines = fs.readFileSync(logFile, 'utf8').split('\n');
  const start = lines.findLastIndex((line) => line.includes(EVENT.started));
  const last = lines.findLastIndex((line) => line.includes(EVENT.replicaRole));
  return last > start ? (JSON.parse(lines[last]) as Role) : undefined;
}
