/** The processes of one run (keepers, entries and targets) with their settings, files and forwarders. */
import * as fs from 'node:fs';
import * as path from 'node:path';
import * as child from './child';
import * as forwarder from './forwarder';
import * as layout from './layout';
import type * as schedule from './schedule';
import * as runtimeFaults from './runtimeFaults';
import type * as targetMain from './targetMain';

export type Role = 'entry' | 'keeper';

export interface Vm {
  role: Role;
  index: number;
  /** Address that the process listens on. */
  host: string;
  /** Address of the forwarder, which other processes connect to. */
  advertisedHost: string;
  settingsFile: string;
  dataFolder: string;
  /** File with the current faults of the process, read by `runtimeFaults`. */
  faultsFile: string;
  process: child.Child;
  setFaults: (faults: runtimeFaults.RuntimeFaults) => void;
}

export interface TargetVm {
  index: number;
  host: string;
  advertisedHost: string;
  /** Id under which the target runs or last ran. */
  lifetime: string;
  process: child.Child;
  setMode: (mode: targetMain.Mode) => void;
  /** Changes what the target reports about itself in its responses. */
  setSelfReport: (changed: targetMain.SelfReport) => void;
}

export interface Options {
  folder: string;
  /** Program of the keepers and entries, a file for Node.js. */
  program: string;
  network: number;
  layout: layout.Layout;
  onLine: (line: targetMain.OutputLine) => void;
}

/** Names of services in the catalogue. */
export const SERVICE = { engines: 'engines', plain: 'plain' } as const;

export const ENGINE_SLOTS = 16;
export const ENGINE_MEMORY_TOKENS = 300_000;
const PLAIN_SLOTS = 40;

export class Fleet {
  readonly network = new forwarder.Network();

  readonly keepers: Vm[];

  readonly entries: Vm[];

  readonly targets: TargetVm[];

  private readonly addresses: layout.Addresses;

  constructor(private readonly options: Options) {
    const { folder, network, layout: sizes } = options;
    fs.mkdirSync(folder, { recursive: true });
    this.addresses = new layout.Addresses(network);
    const numbers = (count: number): number[] => Array.from({ length: count }, (_, i) => i);
    this.keepers = numbers(sizes.keepers).map((i) => this.createVm('keeper', i, i));
    this.entries = numbers(sizes.entries).map((i) => this.createVm('entry', i, sizes.keepers + i));
    this.targets = numbers(sizes.engines + sizes.services).map((i) => this.createTarget(i));
  }

  get vms(): Vm[] {
    return [...this.keepers, ...this.entries];
  }

  /** Control addresses of all keepers. */
  get controlAddresses(): string[] {
    return this.keepers.map(({ host }) => `${host}:${layout.PORT.control}`);
  }

  async start(): Promise<void> {
    const forwards = [
      ...this.vms.map(({ advertisedHost, host }) => ({
        advertisedHost,
        host,
        port: layout.PORT.peers,
      })),
      ...this.targets.map(({ advertisedHost, host }) => ({
        advertisedHost,
        host,
        port: layout.TARGET_PORT,
      })),
    ];
    await Promise.all(
      forwards.map(({ advertisedHost, host, port }) =>
        this.network.forward(advertisedHost, host, port),
      ),
    );
    this.vms.forEach((vm) => vm.process.start());
    this.targets.forEach((target) => this.startTarget(target));
  }

  /** Starts a new lifetime of a target, with a new id or its previous one. */
  startTarget(target: TargetVm, keepsId = false): void {
    if (target.process.isRunning) return;
    if (!keepsId) target.lifetime = `t${target.index}-${target.process.incarnation + 1}`;
    const args = target.process.command.args;
    const options = JSON.parse(args[1]) as targetMain.Options;
    args[1] = JSON.stringify({ ...options, id: target.lifetime } satisfies targetMain.Options);
    target.process.start();
  }

  /** Empties a keeper's data folder, as the loss of its disk does. The keeper must not found a fleet afterwards. */
  wipe(keeper: Vm): void {
    fs.rmSync(runtimeFaults.syncedFile(keeper.faultsFile), { force: true });
    fs.rmSync(keeper.dataFolder, { recursive: true, force: true });
    fs.mkdirSync(keeper.dataFolder, { recursive: true });
  }

  /** Truncates a VM's files to what has been synced to disk, as a power loss may. */
  discardUnsynced({ faultsFile }: Vm): void {
    const file = runtimeFaults.syncedFile(faultsFile);
    if (!fs.existsSync(file)) return;
    const synced = JSON.parse(fs.readFileSync(file, 'utf8')) as Record<string, number>;
    Object.entries(synced)
      .filter(([name]) => fs.existsSync(name))
      .filter(([name, bytes]) => fs.statSync(name).size > bytes)
      .forEach(([name, bytes]) => fs.truncateSync(name, bytes));
  }

  /** Appends an incomplete frame to a keeper's journal, as a write interrupted by a power loss leaves it. */
  tearJournal(keeper: Vm): void {
    const journal = path.join(keeper.dataFolder, 'catalogue', 'journal');
    if (fs.existsSync(journal)) fs.appendFileSync(journal, Buffer.from([0, 0, 0, 99, 1, 2, 3]));
  }

  /** Prevents keepers that start later from founding a fleet. */
  forbidFounding(): void {
    this.keepers.forEach((vm) => this.writeSettings(vm, false));
  }

  /** Cuts the links between a VM and all other VMs, in one direction or both. */
  cutLinks(vm: Vm, direction: 'in' | 'out' | 'both'): void {
    this.vms
      .filter((other) => other !== vm)
      .forEach(({ host }) => {
        if (direction !== 'out') this.network.cut(host, vm.host);
        if (direction !== 'in') this.network.cut(vm.host, host);
      });
  }

  /** Restores all links of a VM. */
  restoreLinks(vm: Vm): void {
    this.vms.forEach(({ host }) => {
      this.network.restore(host, vm.host);
      this.network.restore(vm.host, host);
    });
  }

  /** Takes an entry's paths to all targets, while callers and the other VMs still reach it. */
  severPaths(entry: Vm, failure: schedule.PathFailure): void {
    this.targets.forEach(({ host }) => {
      if (failure === 'refused') {
        this.network.refuse(entry.host, host);
        return;
      }
      this.network.cut(host, entry.host);
      if (failure === 'silent') this.network.cut(entry.host, host);
    });
  }

  restorePaths(entry: Vm): void {
    this.targets.forEach(({ host }) => {
      this.network.restore(host, entry.host);
      this.network.restore(entry.host, host);
      this.network.accept(entry.host, host);
    });
  }

  /** Kills all processes of the run and closes the forwarders. */
  async stop(): Promise<void> {
    const all = [...this.vms, ...this.targets].map(({ process: each }) => each);
    all.forEach((each) => each.signal('SIGCONT'));
    await Promise.all(all.map((each) => each.kill()));
    this.network.close();
  }

  private createVm(role: Role, index: number, addressIndex: number): Vm {
    const name = `${role}-${index}`;
    const { folder, program } = this.options;
    const settingsFile = path.join(folder, `${name}.ini`);
    const dataFolder = path.join(folder, `${name}.data`);
    const faultsFile = path.join(folder, `${name}.faults`);
    const setFaults = (faults: runtimeFaults.RuntimeFaults): void =>
      replaceFile(faultsFile, JSON.stringify(faults));
    fs.mkdirSync(dataFolder, { recursive: true });
    setFaults(runtimeFaults.NO_FAULTS);
    const vm: Vm = {
      role,
      index,
      host: this.addresses.host('vm', addressIndex),
      advertisedHost: this.addresses.host('vmForwarded', addressIndex),
      settingsFile,
      dataFolder,
      faultsFile,
      setFaults,
      process: new child.Child({
        name,
        args: ['--require', path.join(__dirname, 'runtimeFaults.js'), program, settingsFile],
        environment: { [runtimeFaults.FAULTS_FILE_VARIABLE]: faultsFile },
        logFile: path.join(folder, `${name}.log`),
      }),
    };
    this.writeSettings(vm, true);
    return vm;
  }

  writeSettings(vm: Vm, mayFound: boolean): void {
    const { host, role, index } = vm;
    const { PORT, BOUNDS } = layout;
    const seeds = [0, 1, 2].map((i) => `${this.addresses.host('vmForwarded', i)}:${PORT.peers}`);
    const listeners =
      role === 'entry'
        ? [`callers = ${host}:${PORT.callers}`, `readiness = ${host}:${PORT.readiness}`]
        : [`control = ${host}:${PORT.control}`];
    const data = [
      '[data]',
      `folder = ${vm.dataFolder}`,
      `may-found = ${mayFound}`,
      'tolerated-losses = 2',
    ];
    const lines = [
      '[daemon]',
      `role = ${role}`,
      `name = ${role}-${index}`,
      `data-centre = ${layout.dataCentreOf(index)}`,
      `data-centres = ${layout.DATA_CENTRES.join(', ')}`,
      '[listen]',
      ...listeners,
      `peers = ${host}:${PORT.peers}`,
      `advertised = ${vm.advertisedHost}:${PORT.peers}`,
      `source = ${host}`,
      '[keepers]',
      `seeds = ${seeds.join(', ')}`,
      'secret = soaked-in-sixteen-characters',
      ...(role === 'keeper' ? data : []),
      '[bounds]',
      `revoke-ms = ${BOUNDS.revokeMs}`,
      `drain-ms = ${BOUNDS.drainMs}`,
      `evacuation-ms = ${BOUNDS.evacuationMs}`,
      `stop-seconds = ${BOUNDS.stopMs / 1_000}`,
    ];
    replaceFile(vm.settingsFile, `${lines.join('\n')}\n`);
  }

  private createTarget(index: number): TargetVm {
    const { folder, layout: sizes, onLine } = this.options;
    const isEngine = index < sizes.engines;
    const modeFile = path.join(folder, `target-${index}.mode`);
    const selfReport: targetMain.SelfReport = {};
    const wordsFile = path.join(folder, `target-${index}.words`);
    const host = this.addresses.host('target', index);
    const advertisedHost = this.addresses.host('targetForwarded', index);
    const options: targetMain.Options = {
      id: '',
      service: isEngine ? SERVICE.engines : SERVICE.plain,
      dataCentre: layout.dataCentreOf(index),
      host,
      port: layout.TARGET_PORT,
      address: `${advertisedHost}:${layout.TARGET_PORT}`,
      slots: isEngine ? ENGINE_SLOTS : PLAIN_SLOTS,
      memoryTokens: isEngine ? ENGINE_MEMORY_TOKENS : 0,
      keepers: this.controlAddresses,
      modeFile,
      wordsFile,
    };
    return {
      index,
      host,
      advertisedHost,
      lifetime: '',
      setMode: (mode) => replaceFile(modeFile, mode),
      setSelfReport: (changed) =>
        replaceFile(wordsFile, JSON.stringify(Object.assign(selfReport, changed))),
      process: new child.Child({
        name: `target-${index}`,
        args: [path.join(__dirname, 'targetMain.js'), JSON.stringify(options)],
        environment: {},
        logFile: path.join(folder, `target-${index}.log`),
        onLine: (line) => onLine(JSON.parse(line) as targetMain.OutputLine),
      }),
    };
  }
}

/** Replaces a file atomically: readers see the old or the new content. */
function replaceFile(file: string, content: string): void {
  fs.writeFileSync(`${file}.new`, content);
  fs.renameSync(`${file}.new`, file);
}
