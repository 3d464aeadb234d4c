/**
 * One soak run: starts a fleet, injects the faults of a plan while callers send requests, ends all faults, and checks
 * the guarantees against what was observed.
 */
import * as fs from 'node:fs';
import * as path from 'node:path';
import * as domain from '@celerydrift/domain';
import * as answers from './answers';
import * as callers from './callers';
import * as checks from './checks';
import * as crashingCallers from './crashingCallers';
import * as fleet from './fleet';
import * as malformedAnnouncer from './malformedAnnouncer';
import * as faultInjector from './faultInjector';
import * as layout from './layout';
import * as keeperLosses from './keeperLosses';
import type * as lossSeries from './lossSeries';
import * as observations from './observations';
import * as operator from './operator';
import * as recoveryChecks from './recoveryChecks';
import * as refusalCounts from './refusalCounts';
import * as schedule from './schedule';
import type * as targetMain from './targetMain';
import * as unsafeWaves from './unsafeWaves';
import type * as violation from './violation';

export interface Options {
  seed: number;
  /** Duration of the fault schedule, seconds. */
  seconds: number;
  size: layout.Size;
  /** Program that the keeper and entry processes run. */
  program: string;
  /** Folder for all files of the run. */
  folder: string;
  /** Second byte of the run's loopback addresses, 1 to 254; concurrent runs need different ones. */
  network: number;
}

export interface SeedReport {
  seed: number;
  steps: number;
  asked: number;
  served: number;
  changes: number;
  /** Distinct bodies and parts of prompts that crash targets, requests sent with them, and target processes that crashed. */
  crashing: { contents: number; copies: number; ended: number };
  refusals: refusalCounts.RefusalCounts;
  /** Number of violations per promise; empty for a run that passed. */
  broken: Partial<Record<violation.Guarantee | 'notPlayed', number>>;
  /** The first violations; included because the folder of a run on another machine may be lost. */
  violations: violation.Violation[];
  folder: string;
}

/** Maximum number of violations in a report; `violations.json` in the run's folder has all of them. */
const REPORTED_VIOLATIONS = 5;

const START_TIMEOUT_MS = 20_000;
const MALFORMED_ANNOUNCEMENT_INTERVAL_MS = 300;

const READY_POLL_MS = 200;
const PROBE_INTERVAL_MS = 250;
const MEMORY_INTERVAL_MS = 500;

/** How long traffic continues after the fleet must have recovered, which `notRecovered` is measured on. */
const RECOVERED_TRAFFIC_MS = 4_000;

/** Targets must have released all memory reservations this long after the last request. */
const RELEASE_TIMEOUT_MS = 4_500;

/** Share of requests that use a revoked key. */
const REVOKED_KEY_SHARE = 0.05;

/** How long targets may be busy with a wave, seconds. */
const WAVE_SECONDS = 3;

class SoakRun {
  private readonly observed = observations.empty();

  private readonly random: domain.shared.random.Random;

  private readonly fleet: fleet.Fleet;

  private readonly operators: operator.Operator;

  private readonly callers: callers.Callers;

  private readonly faultInjector: faultInjector.FaultInjector;

  private readonly crashingCallers: crashingCallers.CrashingCallers;

  private readonly pending = new Set<Promise<void>>();

  private isSendingTraffic = true;

  constructor(private readonly options: Options) {
    const { seed, folder, program, network, size } = options;
    this.random = domain.shared.random.seeded(seed);
    this.fleet = new fleet.Fleet({
      folder,
      program,
      network,
      layout: layout.LAYOUTS[size],
      onLine: (line) => {
        if (line.kind === 'ran') this.observed.ran.push(line);
        else if (line.kind === 'draining') this.observed.drained.push(line);
        else if (line.kind === 'refused') this.observed.refused.push(line);
        else if (line.kind === 'copied') this.observed.copied.push(line);
        else if (line.kind !== 'crashed') this.recordExchange(line);
        else this.crashingCallers.onCrash(line);
      },
    });
    this.operators = new operator.Operator(this.fleet.controlAddresses, this.observed, this.random);
    this.callers = new callers.Callers(this.random);
    this.crashingCallers = new crashingCallers.CrashingCallers({
      fleet: this.fleet,
      callers: this.callers,
      observed: this.observed,
      random: domain.shared.random.independent(seed),
      key: () => this.operators.currentKey(),
    });
    this.faultInjector = new faultInjector.FaultInjector(
      this.fleet,
      this.operators,
      this.observed,
      () => this.random.uniform(),
    );
  }

  async execute(plan: schedule.Plan): Promise<observations.Observations> {
    try {
      await this.fleet.start();
      this.fleet.targets.forEach(({ lifetime, index }) => {
        this.observed.lifetimes.push({ target: lifetime, index });
      });
      await this.operators.submitNext();
      await this.untilEntriesServe();
      this.fleet.forbidFounding();
      const traffic = [
        this.trafficLoop(),
        this.probeLoop(),
        this.malformedAnnouncementLoop(),
        this.memoryLoop(),
      ];
      await this.executePlan(plan);
      if (plan.lossSeries !== undefined) await this.executeLossSeries(plan.lossSeries);
      this.faultInjector.restoreAll();
      this.observed.healedAt = Date.now();
      await operator.sleep(recoveryChecks.RECOVERY_MS + RECOVERED_TRAFFIC_MS);
      this.isSendingTraffic = false;
      await Promise.all(traffic);
      await Promise.all(this.pending);
      this.observed.readBack = await this.operators.readNewest();
      await operator.sleep(RELEASE_TIMEOUT_MS);
      this.observed.reservationsLeft = await this.reservationsLeft();
      return this.observed;
    } finally {
      this.callers.close();
      await this.fleet.stop();
    }
  }

  private recordExchange({ kind, source, ...rest }: targetMain.ExchangeLine): void {
    const entry = this.fleet.entries.findIndex(({ host }) => host === source);
    this.observed[kind].push({ ...rest, entry });
  }

  private async untilEntriesServe(): Promise<void> {
    const until = Date.now() + START_TIMEOUT_MS;
    for (const entry of this.fleet.entries) {
      while (!(await this.serves(entry))) {
        if (Date.now() > until)
          throw new Error(`entry ${entry.index} did not serve a request in time`);
        await operator.sleep(READY_POLL_MS);
      }
    }
  }

  private async serves(entry: fleet.Vm): Promise<boolean> {
    const request = { entry, kind: 'safe', path: operator.basePath('safe'), key: 'k0' } as const;
    const { ending } = await this.callers.send(request);
    return ending.kind === 'answered' && ending.status === 200;
  }

  private async executePlan(plan: schedule.Plan): Promise<void> {
    const { steps, crashing, limiting, shedding, isolating, evacuating, severing, seconds } = plan;
    const { repeating, silencing, flooding } = plan;
    const startedAt = Date.now() - 1_000 * schedule.TRAFFIC_START_SECONDS;
    const untilSecond = async (at: number): Promise<void> =>
      operator.sleep(Math.max(0, startedAt + at * 1_000 - Date.now()));
    const scheduleAll = <T extends { at: number }>(
      planned: T[],
      carryOut: (span: T) => Promise<void>,
    ): void => {
      started.push(...planned.map((span) => untilSecond(span.at).then(() => carryOut(span))));
    };
    const started: Promise<void>[] = [];
    scheduleAll(crashing, (span) => this.crashingCallers.carryOut(span));
    scheduleAll(limiting, (span) => this.faultInjector.limitRate(span));
    scheduleAll(shedding, (span) => this.faultInjector.shedLoad(span));
    scheduleAll(evacuating, (span) => this.faultInjector.evacuate(span));
    scheduleAll(severing, (span) => this.faultInjector.sever(span));
    scheduleAll(silencing, (span) => this.faultInjector.silence(span));
    scheduleAll(flooding, (span) => this.faultInjector.floodEntries(span));
    // A wave fills the targets so that they read late what was sent before they asked to back off.
    const isShedding = (now: number): boolean => {
      const at = (now - startedAt) / 1_000;
      return shedding.some((each) => at > each.at - WAVE_SECONDS && at < each.at + each.forSeconds);
    };
    scheduleAll(repeating, async (span) => {
      const key = (): string => this.operators.currentKey();
      const send = (request: callers.CallerRequest): void => this.send(request);
      const waves = unsafeWaves.sendFor(span.forSeconds, {
        entries: this.fleet.entries,
        key,
        send,
        isPaused: () => isShedding(Date.now()),
      });
      await Promise.all([this.faultInjector.repeatAnswers(span), waves]);
    });
    scheduleAll(isolating, (span) => {
      return this.faultInjector.isolate(span, (entry, key) => {
        this.send({ entry, kind: 'safe', path: operator.basePath('safe'), key });
      });
    });
    for (const step of steps) {
      await untilSecond(step.at);
      started.push(this.faultInjector.carryOut(step));
    }
    await untilSecond(seconds);
    await Promise.all(started);
  }

  private executeLossSeries(series: lossSeries.LossSeries): Promise<void> {
    const { fleet: vms, operators, faultInjector: injector } = this;
    return keeperLosses.carryOut(series, { fleet: vms, operators, faultInjector: injector });
  }

  private async malformedAnnouncementLoop(): Promise<void> {
    const addresses = this.fleet.targets.map(
      ({ advertisedHost }) => `${advertisedHost}:${layout.TARGET_PORT}`,
    );
    const announcer = new malformedAnnouncer.MalformedAnnouncer(
      this.fleet.controlAddresses,
      addresses,
    );
    while (this.isSendingTraffic) {
      await announcer.announceNext();
      await operator.sleep(MALFORMED_ANNOUNCEMENT_INTERVAL_MS);
    }
  }

  private async trafficLoop(): Promise<void> {
    const meanMs = 1_000 / layout.LAYOUTS[this.options.size].requestsPerSecond;
    while (this.isSendingTraffic) {
      const kind = domain.shared.random.pick(this.random, operator.REQUEST_KINDS);
      const entry = domain.shared.random.pick(this.random, this.fleet.entries);
      this.send({ entry, kind, path: operator.basePath(kind), key: this.pickKey() });
      await operator.sleep(domain.shared.random.exponential(this.random, meanMs));
    }
  }

  private send(request: callers.CallerRequest): void {
    const recorded = this.callers.send(request).then((asked) => {
      this.observed.asked.push(asked);
    });
    this.track(recorded);
  }

  private pickKey(): string {
    const { revoked } = this.observed;
    const isRevoked = revoked.length > 0 && this.random.uniform() < REVOKED_KEY_SHARE;
    return isRevoked
      ? domain.shared.random.pick(this.random, revoked).key
      : this.operators.currentKey();
  }

  private async probeLoop(): Promise<void> {
    while (this.isSendingTraffic) {
      const recent = this.operators.recentDocuments();
      this.fleet.entries.forEach((entry) => {
        const { version, label } = domain.shared.random.pick(this.random, recent);
        const request = {
          entry,
          kind: 'safe',
          path: operator.probePath(version, label),
          key: this.operators.currentKey(),
        } as const;
        this.track(
          this.callers.send(request).then((asked) => {
            this.observed.probes.push({ ...asked, version, label });
          }),
        );
      });
      await operator.sleep(PROBE_INTERVAL_MS);
    }
  }

  private async memoryLoop(): Promise<void> {
    while (this.isSendingTraffic) {
      this.fleet.entries.forEach(({ index, process: { residentBytes } }) => {
        const sample = { entry: index, bytes: residentBytes ?? 0, at: Date.now() };
        this.observed.memory.push(sample);
      });
      await operator.sleep(MEMORY_INTERVAL_MS);
    }
  }

  private track(work: Promise<void>): void {
    this.pending.add(work);
    void work.finally(() => this.pending.delete(work));
  }

  private async reservationsLeft(): Promise<number> {
    const counts = await Promise.all(this.fleet.targets.map(({ host }) => reservationsOf(host)));
    return counts.reduce((sum, count) => sum + count, 0);
  }
}

async function reservationsOf(host: string): Promise<number> {
  const answer = await fetch(`http://${host}:${layout.TARGET_PORT}${answers.STATE_PATH}`);
  return ((await answer.json()) as { reservations: number }).reservations;
}

/** Runs one seed and writes the plan, the observations and the violations to the run's folder. */
export async function runSeed(options: Options): Promise<SeedReport> {
  const { seed, seconds, size, folder } = options;
  // Other runs forward the messages of their fleets on this event loop, which no file operation may block.
  await fs.promises.rm(folder, { recursive: true, force: true });
  fs.mkdirSync(folder, { recursive: true });
  const write = (file: string, content: unknown): void =>
    fs.writeFileSync(path.join(folder, file), `${JSON.stringify(content, undefined, 1)}\n`);
  const plan = schedule.drawPlan(seed, seconds, layout.LAYOUTS[size]);
  write('plan.json', plan);
  // Runs a copy of the program, so that a build during the run doesn't replace it.
  const program = path.join(folder, 'program', path.basename(options.program));
  await fs.promises.cp(path.dirname(options.program), path.dirname(program), {
    recursive: true,
    filter: (source) => source === path.dirname(options.program) || fs.statSync(source).isFile(),
  });
  const observed = await new SoakRun({ ...options, program }).execute(plan);
  const violations = checks.violations(observed);
  write('seen.json', observed);
  write('violations.json', violations);
  const broken: SeedReport['broken'] = {};
  violations.forEach(({ promise }) => {
    broken[promise] = (broken[promise] ?? 0) + 1;
  });
  const served = observed.asked.filter(({ ending }) => {
    return ending.kind === 'answered' && ending.status === 200;
  });
  return {
    seed,
    steps: plan.steps.length,
    asked: observed.asked.length,
    served: served.length,
    changes: observed.sent.length,
    crashing: {
      contents: new Set(observed.crashers.map(({ cause }) => cause)).size,
      copies: observed.crashers.length,
      ended: observed.crashed.length,
    },
    refusals: refusalCounts.count(observed),
    broken,
    violations: violations.slice(0, REPORTED_VIOLATIONS),
    folder,
  };
}

/** Report of a run that the soak test itself couldn't carry out; it counts as failed. */
export function failedReport(seed: number, folder: string, error: unknown): SeedReport {
  fs.writeFileSync(path.join(folder, 'error.txt'), `${String((error as Error).stack ?? error)}\n`);
  const crashing = { contents: 0, copies: 0, ended: 0 };
  const refusals = refusalCounts.count(observations.empty());
  const counts = { steps: 0, asked: 0, served: 0, changes: 0, crashing, refusals };
  return { seed, ...counts, broken: { notPlayed: 1 }, violations: [], folder };
}
