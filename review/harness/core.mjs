/* eslint-disable */
/** What the cases about the core share: a desired state, steady traffic, the keeper that leads, lost disks, the final check. */
import * as fs from 'node:fs';
import { ZONE_NAMES, call, sleep } from './deployment.mjs';
import { HOST, Requester } from './requester.mjs';
import { Server } from './server.mjs';

/** Port of the metrics in the deploy file. */
const METRICS_PORT = 9464;

const KEY = 'n2ctnfzs989anu6wsjnb';

const route = (name) => ({
  name,
  host: HOST,
  pathPrefix: `/${name}/`,
  kind: 'safe',
  timeoutMs: 1_000,
  sloMs: 193,
  priority: 1,
  service: 'yard-app',
  maxAttempts: 2,
  public: false,
});

/** A desired state; each version adds another route to the one that requesters use. */
export const desired = (version) => ({
  version,
  routes: [route('lookup'), route(`added-${version}`)],
  services: [{ name: 'yard-app', healthPath: '/health', maxConns: 49, protocol: 'h1', tls: false }],
  limits: {
    maxHeaderBytes: 16_384,
    maxBodyBytes: 4_194_304,
    headerTimeoutMs: 3_000,
    idleTimeoutMs: 15_000,
  },
  tenants: [{ name: 'hule930', apiKeys: [KEY], priority: 1 }],
});

/** The keeper that leads, by its metrics; undefined if none does in time. */
export async function leaderOf(keepers, withinMs = 5_000) {
  const until = Date.now() + withinMs;
  do {
    const pages = await Promise.all(
      keepers.map(async (keeper) => {
        const { body } = await call(
          { host: keeper.ip, port: METRICS_PORT },
          'GET',
          '/metrics',
          '',
          200,
        );
        const number = (name) =>
          Number(new RegExp(`^\\S*${name}\\S* ([\\d.e+]+)$`, 'm').exec(body)?.[1] ?? 0);
        return { keeper, leads: number('leads'), term: number('term') };
      }),
    );
    const [leader] = pages.filter(({ leads }) => leads === 1).sort((a, b) => b.term - a.term);
    if (leader !== undefined) return leader.keeper;
    await sleep(20);
  } while (Date.now() < until);
  return undefined;
}

/** Sends a desired state to one keeper. */
export function put(deployment, keeper, version) {
  const control = { host: keeper.ip, port: deployment.ports.control };
  return call(control, 'PUT', '/celerydrift/config', JSON.stringify(desired(version)));
}

/** Resolves with the time at which a machine that was started answers calls. */
export async function untilBack(deployment, machine) {
  for (;;) {
    const { status } = await call(
      { host: machine.ip, port: deployment.ports.control },
      'GET',
      '/celerydrift/config',
      '',
      1_500,
    );
    if (status !== 0) return Date.now();
    await sleep(10);
  }
}

/** The machine loses its disk and restarts at once; resolves with the time at which it answers again. */
export async function wipe(deployment, machine) {
  await machine.kill();
  fs.rmSync(machine.fields.dataDir, { recursive: true, force: true });
  fs.mkdirSync(machine.fields.dataDir, { recursive: true });
  machine.start();
  return untilBack(deployment, machine);
}

/** Servers, and a requester that sends 20 requests a second to all entries. */
export class Traffic {
  constructor(deployment, record) {
    Object.assign(this, { deployment, answers: [], isOver: false });
    this.servers = ZONE_NAMES.map(
      (zone, i) =>
        new Server(deployment, { id: `i-yard${i}`, service: 'yard-app', zone, events: record.add }),
    );
    this.requester = new Requester(deployment, { key: KEY, events: record.add });
  }

  async start() {
    await Promise.all(this.servers.map((server) => server.start()));
    this.sending = this.send();
  }

  async send() {
    const { entries } = this.deployment;
    for (let i = 0; !this.isOver; i++) {
      const at = Date.now();
      void this.requester
        .send(entries[i % entries.length], { path: '/lookup/2f', method: 'GET' })
        .then(({ status }) => this.answers.push({ at, status }));
      await sleep(50);
    }
  }

  /** Share of the requests sent in a span that were served. */
  served(from, to) {
    const all = this.answers.filter(({ at }) => at >= from && at < to);
    return all.length === 0 ? 0 : all.filter(({ status }) => status === 200).length / all.length;
  }

  async stop() {
    this.isOver = true;
    await this.sending;
    await sleep(2_500);
    this.requester.close();
    this.servers.forEach((server) => server.stop());
  }
}

/** Reads the desired state at all keepers for a while, and measures the share of requests served meanwhile. */
export async function check(deployment, traffic, record, { forMs, version }) {
  const from = Date.now();
  const reads = [];
  while (Date.now() < from + forMs) {
    const results = await Promise.all(
      deployment.controls.map((keeper) => call(keeper, 'GET', '/celerydrift/config')),
    );
    results.forEach(({ status, body }, i) => {
      const read = { status, version: status === 200 ? JSON.parse(body).version : undefined };
      reads.push(read);
      record.add({ event: 'read', at: deployment.keepers[i].name, ...read });
    });
    await sleep(500);
  }
  const found = reads.filter((read) => read.version >= version).length;
  const older = reads.filter((read) => read.version < version).length;
  return { reads: reads.length, found, older, served: traffic.served(from, Date.now() - 2_000) };
}
