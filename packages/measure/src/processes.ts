/** Child processes of measurements: starts them, keeps their output line by line, and ends them by process id. */
import * as childProcess from 'node:child_process';
import * as net from 'node:net';
import * as readline from 'node:readline';

export function sleep(ms: number): Promise<void> {
  return new Promise((resolve) => {
    setTimeout(resolve, ms);
  });
}

/** Finds free ports of the loopback address. They are released before it returns, so another process may take them. */
export async function freePorts(count: number): Promise<number[]> {
  const servers = await Promise.all(
    Array.from(
      { length: count },
      () =>
        new Promise<net.Server>((resolve) => {
          const server = net.createServer();
          server.listen(0, '127.0.0.1', () => resolve(server));
        }),
    ),
  );
  const ports = servers.map((server) => (server.address() as net.AddressInfo).port);
  await Promise.all(
    servers.map(
      (server) =>
        new Promise<void>((resolve) => {
          server.close(() => resolve());
        }),
    ),
  );
  return ports;
}

/** A child process whose latest output lines are kept. */
export class Process {
  private child: childProcess.ChildProcess | undefined;

  readonly lines: string[] = [];

  constructor(
    readonly name: string,
    private readonly script: string,
    private readonly parameters: readonly string[],
  ) {}

  get pid(): number | undefined {
    return this.child?.pid;
  }

  start(): void {
    const child = childProcess.spawn(process.execPath, [this.script, ...this.parameters], {
      stdio: ['ignore', 'pipe', 'pipe'],
    });
    this.child = child;
    [child.stdout, child.stderr].forEach((stream) => {
      readline.createInterface({ input: stream }).on('line', (line) => {
        this.lines.push(line);
        if (this.lines.length > 5_000) this.lines.splice(0, 1_000);
      });
    });
  }

  signal(name: NodeJS.Signals): void {
    if (this.child?.exitCode === null) this.child.kill(name);
  }

  /** Sends a signal, SIGKILL by default, and waits for the process to exit; resolves with its exit code. */
  async kill(name: NodeJS.Signals = 'SIGKILL'): Promise<number | null> {
    const { child } = this;
    if (child === undefined || child.exitCode !== null || child.signalCode !== null) {
      return child?.exitCode ?? null;
    }
    const exited = new Promise<number | null>((resolve) => {
      child.once('exit', (code) => resolve(code));
    });
    child.kill(name);
    if (name !== 'SIGTERM') child.kill('SIGCONT');
    return exited;
  }

  /** Waits for the first line for which `parse` returns a value, and returns that value. */
  async waitForLine<T>(parse: (line: string) => T | undefined, timeoutMs = 15_000): Promise<T> {
    const until = Date.now() + timeoutMs;
    while (Date.now() < until) {
      for (const line of this.lines) {
        const parsed = parse(line);
        if (parsed !== undefined) return parsed;
      }
      await sleep(20);
    }
    throw new Error(
      `${this.name} printed no expected line within ${timeoutMs} ms: ${this.lines.slice(-5).join('\n')}`,
    );
  }
}
