/**
 * Scenario `ledger`: what a claim costs a call that runs once, and whether any call runs twice while
 * daemons and leaders die at every step and callers send again through other entries.
 */
import * as client from '../client';
import * as fleet from '../fleet';
import * as processes from '../processes';
import * as statistics from '../statistics';
import * as teams from '../teams';

export interface Result {
  claimsPerSecond: number;
  addedMsP50: number;
  addedMsP99: number;
  ranTwice: number;
  notRunButRan: number;
  /** Resends after everything, through all entries: their answer and how often the call ran. */
  resends: number;
  resendsUnlikeFirst: number;
  unknown: number;
}

const HOLDS_PATH = '/services/parts/holds';

async function elapsedMs(action: () => Promise<unknown>): Promise<number> {
  const since = performance.now();
  await action();
  return performance.now() - since;
}

async function measureAddedLatency(
  target: fleet.Fleet,
  count: number,
): Promise<{ p50: number; p99: number }> {
  const claimed: number[] = [];
  const plain: number[] = [];
  for (let i = 0; i < count; i++) {
    const entry = target.entryUrls[i % 3];
    const key = `timed-${i}`;
    claimed.push(
      await elapsedMs(() =>
        client.callService(entry, teams.FITTERS.key, HOLDS_PATH, key, { id: key }),
      ),
    );
    const lookup = '/services/parts/lookups';
    plain.push(
      await elapsedMs(() => client.callService(entry, teams.FITTERS.key, lookup, '', { id: key })),
    );
  }
  const a = statistics.percentiles(claimed);
  const b = statistics.percentiles(plain);
  return { p50: a.p50 - b.p50, p99: a.p99 - b.p99 };
}

async function measureClaimRate(target: fleet.Fleet, count: number): Promise<number> {
  let next = 0;
  const since = performance.now();
  await Promise.all(
    Array.from({ length: 64 }, async () => {
      while (next < count) {
        next += 1;
        const key = `rate-${next}`;
        const entry = target.entryUrls[next % 3];
        await client.callService(entry, teams.FITTERS.key, HOLDS_PATH, key, { id: key });
      }
    }),
  );
  return count / ((performance.now() - since) / 1_000);
}

interface CallRecord {
  id: string;
  outcomes: string[];
  texts: Set<string>;
}

/** Calls with resends through all entries while daemons are killed and started again. */
async function callDuringKills(target: fleet.Fleet, rounds: number): Promise<CallRecord[]> {
  const all: CallRecord[] = [];
  let running = true;
  const callers = Array.from({ length: 8 }, async (_value, caller) => {
    for (let i = 0; running; i++) {
      const told: CallRecord = { id: `killed-${caller}-${i}`, outcomes: [], texts: new Set() };
      all.push(told);
      // The caller gets impatient: it sends to two entries at once, then to the third.
      const send = async (entry: number): Promise<void> => {
        const url = target.entryUrls[(caller + entry) % 3];
        const answer = await client.callService(url, teams.FITTERS.key, HOLDS_PATH, told.id, {
          id: told.id,
        });
        told.outcomes.push(answer.outcome);
        if (answer.outcome === 'completed') told.texts.add(answer.text);
      };
      await Promise.all([send(0), send(1)]);
      await send(2);
    }
  });
  for (let round = 0; round < rounds; round++) {
    const { name } = target.daemonPlans[round % 3];
    await processes.sleep(700 + 37 * round);
    await target.daemon(name).kill();
    await processes.sleep(500);
    target.startDaemon(name);
    await target.waitUntilReady();
  }
  running = false;
  await Promise.all(callers);
  return all;
}

export async function run(quick: boolean, say: (line: string) => void): Promise<Result> {
  const target = await fleet.Fleet.plan({
    daemons: ['dc-1', 'dc-2', 'dc-3'].map((dataCentre) => {
      return { dataCentre, disk: true, founder: true };
    }),
    logLevel: 'error',
  });
  try {
    target.startDaemons();
    await target.startService('parts-1', 'parts');
    await target.startService('parts-2', 'parts');
    await target.applySettings(teams.FITTERS.name, teams.FITTERS.settings, 0);
    await target.waitUntilReady();
    await target.waitForTargets(2);
    const cost = await measureAddedLatency(target, quick ? 150 : 1_000);
    say(`added by a claim: ${JSON.stringify(cost)}`);
    const claimsPerSecond = await measureClaimRate(target, quick ? 3_000 : 20_000);
    say(`claims per second: ${claimsPerSecond.toFixed(0)}`);
    const told = await callDuringKills(target, quick ? 6 : 30);
    const runs = await Promise.all(
      ['parts-1', 'parts-2'].map((name) => {
        return target.callStandIn<Record<string, number>>(name, '/runs');
      }),
    );
    const count = (id: string): number => runs.reduce((sum, each) => sum + (each[id] ?? 0), 0);
    const never = told.filter(({ outcomes }) => outcomes.every((each) => each === 'not-run'));
    return {
      claimsPerSecond,
      addedMsP50: cost.p50,
      addedMsP99: cost.p99,
      ranTwice: told.filter(({ id }) => count(id) > 1).length,
      notRunButRan: never.filter(({ id }) => count(id) > 0).length,
      resends: told.reduce((sum, { outcomes }) => sum + outcomes.length - 1, 0),
      resendsUnlikeFirst: told.filter(({ texts }) => texts.size > 1).length,
      unknown: told.filter(({ outcomes }) => outcomes.at(-1) === 'unknown').length,
    };
  } finally {
    await target.stopAll();
  }
}
