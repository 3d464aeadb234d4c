/**
 * Scenario `ledger`: the latency that a claim adds to a run-once call, the rate of claims, and whether any call runs
 * twice while daemons and leaders are killed and callers resend through other entries.
 */
import * as client from '../client';
import * as fleet from '../fleet';
import * as processes from '../processes';
import * as statistics from '../statistics';
import * as teams from '../teams';

export interface Result {
  claimsPerSecond: number;
  /** Latency of a claimed call minus that of a plain one, milliseconds. */
  addedMsP50: number;
  addedMsP99: number;
  /** Calls that ran more than once. */
  ranTwice: number;
  /** Calls that ran although every response said `not-run`. */
  notRunButRan: number;
  /** Number of times that calls were resent. */
  resends: number;
  /** Calls that completed with different answers. */
  resendsUnlikeFirst: number;
  /** Calls whose last outcome was `unknown`. */
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
    const lookupsPath = '/services/parts/lookups';
    plain.push(
      await elapsedMs(() =>
        client.callService(entry, teams.FITTERS.key, lookupsPath, '', { id: key }),
      ),
    );
  }
  const withClaim = statistics.percentiles(claimed);
  const withoutClaim = statistics.percentiles(plain);
  return { p50: withClaim.p50 - withoutClaim.p50, p99: withClaim.p99 - withoutClaim.p99 };
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

/** Sends and resends calls through all entries while daemons are killed and restarted one after the other. */
async function callDuringKills(target: fleet.Fleet, rounds: number): Promise<CallRecord[]> {
  const records: CallRecord[] = [];
  let isRunning = true;
  const callers = Array.from({ length: 8 }, async (_value, caller) => {
    for (let i = 0; isRunning; i++) {
      const record: CallRecord = { id: `killed-${caller}-${i}`, outcomes: [], texts: new Set() };
      records.push(record);
      // Sends each call to two entries at once, like an impatient caller, and then to the third.
      const send = async (entry: number): Promise<void> => {
        const url = target.entryUrls[(caller + entry) % 3];
        const response = await client.callService(url, teams.FITTERS.key, HOLDS_PATH, record.id, {
          id: record.id,
        });
        record.outcomes.push(response.outcome);
        if (response.outcome === 'completed') record.texts.add(response.text);
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
  isRunning = false;
  await Promise.all(callers);
  return records;
}

export async function run(quick: boolean, log: (line: string) => void): Promise<Result> {
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
    const addedLatency = await measureAddedLatency(target, quick ? 150 : 1_000);
    log(`added by a claim: ${JSON.stringify(addedLatency)}`);
    const claimsPerSecond = await measureClaimRate(target, quick ? 3_000 : 20_000);
    log(`claims per second: ${claimsPerSecond.toFixed(0)}`);
    const records = await callDuringKills(target, quick ? 6 : 30);
    const runs = await Promise.all(
      ['parts-1', 'parts-2'].map((name) => {
        return target.callStandIn<Record<string, number>>(name, '/runs');
      }),
    );
    const count = (id: string): number => runs.reduce((sum, each) => sum + (each[id] ?? 0), 0);
    const neverRun = records.filter(({ outcomes }) => outcomes.every((each) => each === 'not-run'));
    return {
      claimsPerSecond,
      addedMsP50: addedLatency.p50,
      addedMsP99: addedLatency.p99,
      ranTwice: records.filter(({ id }) => count(id) > 1).length,
      notRunButRan: neverRun.filter(({ id }) => count(id) > 0).length,
      resends: records.reduce((sum, { outcomes }) => sum + outcomes.length - 1, 0),
      resendsUnlikeFirst: records.filter(({ texts }) => texts.size > 1).length,
      unknown: records.filter(({ outcomes }) => outcomes.at(-1) === 'unknown').length,
    };
  } finally {
    await target.stopAll();
  }
}
