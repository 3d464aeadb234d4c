/**
 * Scenario `settings`: how fast a change is in force on all daemons, and whether changes survive races between
 * operators, resends, a leader failure, a daemon's long downtime and network partitions.
 */
import * as fleet from '../fleet';
import * as processes from '../processes';
import * as statistics from '../statistics';
import * as teams from '../teams';
import * as partitions from './partitions';

export interface Result {
  inForceMsP50: number;
  inForceMsP99: number;
  /** Time from the leader's death until a change sent then is in force everywhere, milliseconds. */
  inForceThroughTakeoverMs: number;
  /** Accepted changes whose subtree is missing at the end. */
  lost: number;
  /** Accepted changes whose subtree has an older revision at the end. */
  reverted: number;
  /** Race, resend and takeover checks in which a change wasn't accepted exactly once. */
  acceptedTwice: number;
  /** Time from the leader's death until a change is accepted, milliseconds. */
  takeoverMs: number;
  /** Time from the start of a daemon that missed many changes until it is ready, milliseconds. */
  catchUpMs: number;
  changesPerSecond: number;
  /** `servedStaleMs` of each partition. */
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

function settingsText(id: string): string {
  return `; ${id}\n${teams.FITTERS.settings}`;
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

/** Resends a change with the same id until the response isn't 503. */
async function putUntilAnswered(
  target: fleet.Fleet,
  subtree: string,
  id: string,
  basedOn: number,
  entry: number,
): Promise<ChangeResponse> {
  for (let attempt = entry; ; attempt++) {
    const response = await putSettings(target, subtree, id, basedOn, attempt);
    if (response !== undefined && response.status !== 503) return response.content;
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
  changesEach: number,
): Promise<number> {
  const since = performance.now();
  await Promise.all(
    Array.from({ length: operators }, async (_value, operator) => {
      for (let i = 0; i < changesEach; i++) {
        await putUntilAnswered(target, `rate-${operator}`, `rate-${operator}-${i}`, i, operator);
      }
    }),
  );
  return (operators * changesEach) / ((performance.now() - since) / 1_000);
}

/** Each round, two operators send changes based on the same revision; counts rounds without exactly one acceptance. */
async function countRaceViolations(target: fleet.Fleet, rounds: number): Promise<number> {
  let violations = 0;
  for (let i = 0; i < rounds; i++) {
    const responses = await Promise.all([
      putUntilAnswered(target, 'raced', `raced-a-${i}`, i, i),
      putUntilAnswered(target, 'raced', `raced-b-${i}`, i, i + 1),
    ]);
    if (responses.filter(({ kind }) => kind === 'accepted').length !== 1) violations += 1;
  }
  return violations;
}

/** Each round, sends one change through three entries; counts rounds in which it wasn't accepted at a single index. */
async function countResendViolations(target: fleet.Fleet, rounds: number): Promise<number> {
  let violations = 0;
  for (let i = 0; i < rounds; i++) {
    const responses = await Promise.all(
      [0, 1, 2].map((entry) => putUntilAnswered(target, 'resent', `resent-${i}`, i, entry)),
    );
    const indexes = new Set(responses.map(({ index }) => index));
    if (indexes.size !== 1 || responses.some(({ kind }) => kind !== 'accepted')) violations += 1;
  }
  return violations;
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
  // The new leader must answer a resent change from before the takeover as the former leader did.
  const resent = await putUntilAnswered(target, 'taken', 'taken-0', 0, entry);
  const acceptedTwice = resent.index === first.index ? 0 : 1;
  target.startDaemon(name);
  await target.waitUntilReady();
  return { takeoverMs, inForceMs, acceptedTwice };
}

/** Counts subtrees that are missing or older than the last accepted revision. */
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

export async function run(quick: boolean, log: (line: string) => void): Promise<Result> {
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
    log(`in force: ${JSON.stringify(times)}`);
    const changesEach = quick ? 40 : 200;
    const changesPerSecond = await measureChangeRate(target, 8, changesEach);
    log(`changes per second: ${changesPerSecond.toFixed(0)}`);
    const raceViolations = await countRaceViolations(target, rounds);
    const resendViolations = await countResendViolations(target, rounds);
    const takeover = await measureTakeover(target);
    log(`takeover: ${JSON.stringify(takeover)}`);
    const catchUpMs = await measureCatchUp(target);
    const expected = new Map([
      ['timed', timed],
      ['raced', rounds],
      ['resent', rounds],
      ['taken', 2],
      ...Array.from({ length: 8 }, (_v, i): [string, number] => [`rate-${i}`, changesEach]),
    ]);
    const losses = await countLostChanges(target, expected);
    await target.stopAll();
    const shapes = quick ? partitions.SHAPES.slice(0, 3) : partitions.SHAPES;
    const partitionResults = await partitions.run(shapes, log);
    return {
      inForceMsP50: times.p50,
      inForceMsP99: times.p99,
      inForceThroughTakeoverMs: takeover.inForceMs,
      ...losses,
      acceptedTwice: raceViolations + resendViolations + takeover.acceptedTwice,
      takeoverMs: takeover.takeoverMs,
      catchUpMs,
      changesPerSecond,
      servedStaleMsMax: Object.fromEntries(
        Object.entries(partitionResults).map(([name, { servedStaleMs }]) => [name, servedStaleMs]),
      ),
      partitions: partitionResults,
    };
  } finally {
    await target.stopAll();
  }
}

/** Time from the start of a daemon's process until it is ready, after it missed many changes. */
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
    const response = await fetch(`http://127.0.0.1:${ports.callers}/readyz`).catch(() => undefined);
    if (response?.status === 200) return performance.now() - since;
    await processes.sleep(2);
  }
}
