/** The processes of one run: keepers, entries and targets, their settings, files and forwarders. */
import * as fs from 'node:fs';
import * as path from 'node:path';
import * as child from './child';
import * as forwarder from './forwarder';
import * as layout from './layout';
import * as runtimeFaults from './runtimeFaults';
import type * as targetMain from './targetMain';

export type Role = 'entry' | 'keeper';

export interface Vm {
  role: Role;
  index: number;
  /** Address that the process listens on. */
  host: string;
  /** Address that other processes are told. */
  forwarded: string;
  settingsFile: string;
  dataFolder: string;
  /** What is harmed in its process, for `runtimeFaults`. */
  faultsFile: string;
  process: child.Child;
  setFaults: (faults: runtimeFaults.RuntimeFaults) => void;
}

export interface TargetVm {
  index: number;
  host: string;
  forwarded: string;
  /** Id of the lifetime that runs or ran last. */
  lifetime: string;
  process: child.Child;
  setMode: (mode: targetMain.Mode) => void;
  /** Changes what its answers say of it. */
  setWords: (words: targetMain.Words) => void;
}

export interface Options {
  folder: string;
  /** Program that runs on each VM, a file for Node.js. */
  program: string;
  network: number;
  layout: layout.Layout;
  onLine: (line: targetMain.Line) => void;
}

/** Names of services in the catalogue. */
export const SERVICE = { engines: 'engines', plain: 'plain' } as const;

export const ENGINE_SLOTS = 16;
export const ENGINE_MEMORY_TOKENS = 300_000;
const PLAIN_SLOTS = 40;
const DATA_CENTRES = ['east', 'west', 'south'];

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
    this.keepers = numbers(sizes.keepers).map((i) => this.makeVm('keeper', i, i));
    this.entries = numbers(sizes.entries).map((i) => this.makeVm('entry', i, sizes.keepers + i));
    this.targets = numbers(sizes.engines + sizes.services).map((i) => this.makeTarget(i));
  }

  get vms(): Vm[] {
    return [...this.keepers, ...this.entries];
  }

  /** Control addresses of all keepers. */
  get controls(): string[] {
    return this.keepers.map(({ host }) => `${host}:${layout.PORT.control}`);
  }

  async start(): Promise<void> {
    const ways = [
      ...this.vms.map(({ forwarded, host }) => ({ forwarded, host, port: layout.PORT.peers })),
      ...this.targets.map(({ forwarded, host }) => ({ forwarded, host, port: layout.TARGET_PORT })),
    ];
    await Promise.all(
      ways.map(({ forwarded, host, port }) => this.network.forward(forwarded, host, port)),
    );
    this.vms.forEach((vm) => vm.process.start());
    this.targets.forEach((target) => this.startTarget(target));
  }

  /** Starts a target as a new lifetime, under a new id or the one that it had. */
  startTarget(target: TargetVm, keepsId = false): void {
    if (target.process.isRunning) return;
    if (!keepsId) target.lifetime = `t${target.index}-${target.process.incarnation + 1}`;
    const words = target.process.command.words;
    const options = JSON.parse(words[1]) as targetMain.Options;
    words[1] = JSON.stringify({ ...options, id: target.lifetime } satisfies targetMain.Options);
    target.process.start();
  }

  /** Empties a keeper's folder: what its disk held is gone. It must not found a fleet again. */
  wipe(keeper: Vm): void {
    fs.rmSync(runtimeFaults.syncedFile(keeper.faultsFile), { force: true });
    fs.rmSync(keeper.dataFolder, { recursive: true, force: true });
    fs.mkdirSync(keeper.dataFolder, { recursive: true });
  }

  /** Takes from a keeper's files what no sync has covered, as a power loss may. */
  losePower({ faultsFile }: Vm): void {
    const file = runtimeFaults.syncedFile(faultsFile);
    if (!fs.existsSync(file)) return;
    const synced = JSON.parse(fs.readFileSync(file, 'utf8')) as Record<string, number>;
    Object.entries(synced)
      .filter(([name]) => fs.existsSync(name))
      .filter(([name, bytes]) => fs.statSync(name).size > bytes)
      .forEach(([name, bytes]) => fs.truncateSync(name, bytes));
  }

  /** Leaves half a frame at the end of a keeper's journal, as a write does that a power loss cut. */
  tear(keeper: Vm): void {
    const journal = path.join(keeper.dataFolder, 'catalogue', 'journal');
    if (fs.existsSync(journal)) fs.appendFileSync(journal, Buffer.from([0, 0, 0, 99, 1, 2, 3]));
  }

  /** From now on no start founds a fleet. */
  forbidFounding(): void {
    this.keepers.forEach((vm) => this.writeSettings(vm, false));
  }

  /** Cuts a VM from all other VMs, in one direction or both. */
  cut(vm: Vm, direction: 'in' | 'out' | 'both'): void {
    this.vms
      .filter((other) => other !== vm)
      .forEach(({ host }) => {
        if (direction !== 'out') this.network.cut(host, vm.host);
        if (direction !== 'in') this.network.cut(vm.host, host);
      });
  }

  /** Undoes the cuts of a VM. */
  mend(vm: Vm): void {
    this.vms.forEach(({ host }) => {
      this.network.mend(host, vm.host);
      this.network.mend(vm.host, host);
    });
  }

  /** Ends every process that was started here, by its id. */
  async stop(): Promise<void> {
    const all = [...this.vms, ...this.targets].map(({ process: each }) => each);
    all.forEach((each) => each.signal('SIGCONT'));
    await Promise.all(all.map((each) => each.kill()));
    this.network.close();
  }

  private makeVm(role: Role, index: number, place: number): Vm {
    const name = `${role}-${index}`;
    const { folder, program } = this.options;
    const settingsFile = path.join(folder, `${name}.ini`);
    const dataFolder = path.join(folder, `${name}.data`);
    const faultsFile = path.join(folder, `${name}.faults`);
    const setFaults = (faults: runtimeFaults.RuntimeFaults): void =>
      replaceFile(faultsFile, JSON.stringify(faults));
    fs.mkdirSync(dataFolder, { recursive: true });
    setFaults(runtimeFaults.SOUND);
    const vm: Vm = {
      role,
      index,
      host: this.addresses.host('vm', place),
      forwarded: this.addresses.host('vmForwarded', place),
      settingsFile,
      dataFolder,
      faultsFile,
      setFaults,
      process: new child.Child({
        name,
        words: ['--require', path.join(__dirname, 'runtimeFaults.js'), program, settingsFile],
        environment: { [runtimeFaults.VARIABLE]: faultsFile },
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
      `data-centre = ${DATA_CENTRES[index % DATA_CENTRES.length]}`,
      '[listen]',
      ...listeners,
      `peers = ${host}:${PORT.peers}`,
      `advertised = ${vm.forwarded}:${PORT.peers}`,
      `source = ${host}`,
      '[keepers]',
      `seeds = ${seeds.join(', ')}`,
      'secret = soaked-in-sixteen-characters',
      ...(role === 'keeper' ? data : []),
      '[bounds]',
      `revoke-ms = ${BOUNDS.revokeMs}`,
      `drain-ms = ${BOUNDS.drainMs}`,
      `stop-seconds = ${BOUNDS.stopMs / 1_000}`,
    ];
    replaceFile(vm.settingsFile, `${lines.join('\n')}\n`);
  }

  private makeTarget(index: number): TargetVm {
    const { folder, layout: sizes, onLine } = this.options;
    const isEngine = index < sizes.engines;
    const modeFile = path.join(folder, `target-${index}.mode`);
    const words: targetMain.Words = {};
    const wordsFile = path.join(folder, `target-${index}.words`);
    const host = this.addresses.host('target', index);
    const forwarded = this.addresses.host('targetForwarded', index);
    const options: targetMain.Options = {
      id: '',
      service: isEngine ? SERVICE.engines : SERVICE.plain,
      dataCentre: DATA_CENTRES[index % DATA_CENTRES.length],
      host,
      port: layout.TARGET_PORT,
      address: `${forwarded}:${layout.TARGET_PORT}`,
      slots: isEngine ? ENGINE_SLOTS : PLAIN_SLOTS,
      memoryTokens: isEngine ? ENGINE_MEMORY_TOKENS : 0,
      keepers: this.controls,
      modeFile,
      wordsFile,
    };
    return {
      index,
      host,
      forwarded,
      lifetime: '',
      setMode: (mode) => replaceFile(modeFile, mode),
      setWords: (changed) => replaceFile(wordsFile, JSON.stringify(Object.assign(words, changed))),
      process: new child.Child({
        name: `target-${index}`,
        words: [path.join(__dirname, 'targetMain.js'), JSON.stringify(options)],
        environment: {},
        logFile: path.join(folder, `target-${index}.log`),
        onLine: (line) => onLine(JSON.parse(line) as targetMain.Line),
      }),
    };
  }
}

/** Readers see the old or the new content, never a part of it. */
function replaceFile(file: string, content: string): void {
  fs.writeFileSync(`${file}.new`, content);
  fs.renameSync(`${file}.new`, file);
}
