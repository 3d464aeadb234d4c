/* eslint-disable */
/**
 * A small deployment on loopback addresses: keepers and entries are the program itself, started with the commands and
 * the settings templates of the deploy file. Every machine has an address of its own.
 */
import * as childProcess from 'node:child_process';
import * as fs from 'node:fs';
import * as http from 'node:http';
import * as net from 'node:net';
import * as os from 'node:os';
import * as path from 'node:path';
import process from 'node:process';
import * as timers from 'node:timers';
import * as url from 'node:url';

export const ROOT = path.resolve(path.dirname(url.fileURLToPath(import.meta.url)), '..', '..');

export const sleep = (ms) => new Promise((resolve) => timers.setTimeout(resolve, ms));

const ZONES = { 'may-pen': 'jm-south', mandeville: 'jm-south', 'old-harbour': 'jm-south' };
export const ZONE_NAMES = Object.keys(ZONES);

/** Bounds of the sheet of bmcg-logs. */
export const BOUNDS = {
  seedLagS: 3,
  addrReuseS: 2,
  stableWindowMs: 3000,
  ackMs: 4000,
  syncS: 4,
  drainMs: 2000,
  graceS: 8,
  lossSlackMs: 200,
  configApplyMs: 2000,
  rollbackSlackMs: 250,
  skewMaxMs: 5000,
  strictRevoke: true,
  revokeMs: 5000,
  retryBudgetRatio: 0.2,
  retryWindowS: 10,
  retrySlack: 102,
  recoverS: 12,
  passMs: 120,
};

function lookup(scope, name) {
  if (name === '.') return scope.at(-1);
  const [first, ...rest] = name.split('.');
  const owner = [...scope]
    .reverse()
    .find((each) => each !== null && typeof each === 'object' && first in each);
  return rest.reduce((value, key) => value?.[key], owner?.[first]);
}

function text(value) {
  if (value === undefined || value === null) return '';
  if (Array.isArray(value)) return value.join(',');
  return typeof value === 'object' ? JSON.stringify(value) : String(value);
}

/** Fills in a template as the page on deployment tells. */
export function render(template, fields) {
  const section = /\{\{#([\w.]+)\}\}([\s\S]*?)\{\{\/\1\}\}/g;
  const expanded = template.replace(section, (_, name, inner) => {
    const value = lookup([fields], name);
    if (value === undefined || value === false || value === null) return '';
    if (typeof value !== 'object') return inner;
    const keys = Object.keys(value);
    return keys
      .map((key, i) =>
        inner.replace(/\{\{@\}\}/g, key).replace(/\{\{,\}\}/g, i < keys.length - 1 ? ',' : ''),
      )
      .join('');
  });
  return expanded.replace(/\{\{([\w.]+)\}\}/g, (_, name) => text(lookup([fields], name)));
}

function deployFile() {
  const roles = {};
  let role;
  for (const line of fs
    .readFileSync(path.join(ROOT, 'deploy', 'system.toml'), 'utf8')
    .split('\n')) {
    const head = /^\[roles\.(.+)\]$/.exec(line);
    if (head) role = roles[head[1]] = {};
    const field = /^(run|template)\s*=\s*"(.*)"$/.exec(line);
    if (field && role) role[field[1]] = field[2];
  }
  return roles;
}

const ROLES = deployFile();

function canListen(host, port) {
  return new Promise((resolve) => {
    const server = net.createServer();
    server.once('error', () => resolve(false));
    server.listen(port, host, () => server.close(() => resolve(true)));
  });
}

/** Two bytes of a loopback network whose ports nobody uses. */
async function freeNetwork(ports) {
  for (let i = 0; i < 50; i++) {
    const prefix = `127.${20 + Math.floor(Math.random() * 200)}.${1 + Math.floor(Math.random() * 250)}`;
    const results = await Promise.all(ports.map((port) => canListen(`${prefix}.1`, port)));
    if (results.every(Boolean)) return prefix;
  }
  throw new Error('no free loopback network');
}

const children = new Set();

function killAll() {
  children.forEach((child) => {
    child.kill('SIGCONT');
    child.kill('SIGKILL');
  });
}
process.on('exit', killAll);
['SIGINT', 'SIGTERM', 'SIGHUP'].forEach((signal) => process.on(signal, () => process.exit(2)));

/** A machine with one process of the program. */
export class Machine {
  constructor(deployment, role, index, fields) {
    Object.assign(this, { deployment, role, index, ip: fields.ip, fields, child: undefined });
    this.settingsFile = path.join(deployment.folder, `${fields.nodeName}.ini`);
    this.logFile = path.join(deployment.folder, `${fields.nodeName}.log`);
  }

  get name() {
    return this.fields.nodeName;
  }

  start() {
    const { run, template } = ROLES[this.role];
    const rendered = render(fs.readFileSync(path.join(ROOT, template), 'utf8'), this.fields);
    fs.writeFileSync(this.settingsFile, rendered);
    const [, ...args] = run.split(' ');
    const log = fs.openSync(this.logFile, 'a');
    const child = childProcess.spawn(process.execPath, args, {
      cwd: ROOT,
      env: {
        CELERYDRIFT_NODE_FILE: this.settingsFile,
        PATH: process.env.PATH,
        HOME: process.env.HOME,
      },
      stdio: ['ignore', log, log],
    });
    fs.closeSync(log);
    children.add(child);
    this.child = child;
    this.ended = new Promise((resolve) => {
      child.once('exit', (code, signal) => {
        children.delete(child);
        if (this.child === child) this.child = undefined;
        resolve({ code, signal });
      });
    });
  }

  signal(name) {
    this.child?.kill(name);
  }

  async kill() {
    this.signal('SIGCONT');
    this.signal('SIGKILL');
    await this.ended;
  }
}

export class Deployment {
  static async create({ keepers = 5, entries = 2, ports = {}, bounds = {} } = {}) {
    const all = {
      peers: 7340,
      control: 8229,
      front: 8227,
      ready: 8220,
      server: 8080,
      metrics: 9464,
      ...ports,
    };
    const prefix = await freeNetwork(Object.values(all));
    return new Deployment(prefix, all, keepers, entries, { ...BOUNDS, ...bounds });
  }

  constructor(prefix, ports, keepers, entries, bounds) {
    Object.assign(this, { prefix, ports, bounds });
    this.folder = fs.mkdtempSync(path.join(os.tmpdir(), 'celerydrift-review-'));
    process.on('exit', () => {
      if (process.env.KEEP_LOGS === undefined)
        fs.rmSync(this.folder, { recursive: true, force: true });
    });
    this.nextServer = 100;
    this.seeds = [0, 1, 2].map((i) => `${this.hostOf(1 + i)}:${ports.control}`);
    const numbers = (count) => Array.from({ length: count }, (_, i) => i);
    this.keepers = numbers(keepers).map((i) => this.machine('keeper', i, this.hostOf(1 + i)));
    this.entries = numbers(entries).map((i) => this.machine('entry', i, this.hostOf(50 + i)));
  }

  hostOf(number) {
    return `${this.prefix}.${number}`;
  }

  serverAddress() {
    this.nextServer += 1;
    return { host: this.hostOf(this.nextServer), port: this.ports.server };
  }

  machine(role, index, ip) {
    const { ports } = this;
    const isEntry = role === 'entry';
    const dataDir = path.join(this.folder, `${role}-${index}.data`);
    if (!isEntry) fs.mkdirSync(dataDir, { recursive: true });
    const zone = ZONE_NAMES[index % ZONE_NAMES.length];
    return new Machine(this, role, index, {
      nodeName: `${isEntry ? 'front' : 'core'}-${zone}-${index}`,
      role,
      ip,
      zone,
      zones: ZONES,
      internalPorts: [ports.peers, ports.peers + 15],
      seeds: this.seeds,
      bootstrap: true,
      ...(isEntry ? {} : { dataDir }),
      listen: isEntry
        ? { front: `${ip}:${ports.front}`, ready: `${ip}:${ports.ready}` }
        : { control: `${ip}:${ports.control}` },
      limits: { linkMbps: 1000 },
      faultTolerance: { machines: 2 },
      bounds: this.bounds,
    });
  }

  get controls() {
    return this.keepers.map(({ ip }) => ({ host: ip, port: this.ports.control }));
  }

  /** Starts all machines, and puts the first desired state in force; resolves when all entries are ready. */
  async start(desired) {
    [...this.keepers, ...this.entries].forEach((machine) => machine.start());
    await sleep(300);
    await this.submit(desired, 30_000);
    [...this.keepers, ...this.entries].forEach((machine) =>
      Object.assign(machine.fields, { bootstrap: false }),
    );
    await this.untilReady(this.entries, 20_000);
  }

  async untilReady(entries, withinMs) {
    const until = Date.now() + withinMs;
    for (;;) {
      const ready = await Promise.all(entries.map((entry) => this.isReady(entry)));
      if (ready.every(Boolean)) return;
      if (Date.now() > until) throw new Error('entries not ready');
      await sleep(100);
    }
  }

  async isReady({ ip }) {
    const { status } = await call(
      { host: ip, port: this.ports.ready },
      'GET',
      '/celerydrift/readiness',
    );
    return status === 200;
  }

  /** Sends a desired state to one keeper after the other until it is acknowledged. */
  async submit(desired, withinMs = 10_000) {
    const until = Date.now() + withinMs;
    for (let i = 0; Date.now() < until; i++) {
      const keeper = this.controls[i % this.controls.length];
      const { status, body } = await call(
        keeper,
        'PUT',
        '/celerydrift/config',
        JSON.stringify(desired),
      );
      if (status === 200) return Date.now();
      if (status >= 400 && status < 500)
        throw new Error(`desired state refused: ${status} ${body}`);
      await sleep(100);
    }
    throw new Error('desired state not acknowledged');
  }

  async stop() {
    killAll();
    await Promise.all([...this.keepers, ...this.entries].map(({ ended }) => ended));
  }
}

/** One call over a channel of its own; status 0 without a complete answer in time. */
export function call({ host, port }, method, target, body = '', timeoutMs = 1_000, headers = {}) {
  return new Promise((resolve) => {
    const unanswered = () => resolve({ status: 0, body: '' });
    const request = http.request(
      {
        host,
        port,
        method,
        path: target,
        agent: false,
        headers:
          body === ''
            ? headers
            : {
                'content-type': 'application/json',
                'content-length': Buffer.byteLength(body),
                ...headers,
              },
      },
      (response) => {
        const chunks = [];
        response.on('data', (chunk) => chunks.push(chunk));
        response.on('error', unanswered);
        response.on('close', () => {
          if (response.complete)
            resolve({
              status: response.statusCode,
              headers: response.headers,
              body: Buffer.concat(chunks).toString(),
            });
          else unanswered();
        });
      },
    );
    const timer = timers.setTimeout(() => request.destroy(), timeoutMs);
    request.on('close', () => timers.clearTimeout(timer));
    request.on('error', unanswered);
    request.end(body);
  });
}
