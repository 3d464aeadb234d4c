/**
 * Scenario `settings`: how fast changes are in force everywhere; what races, resends, a leader's death
 * and a long absence do to them.
 */
import * as fleet from '../fleet';
import * as processes from '../processes';
import * as statistics from '../statistics';
import * as teams from '../teams';
import * as partitions from './partitions';

export interface Result {
  inForceMsP50: number;
  inForceMsP99: number;
  /** Longest from sending to in force while the leader dies. */
  inForceThroughTakeoverMs: number;
  lost: number;
  reverted: number;
  acceptedTwice: number;
  takeoverMs: number;
  catchUpMs: number;
  changesPerSecond: number;
  servedStaleMsMax: Record<string, number>;
  partitions: Record<string, partitions.PartitionResult>;
}

interface InForceStatus {
  registered: number;
  inForce: number;
  missing: string[];
}

interface ChangeResponse {
  kind: string;
  revision: number;
  index: number;
}

const DAEMONS = 8;

const MISSED_CHANGES = 500;

function settingsText(mark: string): string {
  return `; ${mark}\n${teams.FITTERS.settings}`;
}

async function waitUntilInForce(target: fleet.Fleet, index: number, entry: number): Promise<void> {
  for (;;) {
    const { status, content } = await target.callOperator<InForceStatus>(
      'GET',
      `force/${index}`,
      undefined,
      entry,
    );
    if (status === 200 && content.missing.length === 0 && content.inForce > 0) return;
    await processes.sleep(2);
  }
}

async function putSettings(
  target: fleet.Fleet,
  subtree: string,
  id: string,
  basedOn: number,
  entry: number,
): Promise<{ status: number; content: ChangeResponse } | undefined> {
  const body = { id, basedOn, text: settingsText(id) };
  return target
    .callOperator<ChangeResponse>(
      'PUT',
      `settings/${subtree}`,
      body,
      entry % target.daemonPlans.length,
    )
    .catch(() => undefined);
}

/** Sends until there is an answer other than "try again", always with the same id. */
async function putUntilAnswered(
  target: fleet.Fleet,
  subtree: string,
  id: string,
  basedOn: number,
  entry: number,
): Promise<ChangeResponse> {
  for (let turn = entry; ; turn++) {
    const answer = await putSettings(target, subtree, id, basedOn, turn);
    if (answer !== undefined && answer.status !== 503) return answer.content;
    await processes.sleep(20);
  }
}

async function timeChanges(target: fleet.Fleet, count: number): Promise<statistics.Percentiles> {
  const times: number[] = [];
  for (let i = 0; i < count; i++) {
    const since = performance.now();
    const { index } = await putUntilAnswered(target, 'timed', `timed-${i}`, i, i);
    await waitUntilInForce(target, index, i % target.daemonPlans.length);
    times.push(performance.now() - since);
  }
  return statistics.percentiles(times);
}

async function measureChangeRate(
  target: fleet.Fleet,
  operators: number,
  each: number,
): Promise<number> {
  const since = performance.now();
  await Promise.all(
    Array.from({ length: operators }, async (_value, operator) => {
      for (let i = 0; i < each; i++) {
        await putUntilAnswered(target, `rate-${operator}`, `rate-${operator}-${i}`, i, operator);
      }
    }),
  );
  return (operators * each) / ((performance.now() - since) / 1_000);
}

/** Two operators with equal numbers, each round; both accepted would be one too many. */
async function countRaceViolations(target: fleet.Fleet, rounds: number): Promise<number> {
  let twice = 0;
  for (let i = 0; i < rounds; i++) {
    const answers = await Promise.all([
      putUntilAnswered(target, 'raced', `raced-a-${i}`, i, i),
      putUntilAnswered(target, 'raced', `raced-b-${i}`, i, i + 1),
    ]);
    if (answers.filter(({ kind }) => kind === 'accepted').length !== 1) twice += 1;
  }
  return twice;
}

/** The same id through three entries must be accepted once, at one revision. */
async function countResendViolations(target: fleet.Fleet, rounds: number): Promise<number> {
  let twice = 0;
  for (let i = 0; i < rounds; i++) {
    const answers = await Promise.all(
      [0, 1, 2].map((entry) => putUntilAnswered(target, 'resent', `resent-${i}`, i, entry)),
    );
    const indexes = new Set(answers.map(({ index }) => index));
    if (indexes.size !== 1 || answers.some(({ kind }) => kind !== 'accepted')) twice += 1;
  }
  return twice;
}

async function measureTakeover(
  target: fleet.Fleet,
): Promise<{ takeoverMs: number; inForceMs: number; acceptedTwice: number }> {
  const { name } = await target.findLeader();
  const leader = target.daemonPlans.findIndex((plan) => plan.name === name);
  const first = await putUntilAnswered(target, 'taken', 'taken-0', 0, 1);
  const since = performance.now();
  void target.daemon(name).kill();
  const entry = (leader + 1) % target.daemonPlans.length;
  const next = await putUntilAnswered(target, 'taken', 'taken-1', 1, entry);
  const takeoverMs = performance.now() - since;
  await waitUntilInForce(target, next.index, entry);
  const inForceMs = performance.now() - since;
  // A resend from before the takeover gets its first answer from the new leader.
  const again = await putUntilAnswered(target, 'taken', 'taken-0', 0, entry);
  const acceptedTwice = again.index === first.index ? 0 : 1;
  target.startDaemon(name);
  await target.waitUntilReady();
  return { takeoverMs, inForceMs, acceptedTwice };
}

/** Every accepted change must be there at its last revision, on every daemon. */
async function countLostChanges(
  target: fleet.Fleet,
  expected: ReadonlyMap<string, number>,
): Promise<{ lost: number; reverted: number }> {
  const { content } = await target.callOperator<{ name: string; revision: number }[]>(
    'GET',
    'subtrees',
  );
  const revisions = new Map(content.map(({ name, revision }) => [name, revision]));
  let lost = 0;
  let reverted = 0;
  expected.forEach((revision, name) => {
    const found = revisions.get(name);
    if (found === undefined) lost += 1;
    else if (found < revision) reverted += 1;
  });
  return { lost, reverted };
}

export async function run(quick: boolean, say: (line: string) => void): Promise<Result> {
  const target = await fleet.Fleet.plan({
    daemons: Array.from({ length: DAEMONS }, (_value, i) => ({
      dataCentre: `dc-${(i % 3) + 1}`,
      disk: i < 3,
      founder: i < 3,
    })),
    logLevel: 'warn',
  });
  const timed = quick ? 60 : 300;
  const rounds = quick ? 20 : 100;
  try {
    target.startDaemons();
    await target.applySettings('fitters', teams.FITTERS.settings, 0);
    await target.waitUntilReady();
    const times = await timeChanges(target, timed);
    say(`in force: ${JSON.stringify(times)}`);
    const each = quick ? 40 : 200;
    const changesPerSecond = await measureChangeRate(target, 8, each);
    say(`changes per second: ${changesPerSecond.toFixed(0)}`);
    const raced = await countRaceViolations(target, rounds);
    const resent = await countResendViolations(target, rounds);
    const taken = await measureTakeover(target);
    say(`takeover: ${JSON.stringify(taken)}`);
    const catchUpMs = await measureCatchUp(target);
    const expected = new Map([
      ['timed', timed],
      ['raced', rounds],
      ['resent', rounds],
      ['taken', 2],
      ...Array.from({ length: 8 }, (_v, i): [string, number] => [`rate-${i}`, each]),
    ]);
    const found = await countLostChanges(target, expected);
    await target.stopAll();
    const shapes = quick ? partitions.SHAPES.slice(0, 3) : partitions.SHAPES;
    const shaped = await partitions.run(shapes, say);
    return {
      inForceMsP50: times.p50,
      inForceMsP99: times.p99,
      inForceThroughTakeoverMs: taken.inForceMs,
      ...found,
      acceptedTwice: raced + resent + taken.acceptedTwice,
      takeoverMs: taken.takeoverMs,
      catchUpMs,
      changesPerSecond,
      servedStaleMsMax: Object.fromEntries(
        Object.entries(shaped).map(([name, { servedStaleMs }]) => [name, servedStaleMs]),
      ),
      partitions: shaped,
    };
  } finally {
    await target.stopAll();
  }
}

/** From the start of the process to ready, after many missed changes. */
async function measureCatchUp(target: fleet.Fleet): Promise<number> {
  const { name, ports } = target.daemonPlans.at(-1) as fleet.DaemonPlan;
  await target.daemon(name).kill();
  await Promise.all(
    [0, 1, 2, 3].map(async (operator) => {
      for (let i = 0; i < MISSED_CHANGES / 4; i++) {
        await putUntilAnswered(
          target,
          `missed-${operator}`,
          `missed-${operator}-${i}`,
          i,
          operator,
        );
      }
    }),
  );
  const since = performance.now();
  target.startDaemon(name);
  for (;;) {
    const answer = await fetch(`http://127.0.0.1:${ports.callers}/readyz`).catch(() => undefined);
    if (answer?.status === 200) return performance.now() - since;
    await processes.sleep(2);
  }
}
