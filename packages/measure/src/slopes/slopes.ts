/**
 * Scenario `slopes`: control traffic, processor time and memory of a daemon against the number of daemons, targets and
 * settings changes, with a line fitted to each.
 */
import * as undici from 'undici';
import * as fleet from '../fleet';
import * as processes from '../processes';
import * as statistics from '../statistics';
import * as teams from '../teams';

export interface Point {
  daemons: number;
  targets: number;
  changesPerSecond: number;
  /** Bytes sent per second, mean of the daemons. */
  bytesPerSecond: number;
  /** Fraction of a core, mean of the daemons. */
  cpuShare: number;
  /** Resident memory, mean of the daemons, MiB. */
  residentMb: number;
  /** Bytes sent per second by the busiest daemon, which is the leader. */
  leaderBytesPerSecond: number;
  /** Largest fraction of a core, which is the leader's. */
  leaderCpuShare: number;
  /** Bytes sent per second by kind of message, total of the daemons. */
  byKind: Record<string, number>;
}

export interface Result {
  points: Point[];
  /** Line fits of the figures above against daemons, targets and changes per second. */
  slopes: Record<string, Record<string, statistics.LineFit>>;
}

interface Status {
  cpuMicroseconds: number;
  memoryBytes: number;
  counters: Record<string, number>;
}

interface Sample {
  at: number;
  statuses: Status[];
}

const DATA_CENTRE_SIZE = 8;

const ANNOUNCE_INTERVAL_MS = 2_000;

/** Time until the initial gossip is over and the code is warm. */
const SETTLE_MS = 8_000;

async function takeSample(target: fleet.Fleet): Promise<Sample> {
  const statuses = await Promise.all(
    target.daemonPlans.map(async (_plan, entry) => {
      return (await target.callOperator<Status>('GET', 'status', undefined, entry)).content;
    }),
  );
  return { at: performance.now(), statuses };
}

function sentBytes({ counters }: Status): number {
  return Object.entries(counters)
    .filter(([name]) => name.startsWith('rpc.out.') && name.endsWith('.bytes'))
    .reduce((sum, [, bytes]) => sum + bytes, 0);
}

function bytesByKind(before: Sample, after: Sample, seconds: number): Record<string, number> {
  const sums = new Map<string, number>();
  after.statuses.forEach(({ counters }, i) => {
    Object.entries(counters).forEach(([name, value]) => {
      const match = /^rpc\.out\.(\w+)\.bytes$/.exec(name);
      if (match === null) return;
      const kind = match[1];
      const increase = value - (before.statuses[i]?.counters[name] ?? 0);
      sums.set(kind, (sums.get(kind) ?? 0) + increase / seconds);
    });
  });
  return Object.fromEntries([...sums].map(([kind, rate]) => [kind, Math.round(rate)]));
}

/** Announces idle targets whose reported load changes from time to time. */
class AnnouncementSender {
  private timer: NodeJS.Timeout | undefined;

  private sequence = 0;

  private readonly incarnation = Date.now();

  constructor(
    private readonly target: fleet.Fleet,
    private readonly count: number,
  ) {}

  start(): void {
    this.timer = setInterval(() => this.announceAll(), ANNOUNCE_INTERVAL_MS);
    this.announceAll();
  }

  stop(): void {
    clearInterval(this.timer);
  }

  private announceAll(): void {
    this.sequence += 1;
    for (let i = 0; i < this.count; i++) void this.announce(i);
  }

  private async announce(i: number): Promise<void> {
    const { daemonPlans } = this.target;
    const { ports } = daemonPlans[(i + this.sequence) % daemonPlans.length];
    const dataCentres = Math.ceil(daemonPlans.length / DATA_CENTRE_SIZE);
    const load = (1 + Math.floor(this.sequence / 8 + i)) % 7;
    const response = await undici
      .request(`http://127.0.0.1:${ports.targets}/targets/announce`, {
        method: 'POST',
        headers: { authorization: `Bearer ${fleet.TARGET_SECRET}` },
        body: JSON.stringify({
          name: `idle-${i}`,
          incarnation: this.incarnation,
          sequence: this.sequence,
          kind: 'service',
          address: '127.0.0.1:9',
          dataCentre: `dc-${(i % dataCentres) + 1}`,
          status: 'serving',
          fencing: 'ignored',
          service: 'idle',
          models: [],
          memoryTokens: 0,
          load: { queuedTokens: load * 8_192, streams: load * 8, freeTokens: 0 },
        }),
      })
      .catch(() => undefined);
    await response?.body.dump();
  }
}

async function applyChanges(
  target: fleet.Fleet,
  perSecond: number,
  until: number,
  tag: string,
): Promise<void> {
  for (let i = 0; perSecond > 0 && Date.now() < until; i++) {
    await target.applySettings(`slope-${tag}`, `; ${i}\n${teams.FITTERS.settings}`, i);
    await processes.sleep(1_000 / perSecond);
  }
}

async function measure(
  target: fleet.Fleet,
  targets: number,
  changesPerSecond: number,
  seconds: number,
): Promise<Point> {
  const announcements = new AnnouncementSender(target, targets);
  announcements.start();
  await processes.sleep(SETTLE_MS);
  const tag = `${targets}-${changesPerSecond}`;
  const applied = applyChanges(target, changesPerSecond, Date.now() + seconds * 1_000 + 500, tag);
  const before = await takeSample(target);
  await processes.sleep(seconds * 1_000);
  const after = await takeSample(target);
  await applied;
  announcements.stop();
  const elapsed = (after.at - before.at) / 1_000;
  const usages = after.statuses.map((status, i) => {
    const earlier = before.statuses[i];
    return {
      bytes: (sentBytes(status) - sentBytes(earlier)) / elapsed,
      cpu: (status.cpuMicroseconds - earlier.cpuMicroseconds) / 1e6 / elapsed,
      resident: status.memoryBytes / 2 ** 20,
    };
  });
  const mean = (select: (usage: (typeof usages)[number]) => number): number =>
    usages.reduce((sum, usage) => sum + select(usage), 0) / usages.length;
  return {
    daemons: target.daemonPlans.length,
    targets,
    changesPerSecond,
    bytesPerSecond: mean(({ bytes }) => bytes),
    cpuShare: mean(({ cpu }) => cpu),
    residentMb: mean(({ resident }) => resident),
    leaderBytesPerSecond: Math.max(...usages.map(({ bytes }) => bytes)),
    leaderCpuShare: Math.max(...usages.map(({ cpu }) => cpu)),
    byKind: bytesByKind(before, after, elapsed),
  };
}

async function startFleet(daemons: number): Promise<fleet.Fleet> {
  const dataCentres = Math.ceil(daemons / DATA_CENTRE_SIZE);
  const target = await fleet.Fleet.plan({
    daemons: Array.from({ length: daemons }, (_value, i) => ({
      dataCentre: `dc-${(i % dataCentres) + 1}`,
      disk: i < 3,
      founder: i < 3,
    })),
    logLevel: 'error',
  });
  // Starting all daemons at once would delay the founding of the replica set by the load of starting processes.
  for (const { name } of target.daemonPlans) {
    target.startDaemon(name);
    if (daemons > 16) await processes.sleep(60);
  }
  await target.applySettings('fitters', teams.FITTERS.settings, 0, 60_000);
  await target.waitUntilReady(60_000);
  return target;
}

function fitLines(
  points: readonly Point[],
  x: (point: Point) => number,
): Record<string, statistics.LineFit> {
  const line = (y: (point: Point) => number): statistics.LineFit =>
    statistics.fitLine(points.map((point) => ({ x: x(point), y: y(point) })));
  return {
    bytesPerSecond: line(({ bytesPerSecond }) => bytesPerSecond),
    cpuShare: line(({ cpuShare }) => cpuShare),
    residentMb: line(({ residentMb }) => residentMb),
    leaderBytesPerSecond: line(({ leaderBytesPerSecond }) => leaderBytesPerSecond),
    leaderCpuShare: line(({ leaderCpuShare }) => leaderCpuShare),
  };
}

export async function run(quick: boolean, log: (line: string) => void): Promise<Result> {
  const seconds = quick ? 4 : 15;
  const sizes = quick ? [4, 8, 16] : [4, 8, 16, 32, 64];
  const targetCounts = quick ? [40] : [20, 40, 80];
  const rates = quick ? [5] : [2, 5, 10];
  const points: Point[] = [];
  const record = (point: Point): Point => {
    const { byKind, ...rest } = point;
    log(JSON.stringify(rest));
    points.push(point);
    return point;
  };
  const idle: Point[] = [];
  const byTargets: Point[] = [];
  const byChanges: Point[] = [];
  for (const daemons of sizes) {
    const target = await startFleet(daemons);
    try {
      const idlePoint = record(await measure(target, 0, 0, seconds));
      idle.push(idlePoint);
      if (daemons === 8) {
        byTargets.push(idlePoint);
        byChanges.push(idlePoint);
        for (const count of targetCounts)
          byTargets.push(record(await measure(target, count, 0, seconds)));
        await processes.sleep(8_000);
        for (const rate of rates) byChanges.push(record(await measure(target, 0, rate, seconds)));
      }
    } finally {
      await target.stopAll();
    }
  }
  return {
    points,
    slopes: {
      daemons: fitLines(idle, ({ daemons }) => daemons),
      targets: fitLines(byTargets, ({ targets }) => targets),
      changesPerSecond: fitLines(byChanges, ({ changesPerSecond }) => changesPerSecond),
    },
  };
}
