/**
 * Scenario `faults`: injects faults into real processes under load, one at a time, combined and repeated. Counts
 * violations of the guarantees and measures how long recovery from each fault takes.
 */
import * as client from '../client';
import * as fleet from '../fleet';
import * as processes from '../processes';
import * as teams from '../teams';
import * as loadGenerator from './loadGenerator';

export interface Result {
  /** See `loadGenerator.Counts` for these three. */
  hung: number;
  wrong: number;
  cut: number;
  /** Service calls that ran more than once. */
  ranTwice: number;
  /** Service calls that ran although the caller's last answer was `not-run`. */
  notRunButRan: number;
  /** Leased resources that are still held on engines after the load has ended. */
  holdingsLeft: number;
  /** Settings changes that were accepted during the faults and are missing at the end. */
  settingsLost: number;
  /** Requests that lost their connection to a daemon during its planned stop. */
  cutByPlannedStop: number;
  /** Prompts that started on a target more than two seconds after its planned stop was announced. */
  newWorkAfterStop: number;
  /** Time from the announcement of a planned stop until it is safe to stop, seconds. */
  safeToStopSeconds: number;
  /** Time from each fault until short prompts complete through all live entries while it lasts, seconds. */
  recoverySeconds: Record<string, number>;
  /** Time from the end of the load until no leased resource is held, seconds. */
  holdingsZeroSeconds: number;
  counts: loadGenerator.Counts;
  /** Number of explicit errors by message. */
  errors: Record<string, number>;
}

interface FaultStep {
  name: string;
  inject: (target: fleet.Fleet) => Promise<void>;
  /** Ends the fault where it doesn't end by itself. */
  heal?: (target: fleet.Fleet) => Promise<void>;
  /** How long the fault lasts, milliseconds. */
  durationMs: number;
}

/** Ten times as fast as the default stand-in engine, so that each fault affects many requests. */
const FAST_ENGINE = { tokenMs: 0.0012, stepBaseMs: 2 };

const ENGINES = ['engine-1', 'engine-2', 'engine-3', 'engine-4'];

const PROBE_ANSWER_TOKENS = 3;

async function restartEngine(target: fleet.Fleet, name: string): Promise<void> {
  await target.startEngine({ name, parameters: FAST_ENGINE });
}

async function killEngine(target: fleet.Fleet, name: string): Promise<void> {
  await target.standIns.get(name)?.process.kill();
}

/** Daemons that the current step has killed or frozen; it restarts or resumes them when it ends. */
const downDaemons: string[] = [];

async function killDaemon(target: fleet.Fleet, name: string): Promise<void> {
  await target.daemon(name).kill();
  downDaemons.push(name);
}

async function restartDownDaemons(target: fleet.Fleet): Promise<void> {
  downDaemons.splice(0).forEach((name) => target.startDaemon(name));
}

function faultRequest(kind: string, count = 1, delayMs = 0): unknown {
  return { kind, count, delayMs };
}

const STEPS: readonly FaultStep[] = [
  {
    name: 'engineKilled',
    inject: (target) => killEngine(target, 'engine-1'),
    heal: (target) => restartEngine(target, 'engine-1'),
    durationMs: 1_500,
  },
  {
    name: 'connectionsSilent',
    inject: async (target) => {
      await target.callStandIn('engine-2', '/fault', faultRequest('silent'));
    },
    durationMs: 3_000,
  },
  {
    name: 'answersCrossed',
    inject: async (target) => {
      await target.callStandIn('engine-3', '/fault', faultRequest('cross', 5));
    },
    durationMs: 1_000,
  },
  {
    name: 'streamsCut',
    inject: async (target) => {
      await target.callStandIn('engine-3', '/fault', faultRequest('cut', 5));
    },
    durationMs: 1_000,
  },
  {
    name: 'answersLate',
    inject: async (target) => {
      await target.callStandIn('engine-4', '/fault', faultRequest('late', 5, 1_000));
    },
    durationMs: 1_500,
  },
  {
    name: 'serviceCutsAnswers',
    inject: async (target) => {
      await target.callStandIn('parts-1', '/fault', faultRequest('cut', 3));
      await target.callStandIn('parts-2', '/fault', faultRequest('refuse', 5));
    },
    durationMs: 1_000,
  },
  {
    name: 'engineFrozen',
    inject: async (target) => target.standIns.get('engine-1')?.process.signal('SIGSTOP'),
    heal: async (target) => target.standIns.get('engine-1')?.process.signal('SIGCONT'),
    durationMs: 4_000,
  },
  {
    name: 'leaderKilled',
    inject: async (target) => killDaemon(target, (await target.findLeader()).name),
    heal: restartDownDaemons,
    durationMs: 2_500,
  },
  {
    name: 'leaderFrozen',
    inject: async (target) => {
      const leader = (await target.findLeader()).name;
      target.daemon(leader).signal('SIGSTOP');
      downDaemons.push(leader);
    },
    heal: async (target) => {
      downDaemons.splice(0).forEach((name) => target.daemon(name).signal('SIGCONT'));
    },
    durationMs: 4_000,
  },
  {
    name: 'diskLost',
    inject: async (target) => {
      await killDaemon(target, 'vm-2');
      target.wipeData('vm-2');
    },
    heal: restartDownDaemons,
    durationMs: 500,
  },
  {
    name: 'engineAndDaemonKilled',
    inject: async (target) => {
      await Promise.all([killEngine(target, 'engine-3'), killDaemon(target, 'vm-5')]);
    },
    heal: async (target) => {
      await restartEngine(target, 'engine-3');
      await restartDownDaemons(target);
    },
    durationMs: 2_000,
  },
  {
    name: 'engineKilledTwice',
    inject: async (target) => {
      await killEngine(target, 'engine-4');
      await restartEngine(target, 'engine-4');
      await processes.sleep(400);
      await killEngine(target, 'engine-4');
    },
    heal: (target) => restartEngine(target, 'engine-4'),
    durationMs: 500,
  },
  {
    name: 'plannedStopOfDaemon',
    inject: async (target) => {
      await target.daemon('vm-4').kill('SIGTERM');
      downDaemons.push('vm-4');
    },
    heal: restartDownDaemons,
    durationMs: 200,
  },
];

/** Whether short prompts complete through every live entry. */
async function isHealthy(target: fleet.Fleet, team: teams.Team): Promise<boolean> {
  const live = target.daemonPlans.filter(({ name }) => !downDaemons.includes(name));
  const results = await Promise.all(
    live.map(({ ports }, i) =>
      client.complete({
        entry: `http://127.0.0.1:${ports.callers}`,
        key: team.key,
        model: team.model,
        prompt: client.promptOfLength(1_000, `probe${i}`),
        answerTokens: PROBE_ANSWER_TOKENS,
        deadlineMs: 1_500,
        signal: AbortSignal.timeout(2_000),
      }),
    ),
  );
  return results.every(({ whole }) => whole);
}

async function measureRecovery(
  target: fleet.Fleet,
  team: teams.Team,
  since: number,
): Promise<number> {
  while (Date.now() - since < 30_000) {
    if (await isHealthy(target, team)) break;
    await processes.sleep(50);
  }
  return (Date.now() - since) / 1_000;
}

async function countLeases(target: fleet.Fleet): Promise<number> {
  const responses = await Promise.all(
    ENGINES.map((name) =>
      target.callStandIn<{ holdings: { system: string }[] }>(name, '/v1/holdings'),
    ),
  );
  return responses
    .flatMap((response) => response.holdings)
    .filter(({ system }) => system === 'celerydrift').length;
}

async function waitForNoLeases(target: fleet.Fleet): Promise<{ left: number; seconds: number }> {
  const since = Date.now();
  let left = await countLeases(target);
  while (left > 0 && Date.now() - since < 20_000) {
    await processes.sleep(100);
    left = await countLeases(target);
  }
  return { left, seconds: (Date.now() - since) / 1_000 };
}

async function checkCalls(
  target: fleet.Fleet,
  calls: readonly loadGenerator.Call[],
): Promise<{ ranTwice: number; notRunButRan: number }> {
  const runs = await Promise.all(
    ['parts-1', 'parts-2'].map((name) => target.callStandIn<Record<string, number>>(name, '/runs')),
  );
  const count = (id: string): number => runs.reduce((sum, each) => sum + (each[id] ?? 0), 0);
  const ranTwice = calls.filter(({ id }) => count(id) > 1).length;
  const notRunButRan = calls.filter(
    ({ id, outcome }) => outcome === 'not-run' && count(id) > 0,
  ).length;
  return { ranTwice, notRunButRan };
}

async function countStarted(target: fleet.Fleet, name: string): Promise<number> {
  const { started } = await target.callStandIn<{ started: object }>(name, '/v1/holdings');
  return Object.keys(started).length;
}

/** Announces a planned stop of an engine under load; counts work that starts there after two seconds. */
async function measurePlannedStop(
  target: fleet.Fleet,
  name: string,
): Promise<{ newWork: number; seconds: number }> {
  const since = Date.now();
  const stop = { id: `stop-${name}`, subject: 'target', name, graceSeconds: 1 };
  await target.callOperator('POST', 'stops', stop);
  await processes.sleep(2_000);
  const before = await countStarted(target, name);
  let isSafe = false;
  while (!isSafe && Date.now() - since < 20_000) {
    const { content } = await target.callOperator<{ progress: string }[]>('GET', 'stops');
    isSafe = content[0]?.progress === 'safeToStop';
    await processes.sleep(50);
  }
  const seconds = (Date.now() - since) / 1_000;
  await processes.sleep(1_500);
  const newWork = (await countStarted(target, name)) - before;
  await target.callOperator('DELETE', `stops/${stop.id}`);
  return { newWork, seconds: isSafe ? seconds : Infinity };
}

/** Starts five daemons: three replicas in three data centres, a spare with a disk, and one without a disk. */
export async function startFleet(): Promise<fleet.Fleet> {
  const target = await fleet.Fleet.plan({
    daemons: [
      { dataCentre: 'dc-1', disk: true, founder: true },
      { dataCentre: 'dc-2', disk: true, founder: true },
      { dataCentre: 'dc-3', disk: true, founder: true },
      { dataCentre: 'dc-1', disk: true, founder: false },
      { dataCentre: 'dc-2', disk: false, founder: false },
    ],
    extraSettings: '[timeouts]\nsilence-ms = 500\ndead-replica-ms = 3000\n',
    logLevel: 'warn',
  });
  target.startDaemons();
  for (const name of ENGINES) await target.startEngine({ name, parameters: FAST_ENGINE });
  await target.startService('parts-1', 'parts');
  await target.startService('parts-2', 'parts');
  return target;
}

export async function run(log: (line: string) => void): Promise<Result> {
  const target = await startFleet();
  const recoverySeconds: Record<string, number> = {};
  try {
    await target.applySettings(teams.FITTERS.name, teams.FITTERS.settings, 0);
    await target.waitUntilReady();
    await target.waitForTargets(ENGINES.length + 2);
    const load = new loadGenerator.LoadGenerator(target, teams.FITTERS, '/services/parts/holds', 1);
    const running = load.run(10, 3);
    let accepted = 0;
    const entryLostIn = new Map<string, number>();
    for (const step of STEPS) {
      const since = Date.now();
      const lostBefore = load.counts.entryLost;
      await step.inject(target);
      recoverySeconds[step.name] = await measureRecovery(target, teams.FITTERS, since);
      await processes.sleep(Math.max(0, step.durationMs - (Date.now() - since)));
      // Changes settings during the fault; every accepted change must still be there at the end.
      await target.applySettings(`probe-${accepted}`, `; ${step.name}\n`, 0, 15_000);
      accepted += 1;
      await step.heal?.(target);
      await target.waitUntilReady();
      entryLostIn.set(step.name, load.counts.entryLost - lostBefore);
      log(`${step.name}: ${recoverySeconds[step.name]?.toFixed(1)} s`);
    }
    const plannedStop = await measurePlannedStop(target, 'engine-2');
    load.stop();
    await running;
    const { left, seconds } = await waitForNoLeases(target);
    const { content } = await target.callOperator<{ name: string }[]>('GET', 'subtrees');
    const remaining = content.filter(({ name }) => name.startsWith('probe-')).length;
    const { hung, wrong, cut } = load.counts;
    return {
      hung,
      wrong,
      cut,
      ...(await checkCalls(target, load.calls)),
      holdingsLeft: left,
      settingsLost: accepted - remaining,
      cutByPlannedStop: entryLostIn.get('plannedStopOfDaemon') ?? 0,
      newWorkAfterStop: plannedStop.newWork,
      safeToStopSeconds: plannedStop.seconds,
      recoverySeconds,
      holdingsZeroSeconds: seconds,
      counts: load.counts,
      errors: Object.fromEntries(load.errors),
    };
  } finally {
    await target.stopAll();
  }
}
