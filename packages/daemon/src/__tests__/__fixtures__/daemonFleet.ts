/** A small fleet in the test process: daemons, and stand-ins for engines and services that announce themselves. */
import * as crypto from 'node:crypto';
import * as fs from 'node:fs';
import * as os from 'node:os';
import * as path from 'node:path';
import * as standins from '@celerydrift/standins';
import * as undici from 'undici';
import * as configuration from '../../configuration/configuration';
import * as daemon from '../../daemon';
import * as ports from './ports';

export const KEY = 'caller-key';

export const TOKEN = 'operator-token';

const SECRET = 'secret-of-the-tests';

export function sha256(text: string): string {
  return crypto.createHash('sha256').update(text).digest('hex');
}

export const TEAM_SETTINGS = `[organisation.kisumu]
key = sha256:${sha256(KEY)}
deadline-seconds = 20
[organisation.limited]
key = sha256:${sha256('limited-key')}
tokens-per-second = 100
[model.quotes]
base = base
[service.parts]
not-repeatable = POST /holds
timeout-seconds = 5
[operator.amina]
token = sha256:${sha256('amina-token')}
`;

/** Parameters of engines that are so fast that tests don't wait for them. */
const FAST_ENGINE: standins.parameters.Parameters = {
  ...standins.parameters.DEFAULT_PARAMETERS,
  tokenMs: 0.0001,
  stepBaseMs: 1,
  attentionTokens: 1e9,
};

/** Waits until a condition holds; throws after `timeoutMs`. Tests never assert how long it took. */
export async function until(
  what: string,
  condition: () => boolean | Promise<boolean>,
  timeoutMs = 30_000,
): Promise<void> {
  const deadline = Date.now() + timeoutMs;
  while (!(await condition())) {
    if (Date.now() > deadline) throw new Error(`timed out waiting for ${what}`);
    await new Promise((resolve) => {
      setTimeout(resolve, 10);
    });
  }
}

export interface Reply {
  status: number;
  outcome: string;
  headers: Record<string, unknown>;
  text: string;
}

export interface TlsFiles {
  certificate: string;
  key: string;
  authority: string;
}

export class DaemonFleet {
  readonly daemons: daemon.Daemon[] = [];

  readonly engines = new Map<string, standins.engineServer.EngineServer>();

  readonly services = new Map<string, standins.plainService.PlainService>();

  readonly folder = fs.mkdtempSync(path.join(os.tmpdir(), 'celerydrift-test-'));

  private readonly peerPorts: number[] = [];

  private readonly targetPorts: number[] = [];

  private readonly standinPorts = new Map<string, number>();

  private readonly scheme: string;

  private readonly dispatcher: undici.Agent;

  constructor(private readonly tls?: TlsFiles) {
    this.scheme = tls === undefined ? 'http' : 'https';
    const ca = tls === undefined ? undefined : fs.readFileSync(tls.authority);
    this.dispatcher = new undici.Agent({ connect: { ca } });
  }

  /** Starts `count` daemons, all with disks, and applies the settings of the team. */
  async start(count: number): Promise<void> {
    for (let i = 0; i < count; i++) {
      this.peerPorts.push(await ports.freePort());
      this.targetPorts.push(await ports.freePort());
    }
    for (let i = 0; i < count; i++) await this.startDaemon(i);
    await this.applySettings('fitters', TEAM_SETTINGS, 0);
    await until('all daemons to be ready', () =>
      this.daemons.every((each) => each.unready() === undefined),
    );
  }

  async startDaemon(index: number): Promise<void> {
    const read = configuration.read(this.settingsText(index));
    const started = await daemon.Daemon.start(read.unwrap(), (error) => {
      throw error;
    });
    this.daemons[index] = started.unwrap();
  }

  async startEngine(
    name: string,
    overrides: Partial<standins.parameters.Parameters> = {},
    fencing: 'checked' | 'ignored' = 'checked',
  ): Promise<standins.engineServer.EngineServer> {
    const engine = new standins.engineServer.EngineServer({
      name,
      host: '127.0.0.1',
      port: this.standinPorts.get(name) ?? 0,
      dataCentre: 'dc-1',
      models: [{ base: 'base', adapter: '', version: '1' }],
      fencing,
      entries: this.targetUrls(),
      secret: SECRET,
      parameters: { ...FAST_ENGINE, ...overrides },
    });
    this.standinPorts.set(name, await engine.start());
    this.engines.set(name, engine);
    await this.untilKnown(name);
    return engine;
  }

  async startService(name: string): Promise<standins.plainService.PlainService> {
    const service = new standins.plainService.PlainService({
      name,
      service: 'parts',
      host: '127.0.0.1',
      port: 0,
      dataCentre: 'dc-1',
      entries: this.targetUrls(),
      secret: SECRET,
      workMs: 2,
    });
    this.standinPorts.set(name, await service.start());
    this.services.set(name, service);
    await this.untilKnown(name);
    return service;
  }

  async untilKnown(name: string): Promise<void> {
    await until(`${name} at all daemons`, () =>
      this.daemons.every((each) => each.targets.get(name)?.status === 'serving'),
    );
  }

  /** Sets a fault of a stand-in, or clears its faults. */
  async injectFault(name: string, kind: string, count = 1, delayMs = 0): Promise<void> {
    const url = `http://127.0.0.1:${this.standinPorts.get(name)}/fault`;
    const { body } = await undici.request(url, {
      method: 'POST',
      body: JSON.stringify({ kind, count, delayMs }),
      // A fault may silence this connection, so it must not be reused for the next one.
      reset: true,
    });
    await body.dump();
  }

  url(index = 0): string {
    return `${this.scheme}://127.0.0.1:${this.daemons[index]?.ports.callers}`;
  }

  async call(
    method: string,
    urlPath: string,
    body?: unknown,
    { key = KEY, index = 0, headers = {} } = {},
  ): Promise<Reply> {
    const answer = await undici.request(`${this.url(index)}${urlPath}`, {
      method: method as 'GET',
      dispatcher: this.dispatcher,
      headers: { authorization: `Bearer ${key}`, ...headers },
      body: body === undefined ? undefined : JSON.stringify(body),
    });
    const outcome = String(answer.headers['x-celerydrift-outcome'] ?? '');
    const text = await answer.body.text();
    return { status: answer.statusCode, outcome, headers: answer.headers, text };
  }

  complete(prompt: string, answerTokens: number, index = 0): Promise<Reply> {
    const body = { model: 'quotes', prompt, max_tokens: answerTokens };
    return this.call('POST', '/v1/completions', body, { index });
  }

  async operator(
    method: string,
    urlPath: string,
    body?: unknown,
    token = TOKEN,
    index = 0,
  ): Promise<{ status: number; content: Record<string, unknown> }> {
    const url = `${this.scheme}://127.0.0.1:${this.daemons[index]?.ports.operators}/v1/${urlPath}`;
    const answer = await undici.request(url, {
      method: method as 'GET',
      dispatcher: this.dispatcher,
      headers: { authorization: `Bearer ${token}` },
      body: body === undefined ? undefined : JSON.stringify(body),
    });
    return {
      status: answer.statusCode,
      content: (await answer.body.json()) as Record<string, unknown>,
    };
  }

  async applySettings(subtree: string, text: string, basedOn: number, index = 0): Promise<number> {
    const id = crypto.randomUUID();
    let status = 503;
    await until(`settings of ${subtree} to be accepted`, async () => {
      const answer = await this.operator(
        'PUT',
        `settings/${subtree}`,
        { id, basedOn, text },
        TOKEN,
        index,
      );
      ({ status } = answer);
      return status !== 503;
    });
    return status;
  }

  async stop(): Promise<void> {
    await Promise.all([...this.engines.values()].map((each) => each.stop()));
    await Promise.all([...this.services.values()].map((each) => each.stop()));
    await Promise.all(this.daemons.map((each) => each.halt()));
    fs.rmSync(this.folder, { recursive: true, force: true });
  }

  deleteDataFolder(index: number): void {
    fs.rmSync(path.join(this.folder, `vm-${index}`), { recursive: true, force: true });
  }

  private tlsLines(): string {
    if (this.tls === undefined) return '';
    const { certificate, key, authority } = this.tls;
    return `certificate = ${certificate}\nkey = ${key}\nauthority = ${authority}\n`;
  }

  private targetUrls(): string[] {
    return this.targetPorts.map((port) => `http://127.0.0.1:${port}`);
  }

  private settingsText(index: number): string {
    const peers = this.peerPorts.map((port) => `127.0.0.1:${port}`).join(',');
    return `[daemon]
name = vm-${index}
data-centre = dc-1
[listen]
callers = 127.0.0.1:0
targets = 127.0.0.1:${this.targetPorts[index]}
operators = 127.0.0.1:0
peers = 127.0.0.1:${this.peerPorts[index]}
[peers]
seeds = ${peers}
secret = ${SECRET}
[data]
folder = ${path.join(this.folder, `vm-${index}`)}
founders = ${peers}
[security]
target-secret = ${SECRET}
operator-token = sha256:${sha256(TOKEN)}
${this.tlsLines()}[observe]
level = fatal
[limits]
body-bytes = 8000000
[timeouts]
silence-ms = 150
dead-replica-ms = 1500
`;
  }
}
