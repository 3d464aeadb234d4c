/**
 * A fleet of real processes on the loopback interface, for measurements and the demo: daemons with their settings
 * files, stand-in engines and stand-in services. Each process is ended by its own process id.
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
  /** Whether it is a member of the first replica set. */
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

  /** Allocates ports and writes the settings files; starts no process. */
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
    if (plan === undefined) throw new Error(`no daemon is named ${name}`);
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

  /** The daemon that leads the settings log; the first one if no daemon reports that it leads. */
  async findLeader(): Promise<DaemonPlan> {
    for (const [entry, plan] of this.daemonPlans.entries()) {
      const response = await this.callOperator<{ replicaState?: string }>(
        'GET',
        'status',
        undefined,
        entry,
      ).catch(() => undefined);
      if (response?.content.replicaState === 'leader') return plan;
    }
    return this.daemonPlans[0];
  }

  /** Deletes a data folder, as if the VM had lost its disk. */
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

  async callStandIn<T>(name: string, urlPath: string, body?: unknown): Promise<T> {
    const response = await fetch(`http://127.0.0.1:${this.standInPort(name)}${urlPath}`, {
      method: body === undefined ? 'GET' : 'POST',
      ...(body === undefined ? {} : { body: JSON.stringify(body) }),
    });
    return (await response.json()) as T;
  }

  async callOperator<T>(
    method: string,
    urlPath: string,
    body?: unknown,
    entry = 0,
  ): Promise<{ status: number; content: T }> {
    const response = await fetch(`${this.operatorUrls[entry]}/v1/${urlPath}`, {
      method,
      headers: { authorization: `Bearer ${OPERATOR_TOKEN}` },
      ...(body === undefined ? {} : { body: JSON.stringify(body) }),
      signal: AbortSignal.timeout(12_000),
    });
    return { status: response.status, content: (await response.json()) as T };
  }

  /** Applies a settings subtree; resends it with the same id until a daemon accepts or refuses it. */
  async applySettings(
    subtree: string,
    text: string,
    basedOn: number,
    timeoutMs = 20_000,
  ): Promise<number> {
    const id = crypto.randomUUID();
    const until = Date.now() + timeoutMs;
    for (let attempt = 0; Date.now() < until; attempt++) {
      const entry = attempt % this.daemonPlans.length;
      const change = { id, basedOn, text };
      const response = await this.callOperator<{ kind: string; index: number }>(
        'PUT',
        `settings/${subtree}`,
        change,
        entry,
      ).catch(() => undefined);
      if (response?.status === 200) return response.content.index;
      if (response !== undefined && response.status !== 503) {
        throw new Error(`settings of ${subtree} refused: ${JSON.stringify(response.content)}`);
      }
      await processes.sleep(50);
    }
    throw new Error(`settings of ${subtree} not accepted within ${timeoutMs} ms`);
  }

  async waitUntilReady(timeoutMs = 20_000, names?: readonly string[]): Promise<void> {
    const awaited = this.daemonPlans.filter(
      ({ name }) => names === undefined || names.includes(name),
    );
    const until = Date.now() + timeoutMs;
    for (const { name, ports } of awaited) {
      while (!(await isReady(ports.callers))) {
        if (Date.now() > until) {
          const lines = this.daemons.get(name)?.lines.slice(-8).join('\n');
          throw new Error(`${name} not ready within ${timeoutMs} ms:\n${lines}`);
        }
        await processes.sleep(25);
      }
    }
  }

  /** Waits until every daemon knows at least `count` serving targets. */
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
        if (Date.now() > until)
          throw new Error(`vm-${entry + 1} knows ${content.length} of ${count} targets`);
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
    const former = this.standIns.get(name);
    // A restarted stand-in keeps its address.
    const portOption = former === undefined ? [] : ['--port', String(former.port)];
    const standIn = new processes.Process(name, STANDIN_SCRIPT, [...parameters, ...portOption]);
    standIn.start();
    const announced = await standIn.waitForLine((line) => {
      return line.startsWith('{') ? (JSON.parse(line) as { port: number }) : undefined;
    });
    this.standIns.set(name, { process: standIn, port: announced.port });
    return announced.port;
  }

  private settingsFile(name: string): string {
    return path.join(this.folder, `${name}.ini`);
  }

  private dataFolder(name: string): string {
    return path.join(this.folder, 'data', name);
  }

  private writeSettings(plan: DaemonPlan): void {
    const peerAddress = ({ ports }: DaemonPlan): string => `127.0.0.1:${ports.peers}`;
    const founders = this.daemonPlans.filter(({ founder }) => founder);
    const withDisk = this.daemonPlans.filter(({ disk }) => disk);
    const replicas = founders.length;
    const dataSettings = plan.disk
      ? `folder = ${this.dataFolder(plan.name)}\nfounders = ${founders.map(peerAddress).join(',')}\n`
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
seeds = ${withDisk.map(peerAddress).join(',')}
secret = ${PEER_SECRET}
[data]
${dataSettings}replicas = ${replicas}
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
    const response = await fetch(`http://127.0.0.1:${port}/readyz`);
    await response.arrayBuffer();
    return response.status === 200;
  } catch {
    return false;
  }
}
