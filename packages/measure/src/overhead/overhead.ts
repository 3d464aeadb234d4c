/**
 * Scenario `overhead`: what one daemon adds to a request and to a streamed token against a direct
 * connection to the engine, in time and in processor time.
 */
import * as undici from 'undici';
import * as client from '../client';
import * as fleet from '../fleet';
import * as processes from '../processes';
import * as statistics from '../statistics';
import * as teams from '../teams';

export interface Result {
  addedMsP50: number;
  addedMsP99: number;
  /** Requests of a thousand tokens, answered with one, per second of one core. */
  requestsPerCoreSecond: number;
  cpuMsPerRequest: number;
  cpuMicrosecondsPerToken: number;
  /** Streams at 53 ms between tokens that one core carries. */
  streamsPerCore: number;
  /** Processor time of a request with a prompt of a million tokens, in milliseconds. */
  cpuMsPerMillionTokenPrompt: number;
  /** What asking the allocator costs a request: bytes both ways, processor time of the allocator. */
  allocationBytes: number;
  allocatorCpuMs: number;
  /** Added to the time to first token by asking, p50. */
  allocationMsP50: number;
}

/** An engine that takes almost no time, so that what is left is the daemon's. */
const INSTANT_ENGINE = { tokenMs: 0, stepBaseMs: 0.2, streamMs: 0, memoryTokens: 50_000_000 };

const TOKEN_GAP_MS = 53;

interface Status {
  daemon: string;
  cpuMicroseconds: number;
  counters: Record<string, number>;
}

async function readCpuMs(target: fleet.Fleet): Promise<number> {
  return (await target.callOperator<Status>('GET', 'status')).content.cpuMicroseconds / 1_000;
}

/** Time to the first token of an engine asked directly, in its own protocol. */
async function directTtftMs(port: number, id: string, prompt: string): Promise<number> {
  const since = performance.now();
  const { body } = await undici.request(`http://127.0.0.1:${port}/v1/generate`, {
    method: 'POST',
    body: JSON.stringify({
      request: id,
      model: { base: 'base', adapter: '', version: '1' },
      prompt,
      answerTokens: 1,
      priority: 0,
      resumeFrom: 0,
      prefixKeys: [],
      owner: { daemon: 'direct', incarnation: 0 },
      system: 'direct',
      reservations: [],
      needsRoom: false,
    }),
  });
  let first = 0;
  body.once('data', () => {
    first = performance.now() - since;
  });
  await new Promise((resolve) => {
    body.once('end', resolve);
  });
  return first;
}

async function daemonTtftMs(
  target: fleet.Fleet,
  prompt: string,
  answerTokens: number,
  entry = 0,
): Promise<number> {
  const { ttftMs, whole } = await client.complete({
    entry: target.entryUrls[entry],
    key: teams.FITTERS.key,
    model: teams.FITTERS.model,
    prompt,
    answerTokens,
  });
  if (!whole) throw new Error('a request failed');
  return ttftMs;
}

async function measureAddedLatency(
  target: fleet.Fleet,
  count: number,
): Promise<{ p50: number; p99: number }> {
  const port = target.standInPort('engine-1');
  const bare: number[] = [];
  const served: number[] = [];
  for (let i = 0; i < count; i++) {
    const prompt = client.promptOfLength(1_000, `latency${i}`);
    bare.push(await directTtftMs(port, `direct-${i}`, prompt));
    served.push(await daemonTtftMs(target, prompt, 1));
  }
  // The first ones warm up connections and code on both ways.
  const warm = Math.floor(count / 5);
  const a = statistics.percentiles(served.slice(warm));
  const b = statistics.percentiles(bare.slice(warm));
  return { p50: a.p50 - b.p50, p99: a.p99 - b.p99 };
}

/** Processor time of the daemon for `count` requests, less what it uses when idle. */
async function measureCpuMsPerRequest(
  target: fleet.Fleet,
  count: number,
  tokens: number,
  answerTokens: number,
  parallel: number,
): Promise<number> {
  const idleSince = performance.now();
  const idleBefore = await readCpuMs(target);
  await processes.sleep(1_000);
  const idlePerMs = ((await readCpuMs(target)) - idleBefore) / (performance.now() - idleSince);
  const before = await readCpuMs(target);
  const since = performance.now();
  let next = 0;
  await Promise.all(
    Array.from({ length: parallel }, async () => {
      while (next < count) {
        next += 1;
        await daemonTtftMs(
          target,
          client.promptOfLength(tokens, `cpu${tokens}-${next}`),
          answerTokens,
        );
      }
    }),
  );
  const used = (await readCpuMs(target)) - before;
  return (used - idlePerMs * (performance.now() - since)) / count;
}

interface Allocation {
  allocationBytes: number;
  allocatorCpuMs: number;
  allocationMsP50: number;
}

function allocationBytes({ counters }: Status): number {
  const kinds = ['rpc.in.allocate.bytes', 'rpc.out.allocate.bytes', 'rpc.in.allocated.bytes'];
  return kinds.reduce((sum, kind) => sum + (counters[kind] ?? 0), 0);
}

/** Two daemons, requests through each: one of them is the allocator of both. */
async function measureAllocation(count: number): Promise<Allocation> {
  const target = await fleet.Fleet.plan({
    daemons: [
      { dataCentre: 'dc-1', disk: true, founder: true },
      { dataCentre: 'dc-1', disk: false, founder: false },
    ],
    logLevel: 'error',
  });
  try {
    target.startDaemons();
    await target.startEngine({ name: 'engine-1', parameters: INSTANT_ENGINE });
    await target.applySettings(teams.FITTERS.name, teams.FITTERS.settings, 0);
    await target.waitUntilReady();
    await target.waitForTargets(1);
    const times: number[][] = [[], []];
    for (let i = 0; i < count * 2; i++) {
      times[i % 2]?.push(
        await daemonTtftMs(target, client.promptOfLength(1_000, `both${i}`), 1, i % 2),
      );
    }
    const status = async (entry: number): Promise<Status> =>
      (await target.callOperator<Status>('GET', 'status', undefined, entry)).content;
    const statuses = [await status(0), await status(1)];
    const [a = 0, b = 0] = statuses.map(allocationBytes);
    const allocator = a > b ? 0 : 1;
    const asking = 1 - allocator;
    const before = (await status(allocator)).cpuMicroseconds;
    const sent = Math.max(a, b);
    const parallel = Array.from({ length: 8 }, async (_value, worker) => {
      for (let i = 0; i < count / 8; i++) {
        await daemonTtftMs(target, client.promptOfLength(1_000, `ask${worker}-${i}`), 1, asking);
      }
    });
    await Promise.all(parallel);
    const after = await status(allocator);
    const p50 = (entry: number): number => statistics.percentiles(times[entry] ?? []).p50;
    return {
      allocationBytes: (allocationBytes(after) - sent) / count,
      allocatorCpuMs: (after.cpuMicroseconds - before) / 1_000 / count,
      allocationMsP50: p50(asking) - p50(allocator),
    };
  } finally {
    await target.stopAll();
  }
}

export async function run(quick: boolean, say: (line: string) => void): Promise<Result> {
  const target = await fleet.Fleet.plan({
    daemons: [{ dataCentre: 'dc-1', disk: true, founder: true }],
    logLevel: 'error',
  });
  const scale = quick ? 1 : 5;
  try {
    target.startDaemons();
    await target.startEngine({ name: 'engine-1', parameters: INSTANT_ENGINE });
    await target.applySettings(teams.FITTERS.name, teams.FITTERS.settings, 0);
    await target.waitUntilReady();
    await target.waitForTargets(1);
    const added = await measureAddedLatency(target, 300 * scale);
    say(`added: ${JSON.stringify(added)}`);
    await measureCpuMsPerRequest(target, 500, 1_000, 1, 16);
    const perRequest = await measureCpuMsPerRequest(target, 1_000 * scale, 1_000, 1, 16);
    say(`cpu per request: ${perRequest.toFixed(3)} ms`);
    const long = await measureCpuMsPerRequest(target, 60 * scale, 1_000, 1_001, 16);
    const perToken = (long - perRequest) / 1_000;
    const allocated = await measureAllocation(400 * scale);
    const million = await measureCpuMsPerRequest(target, 3 * scale, 1_000_000, 1, 1);
    return {
      addedMsP50: added.p50,
      addedMsP99: added.p99,
      requestsPerCoreSecond: 1_000 / perRequest,
      cpuMsPerRequest: perRequest,
      cpuMicrosecondsPerToken: perToken * 1_000,
      streamsPerCore: TOKEN_GAP_MS / perToken,
      cpuMsPerMillionTokenPrompt: million,
      ...allocated,
    };
  } finally {
    await target.stopAll();
  }
}
