/* eslint-disable */
/**
 * A server sends its refusal of one request a second time, late: at the point where the answer to the next request on
 * that channel is due. The requests are of an unsafe route, and come in waves that now and then fill the servers.
 */
import * as path from 'node:path';
import process from 'node:process';
import * as url from 'node:url';
import { Deployment, ZONE_NAMES, sleep } from '../harness/deployment.mjs';
import { RunRecord } from '../harness/record.mjs';
import { HOST, Requester } from '../harness/requester.mjs';
import { Server } from '../harness/server.mjs';

const HERE = path.dirname(url.fileURLToPath(import.meta.url));
const HAS_TROUBLE = process.env.TROUBLE !== '0';

/** Within `garble`, `how = "extra late"`, `share = 0.6`, `x = 0.03`, `for_s = 5` of the site. */
const GARBLED_SHARE_OF_SERVERS = 0.6;
const GARBLED_SHARE_OF_ANSWERS = 0.03;
const TROUBLE_MS = 5_000;

const SERVERS = 5;
const WAVES = 50;
const WAVE_INTERVAL_MS = 150;
const WAVE_SIZE = 72;

const DESIRED = {
  version: 7,
  routes: [
    {
      name: 'entry',
      host: HOST,
      pathPrefix: '/tonnage/',
      kind: 'unsafe',
      timeoutMs: 1_000,
      sloMs: 193,
      priority: 1,
      service: 'yard-app',
      maxAttempts: 1,
      public: false,
    },
    {
      name: 'posting',
      host: HOST,
      pathPrefix: '/posting/',
      kind: 'unsafe',
      timeoutMs: 1_000,
      sloMs: 193,
      priority: 1,
      service: 'yard-app',
      maxAttempts: 2,
      public: false,
    },
  ],
  services: [{ name: 'yard-app', healthPath: '/health', maxConns: 49, protocol: 'h1', tls: false }],
  limits: {
    maxHeaderBytes: 16_384,
    maxBodyBytes: 4_194_304,
    headerTimeoutMs: 3_000,
    idleTimeoutMs: 15_000,
  },
  tenants: [{ name: 'hule930', apiKeys: ['n2ctnfzs989anu6wsjnb'], priority: 1 }],
};

async function main() {
  const record = new RunRecord(path.join(HERE, 'record.txt'));
  const deployment = await Deployment.create({ keepers: 5, entries: 2 });
  const servers = Array.from(
    { length: SERVERS },
    (_, i) =>
      new Server(deployment, {
        id: `i-yard${i}`,
        service: 'yard-app',
        zone: ZONE_NAMES[i % ZONE_NAMES.length],
        slots: 6,
        queue: 6,
        workMs: 43,
        events: record.add,
      }),
  );
  await deployment.start(DESIRED);
  await Promise.all(servers.map((server) => server.start()));
  await sleep(2_500);
  const requester = new Requester(deployment, { key: 'n2ctnfzs989anu6wsjnb', events: record.add });
  const garbled = servers.slice(0, Math.floor(GARBLED_SHARE_OF_SERVERS * servers.length));
  const troubleFrom = Date.now() + 1_000;
  garbled.forEach((server) => {
    let answers = 0;
    server.repeatsLate = () => {
      const now = Date.now();
      if (!HAS_TROUBLE || now < troubleFrom || now > troubleFrom + TROUBLE_MS) return false;
      answers += 1;
      return answers % Math.ceil(1 / GARBLED_SHARE_OF_ANSWERS) === 0;
    };
  });
  const pending = [];
  for (let wave = 0; wave < WAVES; wave++) {
    for (let i = 0; i < WAVE_SIZE; i++) {
      pending.push(
        requester.send(deployment.entries[i % 2], {
          path: i % 4 < 3 ? '/tonnage/2f' : '/posting/2f',
        }),
      );
    }
    await sleep(WAVE_INTERVAL_MS);
  }
  const answers = await Promise.all(pending);
  await sleep(500);
  requester.close();
  servers.forEach((server) => server.stop());
  await deployment.stop();

  const runs = record.runsByRequest();
  const twice = [...runs].filter(([, all]) => all.length > 1);
  const refused = answers.filter(
    ({ id, status }) => [408, 421, 429, 503].includes(status) && runs.has(id),
  );
  const foreign = answers.filter(
    ({ id, status, body }) => status === 200 && !body.startsWith(`answer to ${id} `),
  );
  const statuses = {};
  answers.forEach(({ status }) => {
    statuses[status] = (statuses[status] ?? 0) + 1;
  });
  const summary = [
    `trouble: ${HAS_TROUBLE}`,
    `requests: ${answers.length}, statuses: ${JSON.stringify(statuses)}`,
    `refusals by servers: ${record.events.filter(({ event }) => event === 'refused').length}`,
    `answers sent a second time: ${record.events.filter(({ event }) => event === 'extra').length}`,
    `TWICE: ${twice.length} requests of an unsafe route ran more than once: ${twice.map(([id]) => id).join(' ')}`,
    `REFUSED: ${refused.length} requests of an unsafe route were answered as not run and have run: ${refused.map(({ id }) => id).join(' ')}`,
    `MIXED: ${foreign.length} successes with a foreign body`,
  ];
  record.write(summary);
  process.stdout.write(`${summary.join('\n')}\n`);
  const served = statuses[200] ?? 0;
  if (served < answers.length / 2) return 2;
  return refused.length > 0 ? 10 : 0;
}

main().then(
  (code) => process.exit(code),
  (error) => {
    process.stderr.write(`${error.stack}\n`);
    process.exit(2);
  },
);
