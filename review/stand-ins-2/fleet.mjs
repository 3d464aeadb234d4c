/* eslint-disable */
/**
 * Starts keepers and entries of the built program as separate processes on loopback addresses, with the command of the
 * deploy file and settings like those of a small deployment, and stand-ins for what is around them: a server, an
 * operator's and a requester's call, and links that a partition can cut. Used by the scripts of review/4 and later.
 */
import { spawn } from 'node:child_process';
import * as fs from 'node:fs';
import * as http from 'node:http';
import * as net from 'node:net';
import * as os from 'node:os';
import * as path from 'node:path';
import process from 'node:process';
import { setTimeout, setInterval, clearInterval } from 'node:timers';
import { Buffer } from 'node:buffer';

export const HEADER = {
  id: 'X-Celerydrift-Request-Id',
  key: 'X-Api-Key',
  timeLeft: 'X-Celerydrift-Deadline-Ms',
  stamp: 'X-Celerydrift-Server-Stamp',
};

export const sleep = (ms) => new Promise((resolve) => setTimeout(resolve, ms));

/** Lines of record.txt, with the time since the start in seconds. */
export class Record {
  constructor(file) {
    this.startedAt = Date.now();
    this.lines = [];
    this.file = file;
  }

  add(...parts) {
    const seconds = ((Date.now() - this.startedAt) / 1000).toFixed(3);
    this.lines.push(`${seconds} ${parts.join(' ')}`);
  }

  /** Also shown on standard output. */
  say(...parts) {
    this.add(...parts);
    console.log(this.lines.at(-1));
  }

  write() {
    fs.writeFileSync(this.file, `${this.lines.join('\n')}\n`);
  }
}

/** The port if it is free there, or any free one for 0. */
function freePort(host, wanted = 0) {
  return new Promise((resolve, reject) => {
    const server = net.createServer();
    server.once('error', reject);
    server.listen(wanted, host, () => {
      const { port } = server.address();
      server.close(() => resolve(port));
    });
  });
}

/** A port that is free at each of these addresses. */
async function commonFreePort(hosts) {
  for (let tries = 1; ; tries++) {
    const port = await freePort(hosts[0]);
    try {
      for (const host of hosts.slice(1)) await freePort(host, port);
      return port;
    } catch (error) {
      if (error.code !== 'EADDRINUSE' || tries === 100) throw error;
    }
  }
}

/** One HTTP call; status 0 where there is no answer. */
export function call(
  host,
  port,
  { method = 'GET', path: target = '/', headers = {}, body, timeoutMs = 10_000 },
) {
  return new Promise((resolve) => {
    const request = http.request(
      { host, port, method, path: target, headers, agent: false },
      (response) => {
        const parts = [];
        const finish = (error) => {
          const { statusCode: status, headers: answered } = response;
          resolve({ status, headers: answered, body: Buffer.concat(parts), error });
        };
        response.on('data', (part) => parts.push(part));
        response.on('end', () => finish(undefined));
        response.on('error', (error) => finish(error.code ?? String(error)));
      },
    );
    request.on('error', (error) => resolve({ status: 0, error: error.code ?? error.message }));
    // Whoever gets no answer in time closes its channel.
    const timer = setTimeout(() => request.destroy(new Error('no answer in time')), timeoutMs);
    request.on('close', () => clearTimeout(timer));
    if (body !== undefined) request.write(body);
    request.end();
  });
}

/** A sender repeats what isn't acknowledged after this time, milliseconds, and then after twice the time, as Linux does. */
const RETRANSMISSION_MS = 200;

/**
 * A link to a machine. While `isCut` it conveys nothing. What was sent meanwhile is conveyed when the partition has healed,
 * but for the bytes of a channel that its sender has reset: at once on a channel that was opened during the partition, as
 * its opener tries all the time, and with the next retransmission on one that was open before.
 */
class Link {
  constructor(listenIp, targetIp, port, isCut) {
    Object.assign(this, { listenIp, targetIp, port, isCut, channels: new Set() });
  }

  listen() {
    const options = { allowHalfOpen: true, noDelay: true, pauseOnConnect: true };
    this.server = net.createServer(options, (near) => this.accept(near));
    return new Promise((resolve) => this.server.listen(this.port, this.listenIp, resolve));
  }

  accept(near) {
    const channel = { held: [], heldSince: 0, far: undefined, isReset: false };
    const from = near.remoteAddress;
    this.channels.add(channel);
    const convey = (action) => {
      if (channel.held.length === 0 && !this.isCut(from, this.targetIp)) {
        action();
        return;
      }
      if (channel.held.length === 0) channel.heldSince = Date.now();
      channel.held.push(action);
    };
    near.on('data', (bytes) => convey(() => channel.far?.write(bytes)));
    near.on('end', () => convey(() => channel.far?.end()));
    near.on('error', () => {
      channel.held = [];
      channel.isReset = true;
      convey(() => channel.far?.resetAndDestroy());
    });
    convey(() => {
      if (channel.isReset) return;
      const { targetIp: host, port, listenIp: localAddress } = this;
      const far = net.connect({ host, port, localAddress, allowHalfOpen: true, noDelay: true });
      channel.far = far;
      far.on('data', (bytes) => convey(() => near.write(bytes)));
      far.on('end', () => convey(() => near.end()));
      far.on('error', () => convey(() => near.resetAndDestroy()));
      far.on('close', () => this.channels.delete(channel));
    });
    near.resume();
  }

  heal() {
    this.channels.forEach((channel) => {
      if (channel.held.length === 0) return;
      const waitedMs = Date.now() - channel.heldSince;
      let dueMs = 0;
      for (let ms = RETRANSMISSION_MS; dueMs < waitedMs && channel.far !== undefined; ms *= 2)
        dueMs += ms;
      const convey = () => channel.held.splice(0).forEach((action) => action());
      if (channel.far === undefined) convey();
      else setTimeout(convey, dueMs - waitedMs);
    });
  }
}

export class Fleet {
  /** `bounds` as in the settings of a process; `zones` of the machines and servers. */
  constructor({ root, keepers, entries, tolerated, bounds, zones }) {
    Object.assign(this, { root, tolerated, bounds, zones });
    this.folder = fs.mkdtempSync(path.join(os.tmpdir(), 'celerydrift-review-'));
    // Several runs on one machine use different addresses.
    this.network = 10 + (process.pid % 200);
    const zoneOf = (i) => zones[i % zones.length];
    const ip = (group, i) => `127.${this.network}.${group}.${i + 1}`;
    this.keepers = Array.from({ length: keepers }, (_, i) => {
      return {
        role: 'keeper',
        name: `core-${i + 1}`,
        zone: zoneOf(i),
        ip: ip(1, i),
        reached: ip(2, i),
      };
    });
    this.entries = Array.from({ length: entries }, (_, i) => {
      return {
        role: 'entry',
        name: `front-${i + 1}`,
        zone: zoneOf(i),
        ip: ip(3, i),
        reached: ip(3, i),
      };
    });
    this.serverIp = (i) => ip(4, i);
    this.isCut = () => false;
    this.links = [];
  }

  async start() {
    const machines = [...this.keepers, ...this.entries];
    this.peerPort = await commonFreePort(machines.flatMap(({ ip, reached }) => [ip, reached]));
    for (const machine of machines) {
      machine.port = await freePort(machine.ip);
      machine.readyPort = await freePort(machine.ip);
      machine.metricsPort = await freePort(machine.ip);
    }
    for (const { ip, reached } of this.keepers) {
      const link = new Link(reached, ip, this.peerPort, (from, to) => this.isCut(from, to));
      await link.listen();
      this.links.push(link);
    }
    this.keepers.forEach((each) => this.startProcess(each, true));
    this.entries.forEach((each) => this.startProcess(each, false));
  }

  startProcess(machine, isFirst) {
    const file = path.join(this.folder, `${machine.name}.ini`);
    fs.writeFileSync(file, this.settingsOf(machine, isFirst));
    const log = fs.openSync(path.join(this.folder, `${machine.name}.log`), 'a');
    const { PATH, HOME } = process.env;
    machine.process = spawn('node', ['--max-old-space-size=160', 'target/celerydrift.js'], {
      cwd: this.root,
      env: { PATH, HOME, CELERYDRIFT_NODE_FILE: file },
      stdio: ['ignore', log, log],
    });
    machine.exit = undefined;
    machine.process.on('exit', (code, signal) => {
      machine.exit = signal ?? code;
    });
  }

  /** As deploy/entry.ini and deploy/keeper.ini render them; a keeper is reached by way of a link that can be cut. */
  settingsOf({ role, name, zone, ip, reached, port, readyPort, metricsPort }, isFirst) {
    const { bounds } = this;
    const seeds = this.keepers.slice(0, 3).map((each) => `${each.reached}:${each.port}`);
    const lines = ['[daemon]', `role = ${role}`, `name = ${name}`, `data-centre = ${zone}`];
    if (role === 'keeper') lines.push(`data-centres = ${this.zones.join(',')}`);
    lines.push('[listen]', `peers = ${ip}:${this.peerPort}`, `metrics = ${ip}:${metricsPort}`);
    if (role === 'keeper') {
      lines.push(`control = ${ip}:${port}`);
      if (reached !== ip) lines.push(`advertised = ${reached}:${this.peerPort}`);
      lines.push(`source = ${ip}`);
    } else lines.push(`callers = ${ip}:${port}`, `readiness = ${ip}:${readyPort}`);
    lines.push('[keepers]', `seeds = ${seeds.join(',')}`, `keeper-port = ${this.peerPort}`);
    lines.push('secret = celerydrift-on-the-platform');
    if (role === 'keeper') {
      lines.push('[data]', `folder = ${path.join(this.folder, name)}`, `may-found = ${isFirst}`);
      lines.push(`tolerated-losses = ${this.tolerated}`);
    }
    lines.push('[bounds]', `stop-seconds = ${bounds.graceS}`, `revoke-ms = ${bounds.revokeMs}`);
    lines.push(`drain-ms = ${bounds.drainMs}`);
    if (role === 'keeper') {
      if (bounds.evacMs !== undefined) lines.push(`evacuation-ms = ${bounds.evacMs}`);
      lines.push('link-mbps = 170');
    } else {
      lines.push(
        `repeat-ratio = ${bounds.retryBudgetRatio}`,
        `repeat-slack = ${bounds.retrySlack}`,
      );
      lines.push(`repeat-window-seconds = ${bounds.retryWindowS}`);
    }
    return `${[...lines, '[contention]', 'mode = adaptive'].join('\n')}\n`;
  }

  /** Cuts some keepers off from the other keepers; all others reach them as before. */
  cutOff(...cut) {
    const core = new Set(this.keepers.map(({ ip }) => ip));
    const inside = new Set(cut.map(({ ip }) => ip));
    this.isCut = (from, to) =>
      core.has(from) && core.has(to) && inside.has(from) !== inside.has(to);
  }

  /** Kills the process of a machine; the platform starts it again after a short delay. */
  async restart(machine, delayMs) {
    const ended = new Promise((resolve) => machine.process.once('exit', resolve));
    machine.process.kill('SIGKILL');
    await ended;
    await sleep(delayMs);
    this.startProcess(machine, false);
  }

  heal() {
    this.isCut = () => false;
    this.links.forEach((link) => link.heal());
  }

  /** The keeper that leads by its own metrics, so that the disruption can be aimed, as on the bench. */
  async leader(among = this.keepers) {
    for (let i = 0; i < 100; i += 1) {
      for (const keeper of among) {
        const { body } = await call(keeper.ip, keeper.metricsPort, {
          path: '/metrics',
          timeoutMs: 1000,
        });
        if (/^\S*leads\S* 1$/m.test(body?.toString() ?? '')) return keeper;
      }
      await sleep(100);
    }
    throw new Error('no keeper leads');
  }

  /** Sends a desired state until it is acknowledged; resolves to the last status. */
  async putConfig(document) {
    let status = 0;
    for (let i = 0; i < 100 && status !== 200; i += 1) {
      const { ip, port } = this.keepers[i % this.keepers.length];
      const headers = { 'Content-Type': 'application/json' };
      const body = JSON.stringify(document);
      const options = {
        method: 'PUT',
        path: '/celerydrift/config',
        headers,
        body,
        timeoutMs: 1000,
      };
      ({ status } = await call(ip, port, options));
      if (status >= 400 && status < 500) return status;
      if (status !== 200) await sleep(200);
    }
    return status;
  }

  /** Ends all processes that were started. */
  stop() {
    [...this.keepers, ...this.entries].forEach(({ process: child }) => {
      if (child === undefined || child.exitCode !== null) return;
      child.kill('SIGCONT');
      child.kill('SIGKILL');
    });
    this.links.forEach(({ server }) => server.close());
    fs.rmSync(this.folder, { recursive: true, force: true });
  }
}

/** A sound plain server: announces itself, checks which server is meant, echoes ids and answers at once. */
export class Server {
  constructor(fleet, { index, service, zone, record }) {
    Object.assign(this, { fleet, service, zone, record, ip: fleet.serverIp(index) });
    this.id = `i-${index}-${process.pid}`;
    this.sequence = 0;
    this.state = 'ready';
    /** Requests that it ran. */
    this.runs = [];
  }

  async start() {
    this.server = http.createServer({ keepAliveTimeout: 20_000 }, (request, response) => {
      const parts = [];
      request.on('data', (part) => parts.push(part));
      request.on('error', () => undefined);
      request.on('end', () => this.serve(request, response, Buffer.concat(parts)));
    });
    await new Promise((resolve) => this.server.listen(0, this.ip, resolve));
    this.address = `${this.ip}:${this.server.address().port}`;
    this.timer = setInterval(() => this.announce(), 1200);
    await this.announce();
  }

  async announce() {
    for (const { ip, port } of this.fleet.keepers) {
      this.sequence += 1;
      const { service, address, zone, state, sequence } = this;
      const beat = {
        service,
        address,
        zone,
        version: 'v1',
        slots: 11,
        state,
        coldLeftMs: 0,
        sequence,
        born: 1,
      };
      const path = `/celerydrift/instances/${this.id}`;
      const headers = { 'Content-Type': 'application/json' };
      const body = JSON.stringify(beat);
      const { status } = await call(ip, port, {
        method: 'PUT',
        path,
        headers,
        body,
        timeoutMs: 1000,
      });
      if (status === 200) return;
    }
  }

  serve(request, response, body) {
    const id = request.headers['x-celerydrift-request-id'] ?? '';
    const meant = request.headers['x-celerydrift-expect-instance'];
    if (request.url === '/health') {
      response.writeHead(200, { 'X-Celerydrift-Instance-Id': this.id, 'Content-Length': 0 }).end();
    } else if (meant !== undefined && meant !== this.id) {
      response.writeHead(421, { [HEADER.id]: id, 'Content-Length': 0 }).end();
    } else if (request.url === '/celerydrift/report') {
      response.writeHead(200, { 'Content-Type': 'application/json' });
      response.end(
        '{"stage":"both","models":[],"busy":false,"sequence":0,"waiting":0,"running":0,"handles":0}',
      );
    } else {
      this.runs.push({ id, at: Date.now() });
      this.record.add('run', id, 'by', this.id, 'in', this.zone);
      const answer = Buffer.from(`${this.service} ${id} ${body.length}`);
      const headers = {
        [HEADER.id]: id,
        [HEADER.stamp]: `${this.id}.1`,
        'Content-Length': answer.length,
      };
      response.writeHead(200, headers).end(answer);
    }
  }

  stop() {
    clearInterval(this.timer);
    this.server?.closeAllConnections();
    this.server?.close();
  }
}
