/**
 * Scenario `overhead`: the latency and processor time that one daemon adds to a request and to a streamed token,
 * compared with a direct connection to the engine.
 */
import * as undici from 'undici';
import * as client from '../client';
import * as fleet from '../fleet';
import * as processes from '../processes';
import * as statistics from '../statistics';
import * as teams from '../teams';

export interface Result {
  /** Added time to first token, milliseconds. */
  addedMsP50: number;
  addedMsP99: number;
  /** Requests with a prompt of a thousand tokens and an answer of one, per second of processor time. */
  requestsPerCoreSecond: number;
  cpuMsPerRequest: number;
  cpuMicrosecondsPerToken: number;
  /** Streams with an inter-token gap of `TOKEN_GAP_MS` that one core sustains. */
  streamsPerCore: number;
  /** Processor time of a request with a prompt of a million tokens, milliseconds. */
  cpuMsPerMillionTokenPrompt: number;
  /** Bytes that are exchanged with the allocator for a request, both ways. */
  allocationBytes: number;
  /** Processor time of the allocator for a request of another daemon, milliseconds. */
  allocatorCpuMs: number;
  /** Median time to first token that placement by another daemon adds, milliseconds. */
  allocationMsP50: number;
}

/** Takes almost no time, so that the measured time is the daemon's. */
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

/** Time to first token of a request sent directly to the engine, in the engine's protocol. */
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
  if (!whole) throw new Error('a request through the daemon did not complete');
  return ttftMs;
}

async function measureAddedLatency(
  target: fleet.Fleet,
  count: number,
): Promise<{ p50: number; p99: number }> {
  const port = target.standInPort('engine-1');
  const direct: number[] = [];
  const throughDaemon: number[] = [];
  for (let i = 0; i < count; i++) {
    const prompt = client.promptOfLength(1_000, `latency${i}`);
    direct.push(await directTtftMs(port, `direct-${i}`, prompt));
    throughDaemon.push(await daemonTtftMs(target, prompt, 1));
  }
  // The first requests warm up connections and code on both paths.
  const warmUp = Math.floor(count / 5);
  const daemonTtft = statistics.percentiles(throughDaemon.slice(warmUp));
  const directTtft = statistics.percentiles(direct.slice(warmUp));
  return { p50: daemonTtft.p50 - directTtft.p50, p99: daemonTtft.p99 - directTtft.p99 };
}

/** Processor time of the daemon per request over `count` requests, less its idle use; milliseconds. */
async function measureCpuMsPerRequest(
  target: fleet.Fleet,
  count: number,
  promptTokens: number,
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
          client.promptOfLength(promptTokens, `cpu${promptTokens}-${next}`),
          answerTokens,
        );
      }
    }),
  );
  const usedMs = (await readCpuMs(target)) - before;
  return (usedMs - idlePerMs * (performance.now() - since)) / count;
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

/** Sends requests through two daemons, one of which is the allocator of both. */
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
    const other = 1 - allocator;
    const before = (await status(allocator)).cpuMicroseconds;
    const bytesBefore = Math.max(a, b);
    const senders = Array.from({ length: 8 }, async (_value, sender) => {
      for (let i = 0; i < count / 8; i++) {
        await daemonTtftMs(target, client.promptOfLength(1_000, `ask${sender}-${i}`), 1, other);
      }
    });
    await Promise.all(senders);
    const after = await status(allocator);
    const p50 = (entry: number): number => statistics.percentiles(times[entry] ?? []).p50;
    return {
      allocationBytes: (allocationBytes(after) - bytesBefore) / count,
      allocatorCpuMs: (after.cpuMicroseconds - before) / 1_000 / count,
      allocationMsP50: p50(other) - p50(allocator),
    };
  } finally {
    await target.stopAll();
  }
}

export async function run(quick: boolean, log: (line: string) => void): Promise<Result> {
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
    log(`added: ${JSON.stringify(added)}`);
    await measureCpuMsPerRequest(target, 500, 1_000, 1, 16);
    const perRequestMs = await measureCpuMsPerRequest(target, 1_000 * scale, 1_000, 1, 16);
    log(`cpu per request: ${perRequestMs.toFixed(3)} ms`);
    const longMs = await measureCpuMsPerRequest(target, 60 * scale, 1_000, 1_001, 16);
    const perTokenMs = (longMs - perRequestMs) / 1_000;
    const allocated = await measureAllocation(400 * scale);
    const millionTokensMs = await measureCpuMsPerRequest(target, 3 * scale, 1_000_000, 1, 1);
    return {
      addedMsP50: added.p50,
      addedMsP99: added.p99,
      requestsPerCoreSecond: 1_000 / perRequestMs,
      cpuMsPerRequest: perRequestMs,
      cpuMicrosecondsPerToken: perTokenMs * 1_000,
      streamsPerCore: TOKEN_GAP_MS / perTokenMs,
      cpuMsPerMillionTokenPrompt: millionTokensMs,
      ...allocated,
    };
  } finally {
    await target.stopAll();
  }
}
