/* eslint-disable */
/** See claim.txt. */
import * as path from 'node:path';
import process from 'node:process';
import * as url from 'node:url';
import { setTimeout } from 'node:timers';
import { call, Fleet, HEADER, Record, Server, sleep } from '../stand-ins-2/fleet.mjs';

const folder = path.dirname(url.fileURLToPath(import.meta.url));
const isTroubled = process.env.TROUBLE !== '0';
const record = new Record(path.join(folder, 'record.txt'));

/** Of the site. */
const EVAC_MS = 5000;
const SKEW_MAX_MS = 6000;
const CUT_MS = 5500;

const bounds = {
  graceS: 8,
  revokeMs: 5000,
  drainMs: 2500,
  evacMs: EVAC_MS,
  retryBudgetRatio: 0.2,
  retrySlack: 224,
  retryWindowS: 10,
};
const fleet = new Fleet({
  root: path.join(folder, '../..'),
  keepers: 5,
  entries: 3,
  tolerated: 2,
  bounds,
  zones: ['chaguanas', 'arima', 'san-juan'],
});
const servers = ['chaguanas', 'arima', 'san-juan'].map(
  (zone, index) => new Server(fleet, { index, service: 'desk', zone, record }),
);

const document = {
  version: 1,
  routes: [
    {
      name: 'lookup',
      host: 'desk.example',
      pathPrefix: '/cart/',
      kind: 'safe',
      timeoutMs: 1600,
      sloMs: 150,
      priority: 2,
      service: 'desk',
      maxAttempts: 2,
      public: false,
    },
  ],
  services: [{ name: 'desk', healthPath: '/health', maxConns: 500, protocol: 'h1', tls: false }],
  limits: {
    maxHeaderBytes: 16384,
    maxBodyBytes: 4194304,
    headerTimeoutMs: 3000,
    idleTimeoutMs: 15000,
  },
  tenants: [{ name: 'hotel', apiKeys: ['key-of-the-hotel'], priority: 1 }],
};

let requests = 0;
let served = 0;

async function request({ ip, port }) {
  requests += 1;
  const id = `r${requests}`;
  const headers = {
    Host: 'desk.example',
    [HEADER.id]: id,
    [HEADER.timeLeft]: '1591',
    [HEADER.key]: 'key-of-the-hotel',
  };
  record.add('sent', id);
  const { status, error = '' } = await call(ip, port, {
    path: `/cart/${id}`,
    headers,
    timeoutMs: 1591,
  });
  record.add('answered', id, status, error);
  if (status === 200) served += 1;
  return status;
}

/** An operator's order: sent to one daemon, and after a second without an answer or a 5xx to the next one. */
async function order(method, zone, keepers) {
  for (let i = 0; i < 5; i += 1) {
    const keeper = keepers[i % keepers.length];
    record.say('operator sends', method, zone, 'to', keeper.name);
    const options = { method, path: `/celerydrift/evacuations/${zone}`, timeoutMs: 1000 };
    const { status, error = '' } = await call(keeper.ip, keeper.port, options);
    record.say('operator gets', status, error, 'from', keeper.name);
    if (status === 200) return Date.now();
  }
  throw new Error('an order was not acknowledged');
}

async function play() {
  await fleet.start();
  if ((await fleet.putConfig(document)) !== 200) throw new Error('no desired state');
  for (const server of servers) await server.start();
  for (const entry of fleet.entries) {
    for (let i = 0; (await request(entry)) !== 200; i += 1) {
      if (i > 100) throw new Error('not served');
      await sleep(100);
    }
  }
  let isOpen = true;
  const traffic = (async () => {
    while (isOpen) {
      fleet.entries.forEach((entry) => void request(entry));
      await sleep(50);
    }
  })();
  // The core has all its voters some seconds after the start.
  await sleep(6000);
  const leader = await fleet.leader();
  const [cutOff, ...others] = fleet.keepers.filter((keeper) => keeper !== leader);
  record.say('leader', leader.name);
  await order('POST', 'arima', others);
  await sleep(3000);
  if (isTroubled) {
    fleet.cutOff(cutOff);
    record.say(cutOff.name, 'is cut off from the other core machines');
    setTimeout(() => {
      fleet.heal();
      record.say('the cut heals');
    }, CUT_MS);
  }
  await sleep(50);
  await order('DELETE', 'arima', [cutOff, ...others]);
  await sleep(1000);
  const ackedAt = await order('POST', 'arima', others);
  await sleep(25_000);
  isOpen = false;
  await traffic;
  await sleep(1600);
  return servers[1].runs.filter(({ at }) => at > ackedAt + EVAC_MS + SKEW_MAX_MS);
}

let code = 2;
try {
  const late = await play();
  record.say(`${served} of ${requests} requests served`);
  record.say(
    `${late.length} requests reached arima over ${EVAC_MS + SKEW_MAX_MS} ms after its evacuation was acknowledged`,
  );
  if (served < requests / 2) throw new Error('the fleet did not serve');
  code = late.length > 0 ? 1 : 0;
} catch (error) {
  record.say('the case could not run:', String(error));
} finally {
  servers.forEach((server) => server.stop());
  fleet.stop();
  record.write();
}
process.exit(code);
