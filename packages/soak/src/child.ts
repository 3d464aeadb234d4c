/** One process that the soak started. Only these are ever signalled, by their ids. */
import * as childProcess from 'node:child_process';
import * as fs from 'node:fs';
import * as readline from 'node:readline';

export interface Command {
  name: string;
  /** Arguments for Node.js. */
  args: string[];
  environment: Record<string, string>;
  /** Everything that the process writes is appended here. */
  logFile: string;
  /** Called for each line of its standard output. */
  onLine?: (line: string) => void;
}

/**
 * Processes that run now. A soak that is itself ended must not leave them behind: they would hold the addresses
 * that the next one needs.
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

  /** Counts starts; a process that was started again is another incarnation. */
  incarnation = 0;

  constructor(readonly command: Command) {}

  get isRunning(): boolean {
    return this.process !== undefined;
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

  /** Resolves when the process has ended; one that outlasts `graceMs` is killed. */
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
