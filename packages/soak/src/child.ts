/** A child process of the soak test. Only processes started here are ever signalled, by their ids. */
import * as childProcess from 'node:child_process';
import * as fs from 'node:fs';
import * as readline from 'node:readline';

export interface Command {
  name: string;
  /** Arguments for Node.js. */
  args: string[];
  environment: Record<string, string>;
  /** Standard output and standard error are appended to this file. */
  logFile: string;
  /** Called with each line of standard output. */
  onLine?: (line: string) => void;
}

/**
 * Running child processes. They are killed when the soak test exits, since they would otherwise keep the addresses
 * that the next run needs.
 */
const liveProcesses = new Set<childProcess.ChildProcess>();

function killAll(): void {
  liveProcesses.forEach((each) => each.kill('SIGKILL'));
}

process.on('exit', killAll);
(['SIGINT', 'SIGTERM', 'SIGHUP'] as const).forEach((signal) => {
  process.on(signal, () => process.exit(1));
});

export class Child {
  private process: childProcess.ChildProcess | undefined;

  /** Number of starts so far; each start is a new incarnation. */
  incarnation = 0;

  constructor(readonly command: Command) {}

  get isRunning(): boolean {
    return this.process !== undefined;
  }

  /** Memory that the process occupies, in bytes; undefined if it doesn't run. */
  get residentBytes(): number | undefined {
    if (this.process === undefined) return undefined;
    const status = fs.readFileSync(`/proc/${this.process.pid}/status`, 'utf8');
    const [, kilobytes] = /^VmRSS:\s+(\d+) kB$/m.exec(status) ?? [];
    return kilobytes === undefined ? undefined : 1_024 * Number(kilobytes);
  }

  start(): void {
    if (this.process !== undefined) return;
    const { args, environment, logFile, onLine } = this.command;
    this.incarnation += 1;
    const log = fs.openSync(logFile, 'a');
    const started = childProcess.spawn(process.execPath, args, {
      env: { ...environment, PATH: process.env.PATH },
      stdio: ['ignore', onLine === undefined ? log : 'pipe', log],
    });
    fs.closeSync(log);
    this.process = started;
    liveProcesses.add(started);
    started.once('exit', () => {
      liveProcesses.delete(started);
      if (this.process === started) this.process = undefined;
    });
    if (onLine === undefined || started.stdout === null) return;
    readline.createInterface({ input: started.stdout }).on('line', (line) => {
      fs.appendFileSync(logFile, `${line}\n`);
      onLine(line);
    });
  }

  signal(name: NodeJS.Signals): void {
    this.process?.kill(name);
  }

  /** Resolves when the process has exited; kills it after `graceMs`. */
  async exited(graceMs: number): Promise<void> {
    const exiting = this.process;
    if (exiting === undefined) return;
    const timer = setTimeout(() => exiting.kill('SIGKILL'), graceMs);
    await new Promise<void>((resolve) => {
      if (exiting.exitCode !== null || exiting.signalCode !== null) resolve();
      else exiting.once('exit', () => resolve());
    });
    clearTimeout(timer);
    if (this.process === exiting) this.process = undefined;
  }

  async kill(): Promise<void> {
    this.signal('SIGKILL');
    await this.exited(0);
  }
}
