/**
 * A fleet of real processes on loopback for measurements and the demo: daemons with their settings
 * files, engines and services, each started here and ended here by its process id.
 */
import * as crypto from 'node:crypto';
import * as fs from 'node:fs';
import * as os from 'node:os';
import * as path from 'node:path';
import * as processes from './processes';

export const OPERATOR_TOKEN = 'fleet-operator-token';

const PEER_SECRET = 'peer-secret-for-measurements';

export const TARGET_SECRET = 'target-secret-for-measurements';

export interface Ports {
  callers: number;
  targets: number;
  operators: number;
  peers: number;
}

export interface DaemonPlan {
  name: string;
  dataCentre: string;
  disk: boolean;
  /** Members of the first replica set. */
  founder: boolean;
  ports: Ports;
}

export interface FleetOptions {
  daemons: { dataCentre: string; disk: boolean; founder: boolean }[];
  ledgerShards?: number;
  extraSettings?: string;
  logLevel?: string;
}

export function sha256(text: string): string {
  return crypto.createHash('sha256').update(text).digest('hex');
}

const DAEMON_SCRIPT = require.resolve('@celerydrift/daemon/bin/celerydriftd.js');

const STANDIN_SCRIPT = require.resolve('@celerydrift/standins/bin/standin.js');

export interface EnginePlan {
  name: string;
  dataCentre?: string;
  models?: string;
  fencing?: 'checked' | 'ignored';
  parameters?: Record<string, number>;
}

interface StandIn {
  process: processes.Process;
  port: number;
}

export class Fleet {
  readonly folder: string;

  readonly daemonPlans: DaemonPlan[];

  readonly daemons = new Map<string, processes.Process>();

  readonly standIns = new Map<string, StandIn>();

  private constructor(
    plans: DaemonPlan[],
    private readonly options: FleetOptions,
  ) {
    this.daemonPlans = plans;
    this.folder = fs.mkdtempSync(path.join(os.tmpdir(), 'celerydrift-'));
  }

  /** Plans a fleet and writes its settings files; nothing runs yet. */
  static async plan(options: FleetOptions): Promise<Fleet> {
    const ports = await processes.freePorts(options.daemons.length * 4);
    const plans = options.daemons.map((daemon, i): DaemonPlan => {
      const [callers, targets, operators, peers] = ports.slice(i * 4) as [
        number,
        number,
        number,
        number,
      ];
      return { name: `vm-${i + 1}`, ...daemon, ports: { callers, targets, operators, peers } };
    });
    const fleet = new Fleet(plans, options);
    plans.forEach((plan) => fleet.writeSettings(plan));
    return fleet;
  }

  get entryUrls(): string[] {
    return this.daemonPlans.map(({ ports }) => `http://127.0.0.1:${ports.callers}`);
  }

  get operatorUrls(): string[] {
    return this.daemonPlans.map(({ ports }) => `http://127.0.0.1:${ports.operators}`);
  }

  plan(name: string): DaemonPlan {
    const plan = this.daemonPlans.find((each) => each.name === name);
    if (plan === undefined) throw new Error(`no daemon ${name}`);
    return plan;
  }

  startDaemons(): void {
    this.daemonPlans.forEach(({ name }) => this.startDaemon(name));
  }

  startDaemon(name: string): void {
    const daemon = new processes.Process(name, DAEMON_SCRIPT, [this.settingsFile(name)]);
    this.daemons.set(name, daemon);
    daemon.start();
  }

  daemon(name: string): processes.Process {
    const daemon = this.daemons.get(name);
    if (daemon === undefined) throw new Error(`daemon ${name} was not started`);
    return daemon;
  }

  /** The daemon that leads the settings log; the first one while nobody says that it does. */
  async findLeader(): Promise<DaemonPlan> {
    for (const [entry, plan] of this.daemonPlans.entries()) {
      const answer = await this.callOperator<{ replicaState?: string }>(
        'GET',
        'status',
        undefined,
        entry,
      ).catch(() => undefined);
      if (answer?.content.replicaState === 'leader') return plan;
    }
    return this.daemonPlans[0];
  }

  /** Empties a data folder, as a VM that lost its disk. */
  wipeData(name: string): void {
    fs.rmSync(this.dataFolder(name), { recursive: true, force: true });
  }

  async startEngine(plan: EnginePlan): Promise<number> {
    return this.startStandIn(plan.name, [
      'engine',
      ...this.standInOptions(plan.name, plan.dataCentre),
      '--models',
      plan.models ?? 'base',
      '--fencing',
      plan.fencing ?? 'checked',
      '--parameters',
      JSON.stringify(plan.parameters ?? {}),
    ]);
  }

  async startService(name: string, service: string, dataCentre?: string): Promise<number> {
    const options = this.standInOptions(name, dataCentre);
    return this.startStandIn(name, ['service', ...options, '--service', service]);
  }

  standInPort(name: string): number {
    return this.standIns.get(name)?.port ?? 0;
  }

  async callStandIn<T>(name: string, call: string, body?: unknown): Promise<T> {
    const answer = await fetch(`http://127.0.0.1:${this.standInPort(name)}${call}`, {
      method: body === undefined ? 'GET' : 'POST',
      ...(body === undefined ? {} : { body: JSON.stringify(body) }),
    });
    return (await answer.json()) as T;
  }

  async callOperator<T>(
    method: string,
    call: string,
    body?: unknown,
    entry = 0,
  ): Promise<{ status: number; content: T }> {
    const answer = await fetch(`${this.operatorUrls[entry]}/v1/${call}`, {
      method,
      headers: { authorization: `Bearer ${OPERATOR_TOKEN}` },
      ...(body === undefined ? {} : { body: JSON.stringify(body) }),
      signal: AbortSignal.timeout(12_000),
    });
    return { status: answer.status, content: (await answer.json()) as T };
  }

  /** Applies a subtree, sending it again with the same id until there is an answer. */
  async applySettings(
    subtree: string,
    text: string,
    basedOn: number,
    timeoutMs = 20_000,
  ): Promise<number> {
    const id = crypto.randomUUID();
    const until = Date.now() + timeoutMs;
    for (let turn = 0; Date.now() < until; turn++) {
      const entry = turn % this.daemonPlans.length;
      const call = { id, basedOn, text };
      const answer = await this.callOperator<{ kind: string; index: number }>(
        'PUT',
        `settings/${subtree}`,
        call,
        entry,
      ).catch(() => undefined);
      if (answer?.status === 200) return answer.content.index;
      if (answer !== undefined && answer.status !== 503) {
        throw new Error(`settings refused: ${JSON.stringify(answer.content)}`);
      }
      await processes.sleep(50);
    }
    throw new Error('settings not accepted in time');
  }

  async waitUntilReady(timeoutMs = 20_000, names?: readonly string[]): Promise<void> {
    const wanted = this.daemonPlans.filter(
      ({ name }) => names === undefined || names.includes(name),
    );
    const until = Date.now() + timeoutMs;
    for (const { name, ports } of wanted) {
      while (!(await isReady(ports.callers))) {
        if (Date.now() > until) {
          const lines = this.daemons.get(name)?.lines.slice(-8).join('\n');
          throw new Error(`${name} did not turn ready:\n${lines}`);
        }
        await processes.sleep(25);
      }
    }
  }

  /** Waits until every daemon knows so many serving targets. */
  async waitForTargets(count: number, timeoutMs = 20_000): Promise<void> {
    const until = Date.now() + timeoutMs;
    for (const entry of this.daemonPlans.keys()) {
      for (;;) {
        const { content } = await this.callOperator<{ status: string }[]>(
          'GET',
          'targets',
          undefined,
          entry,
        );
        if (content.filter(({ status }) => status === 'serving').length >= count) break;
        if (Date.now() > until) throw new Error(`vm-${entry + 1} knows ${content.length} targets`);
        await processes.sleep(50);
      }
    }
  }

  async stopAll(): Promise<void> {
    const running = [
      ...this.daemons.values(),
      ...[...this.standIns.values()].map((each) => each.process),
    ];
    await Promise.all(running.map((each) => each.kill()));
    fs.rmSync(this.folder, { recursive: true, force: true });
  }

  private standInOptions(name: string, dataCentre = 'dc-1'): string[] {
    const entries = this.daemonPlans
      .map(({ ports }) => `http://127.0.0.1:${ports.targets}`)
      .join(',');
    return [
      '--name',
      name,
      '--data-centre',
      dataCentre,
      '--entries',
      entries,
      '--secret',
      TARGET_SECRET,
    ];
  }

  private async startStandIn(name: string, parameters: string[]): Promise<number> {
    const known = this.standIns.get(name);
    const port = known === undefined ? [] : ['--port', String(known.port)];
    const made = new processes.Process(name, STANDIN_SCRIPT, [...parameters, ...port]);
    made.start();
    const said = await made.waitForLine((line) => {
      return line.startsWith('{') ? (JSON.parse(line) as { port: number }) : undefined;
    });
    this.standIns.set(name, { process: made, port: said.port });
    return said.port;
  }

  private settingsFile(name: string): string {
    return path.join(this.folder, `${name}.ini`);
  }

  private dataFolder(name: string): string {
    return path.join(this.folder, 'data', name);
  }

  private writeSettings(plan: DaemonPlan): void {
    const peer = ({ ports }: DaemonPlan): string => `127.0.0.1:${ports.peers}`;
    const founders = this.daemonPlans.filter(({ founder }) => founder);
    const disks = this.daemonPlans.filter(({ disk }) => disk);
    const replicas = founders.length;
    const data = plan.disk
      ? `folder = ${this.dataFolder(plan.name)}\nfounders = ${founders.map(peer).join(',')}\n`
      : '';
    const { callers, targets, operators, peers } = plan.ports;
    const text = `[daemon]
name = ${plan.name}
data-centre = ${plan.dataCentre}
[listen]
callers = 127.0.0.1:${callers}
targets = 127.0.0.1:${targets}
operators = 127.0.0.1:${operators}
peers = 127.0.0.1:${peers}
[peers]
seeds = ${disks.map(peer).join(',')}
secret = ${PEER_SECRET}
[data]
${data}replicas = ${replicas}
ledger-shards = ${this.options.ledgerShards ?? 1}
[security]
target-secret = ${TARGET_SECRET}
operator-token = sha256:${sha256(OPERATOR_TOKEN)}
[observe]
level = ${this.options.logLevel ?? 'info'}
${this.options.extraSettings ?? ''}
`;
    fs.writeFileSync(this.settingsFile(plan.name), text);
  }
}

async function isReady(port: number): Promise<boolean> {
  try {
    const answer = await fetch(`http://127.0.0.1:${port}/readyz`);
    await answer.arrayBuffer();
    return answer.status === 200;
  } catch {
    return false;
  }
}
