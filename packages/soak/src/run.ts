/** One soak run: starts a fleet, carries out a plan under traffic, heals everything, and checks the promises. */
import * as fs from 'node:fs';
import * as path from 'node:path';
import * as domain from '@celerydrift/domain';
import * as answers from './answers';
import * as callers from './callers';
import * as checks from './checks';
import * as crashers from './crashers';
import * as fleet from './fleet';
import * as foreignWriter from './foreignWriter';
import * as harm from './harm';
import * as layout from './layout';
import * as observations from './observations';
import * as operator from './operator';
import * as schedule from './schedule';
import type * as targetMain from './targetMain';

export interface Options {
  seed: number;
  /** How long harm is done, seconds. */
  seconds: number;
  size: layout.Size;
  /** Program that runs on the VMs. */
  program: string;
  /** Everything of the run is kept here. */
  folder: string;
  /** Second byte of the run's addresses, 1 to 254; runs at the same time need different ones. */
  network: number;
}

export interface Report {
  seed: number;
  steps: number;
  asked: number;
  served: number;
  changes: number;
  /** Contents under which targets ended, copies of them, and targets that ended. */
  crashing: { contents: number; copies: number; ended: number };
  /** Number of violations by promise; empty for a good run. */
  broken: Partial<Record<checks.Breach | 'notPlayed', number>>;
  /** The first violations, as the folder of a run on another machine may be lost. */
  violations: checks.Violation[];
  folder: string;
}

/** So many violations of a run are in its report; its folder has all. */
const REPORTED_VIOLATIONS = 5;

const START_TIMEOUT_MS = 20_000;
/** Pause between two announcements of another program, milliseconds. */
const FOREIGN_EVERY_MS = 300;

const LOOK_EVERY_MS = 200;
const PROBE_EVERY_MS = 250;

/** Traffic goes on for so long after recovery is due, milliseconds. */
const LAST_TRAFFIC_MS = 4_000;

/** Memory must be free by then after the last request, milliseconds. */
const FREE_MS = 4_500;

/** Part of the requests that go on with a key that was taken away. */
const REVOKED_SHARE = 0.05;

class Run {
  private readonly seen = observations.empty();

  private readonly random: domain.shared.random.Random;

  private readonly running: fleet.Fleet;

  private readonly operators: operator.Operator;

  private readonly callers: callers.Callers;

  private readonly harm: harm.Harm;

  private readonly crashers: crashers.Crashers;

  private readonly open = new Set<Promise<void>>();

  private isAsking = true;

  constructor(private readonly options: Options) {
    const { seed, folder, program, network, size } = options;
    this.random = domain.shared.random.seeded(seed);
    this.running = new fleet.Fleet({
      folder,
      program,
      network,
      layout: layout.LAYOUTS[size],
      onLine: (line) => {
        if (line.kind === 'ran') this.seen.ran.push(line);
        else if (line.kind === 'draining') this.seen.drained.push(line);
        else if (line.kind !== 'crashed') this.exchanged(line);
        else this.crashers.ended(line);
      },
    });
    this.operators = new operator.Operator(this.running.controls, this.seen, this.random);
    this.callers = new callers.Callers(this.random);
    this.crashers = new crashers.Crashers({
      running: this.running,
      callers: this.callers,
      seen: this.seen,
      random: domain.shared.random.independent(seed),
      key: () => this.operators.key(),
    });
    this.harm = new harm.Harm(this.running, this.operators, this.seen, () => this.random.uniform());
  }

  async carryOut(plan: schedule.Plan): Promise<observations.Observations> {
    try {
      await this.running.start();
      this.running.targets.forEach(({ lifetime, index }) => {
        this.seen.lifetimes.push({ target: lifetime, index });
      });
      await this.operators.change();
      await this.untilServing();
      this.running.forbidFounding();
      const traffic = [this.trafficLoop(), this.probeLoop(), this.foreignLoop()];
      await this.follow(plan);
      this.harm.heal();
      this.seen.healedAt = Date.now();
      await operator.pause(checks.RECOVER_MS + LAST_TRAFFIC_MS);
      this.isAsking = false;
      await Promise.all(traffic);
      await Promise.all(this.open);
      this.seen.readBack = await this.operators.readBack();
      await operator.pause(FREE_MS);
      this.seen.reservationsLeft = await this.reservationsLeft();
      return this.seen;
    } finally {
      this.callers.close();
      await this.running.stop();
    }
  }

  private exchanged({ kind, source, ...rest }: targetMain.Exchange): void {
    const entry = this.running.entries.findIndex(({ host }) => host === source);
    this.seen[kind].push({ ...rest, entry });
  }

  private async untilServing(): Promise<void> {
    const until = Date.now() + START_TIMEOUT_MS;
    for (const entry of this.running.entries) {
      while (!(await this.serves(entry))) {
        if (Date.now() > until) throw new Error(`entry ${entry.index} doesn't serve`);
        await operator.pause(LOOK_EVERY_MS);
      }
    }
  }

  private async serves(entry: fleet.Vm): Promise<boolean> {
    const question = { entry, kind: 'safe', path: operator.basePath('safe'), key: 'k0' } as const;
    const { ending } = await this.callers.ask(question);
    return ending.kind === 'answered' && ending.status === 200;
  }

  private async follow(plan: schedule.Plan): Promise<void> {
    const { steps, crashing, limiting, shedding, isolating, seconds } = plan;
    const begun = Date.now();
    const until = async (at: number): Promise<void> =>
      operator.pause(Math.max(0, begun + at * 1_000 - Date.now()));
    const each = <T extends { at: number }>(
      drawn: T[],
      carryOut: (one: T) => Promise<void>,
    ): void => {
      under.push(...drawn.map((one) => until(one.at).then(() => carryOut(one))));
    };
    const under: Promise<void>[] = [];
    each(crashing, (one) => this.crashers.carryOut(one));
    each(limiting, (one) => this.harm.limit(one));
    each(shedding, (one) => this.harm.shed(one));
    each(isolating, (one) => {
      return this.harm.isolate(one, (entry, key) => {
        this.ask({ entry, kind: 'safe', path: operator.basePath('safe'), key });
      });
    });
    for (const step of steps) {
      await until(step.at);
      under.push(this.harm.carryOut(step));
    }
    await until(seconds);
    await Promise.all(under);
  }

  private async foreignLoop(): Promise<void> {
    const addresses = this.running.targets.map(
      ({ forwarded }) => `${forwarded}:${layout.TARGET_PORT}`,
    );
    const writer = new foreignWriter.ForeignWriter(this.running.controls, addresses);
    while (this.isAsking) {
      await writer.write();
      await operator.pause(FOREIGN_EVERY_MS);
    }
  }

  private async trafficLoop(): Promise<void> {
    const meanMs = 1_000 / layout.LAYOUTS[this.options.size].requestsPerSecond;
    while (this.isAsking) {
      const kind = domain.shared.random.pick(this.random, operator.KINDS);
      const entry = domain.shared.random.pick(this.random, this.running.entries);
      this.ask({ entry, kind, path: operator.basePath(kind), key: this.key() });
      await operator.pause(domain.shared.random.exponential(this.random, meanMs));
    }
  }

  private ask(question: callers.Question): void {
    const asking = this.callers.ask(question).then((asked) => {
      this.seen.asked.push(asked);
    });
    this.track(asking);
  }

  private key(): string {
    const { revoked } = this.seen;
    const isRevoked = revoked.length > 0 && this.random.uniform() < REVOKED_SHARE;
    return isRevoked ? domain.shared.random.pick(this.random, revoked).key : this.operators.key();
  }

  private async probeLoop(): Promise<void> {
    while (this.isAsking) {
      const recent = this.operators.recent();
      this.running.entries.forEach((entry) => {
        const { version, label } = domain.shared.random.pick(this.random, recent);
        const question = {
          entry,
          kind: 'safe',
          path: operator.probePath(version, label),
          key: this.operators.key(),
        } as const;
        this.track(
          this.callers.ask(question).then((asked) => {
            this.seen.probes.push({ ...asked, version, label });
          }),
        );
      });
      await operator.pause(PROBE_EVERY_MS);
    }
  }

  private track(work: Promise<void>): void {
    this.open.add(work);
    void work.finally(() => this.open.delete(work));
  }

  private async reservationsLeft(): Promise<number> {
    const counts = await Promise.all(this.running.targets.map(({ host }) => reservationsAt(host)));
    return counts.reduce((sum, count) => sum + count, 0);
  }
}

async function reservationsAt(host: string): Promise<number> {
  const answer = await fetch(`http://${host}:${layout.TARGET_PORT}${answers.STATE_PATH}`);
  return ((await answer.json()) as { reservations: number }).reservations;
}

/** Plays a seed and writes the plan, what was seen and the violations into the run's folder. */
export async function play(options: Options): Promise<Report> {
  const { seed, seconds, size, folder } = options;
  fs.rmSync(folder, { recursive: true, force: true });
  fs.mkdirSync(folder, { recursive: true });
  const write = (file: string, content: unknown): void =>
    fs.writeFileSync(path.join(folder, file), `${JSON.stringify(content, undefined, 1)}\n`);
  const plan = schedule.draw(seed, seconds, layout.LAYOUTS[size]);
  write('plan.json', plan);
  // A run goes on with the program that it began with, also while another one is built.
  const program = path.join(folder, 'program', path.basename(options.program));
  fs.cpSync(path.dirname(options.program), path.dirname(program), {
    recursive: true,
    filter: (source) => source === path.dirname(options.program) || fs.statSync(source).isFile(),
  });
  const seen = await new Run({ ...options, program }).carryOut(plan);
  const found = checks.violations(seen);
  write('seen.json', seen);
  write('violations.json', found);
  const broken: Report['broken'] = {};
  found.forEach(({ promise }) => {
    broken[promise] = (broken[promise] ?? 0) + 1;
  });
  const served = seen.asked.filter(({ ending }) => {
    return ending.kind === 'answered' && ending.status === 200;
  });
  return {
    seed,
    steps: plan.steps.length,
    asked: seen.asked.length,
    served: served.length,
    changes: seen.sent.length,
    crashing: {
      contents: new Set(seen.crashers.map(({ body }) => body)).size,
      copies: seen.crashers.length,
      ended: seen.crashed.length,
    },
    broken,
    violations: found.slice(0, REPORTED_VIOLATIONS),
    folder,
  };
}

/** The report of a run that the soak itself couldn't carry out; it counts as failed. */
export function notPlayed(seed: number, folder: string, error: unknown): Report {
  fs.writeFileSync(path.join(folder, 'error.txt'), `${String((error as Error).stack ?? error)}\n`);
  const crashing = { contents: 0, copies: 0, ended: 0 };
  const counts = { steps: 0, asked: 0, served: 0, changes: 0, crashing };
  return { seed, ...counts, broken: { notPlayed: 1 }, violations: [], folder };
}
