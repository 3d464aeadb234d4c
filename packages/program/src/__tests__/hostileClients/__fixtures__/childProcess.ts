/** A process of the system under test, with what it takes from its machine. */
import * as childProcess from 'node:child_process';
import * as fs from 'node:fs';
import * as path from 'node:path';

const ROOT = path.join(__dirname, '../../../../../..');

export const MB = 1_048_576;

export interface Command {
  /** Arguments for Node.js. */
  args: string[];
  /** Most descriptors that the operating system lets it open; undefined for the limit of this process. */
  descriptors?: number;
}

/** Time that a process needs to end after its last connection did, milliseconds. */
const ENDING_MS = 500;

/** Killed when the tests end, since processes that a failed test left behind would keep their addresses. */
const running = new Set<childProcess.ChildProcess>();

process.on('exit', () => running.forEach((child) => child.kill('SIGKILL')));

export class ChildProcess {
  /** Exit code or signal; undefined while it runs. */
  ending: string | undefined;

  output = '';

  private readonly child: childProcess.ChildProcess;

  private readonly ended: Promise<void>;

  constructor({ args, descriptors }: Command) {
    const limit = descriptors === undefined ? '' : `ulimit -n ${descriptors} && `;
    const shell = ['-c', `${limit}exec "$0" "$@"`, process.execPath, ...args];
    this.child = childProcess.spawn('/bin/sh', shell, { cwd: ROOT, env: { PATH: '' } });
    running.add(this.child);
    this.child.stdout?.on('data', (data) => this.append(String(data)));
    this.child.stderr?.on('data', (data) => this.append(String(data)));
    this.ended = new Promise((resolve) => {
      this.child.once('exit', (code, signal) => {
        this.ending = String(signal ?? code);
        running.delete(this.child);
        resolve();
      });
    });
  }

  /** Most memory that it has occupied, bytes; without the buffers of the operating system. */
  get peakBytes(): number {
    if (this.ending !== undefined) return Infinity;
    const status = fs.readFileSync(`/proc/${this.child.pid}/status`, 'utf8');
    return 1_024 * Number(/^VmHWM:\s+(\d+) kB$/m.exec(status)?.[1]);
  }

  /** Descriptors that it has open. */
  get descriptors(): number {
    return this.ending === undefined ? fs.readdirSync(`/proc/${this.child.pid}/fd`).length : NaN;
  }

  /** How it ended, with its last output; undefined if it runs. Waits for a process that is about to end. */
  async failure(): Promise<string | undefined> {
    await Promise.race([this.ended, sleep(ENDING_MS)]);
    return this.ending === undefined ? undefined : `${this.ending}: ${this.output}`;
  }

  async kill(): Promise<void> {
    this.child.kill('SIGKILL');
    await this.ended;
  }

  /** Keeps the end of the output, which tells how a process failed. */
  private append(text: string): void {
    this.output = (this.output + text).slice(-20_000);
  }
}

export function sleep(ms: number): Promise<void> {
  return new Promise((resolve) => {
    setTimeout(resolve, ms);
  });
}

/** Bundles the program as a deployment does. */
export function build(): void {
  childProcess.execFileSync(process.execPath, ['packages/program/bundle.mjs'], { cwd: ROOT });
}
