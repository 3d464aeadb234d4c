/* eslint-disable */
/** See claim.txt. */
import * as path from 'node:path';
import process from 'node:process';
import * as url from 'node:url';
import { call, Fleet, HEADER, Record, Server, sleep } from '../stand-ins-2/fleet.mjs';

const folder = path.dirname(url.fileURLToPath(import.meta.url));
const isTroubled = process.env.TROUBLE !== '0';
const record = new Record(path.join(folder, 'record.txt'));

/** Of the site. */
const STABLE_WINDOW_MS = 3000;
const bounds = {
  graceS: 8,
  revokeMs: 5000,
  drainMs: 2000,
  retryBudgetRatio: 0.2,
  retrySlack: 106,
  retryWindowS: 10,
};
const REQUESTS = 20;
/** The number of the first desired state. */
const FIRST_VERSION = isTroubled ? 0 : 1;

const fleet = new Fleet({
  root: path.join(folder, '../..'),
  keepers: 3,
  entries: 2,
  tolerated: 1,
  bounds,
  zones: ['heredia-a'],
});
const servers = ['tramites'].map(
  (service, index) => new Server(fleet, { index, service, zone: 'heredia-a', record }),
);

const document = {
  version: FIRST_VERSION,
  routes: [
    {
      name: 'case-lookup',
      host: 'desk.example',
      pathPrefix: '/case/',
      kind: 'safe',
      timeoutMs: 1500,
      sloMs: 386,
      priority: 2,
      service: 'tramites',
      maxAttempts: 2,
      public: false,
    },
  ],
  services: [
    { name: 'tramites', healthPath: '/health', maxConns: 110, protocol: 'h1', tls: false },
  ],
  limits: {
    maxHeaderBytes: 16384,
    maxBodyBytes: 4194304,
    headerTimeoutMs: 3000,
    idleTimeoutMs: 15000,
  },
  tenants: [{ name: 'mill', apiKeys: ['key-of-the-mill'], priority: 1 }],
};

/** Reads the desired state at each daemon for a while; resolves to how many answers held the version. */
async function readBack() {
  const until = Date.now() + 2 * STABLE_WINDOW_MS;
  let found = 0;
  while (Date.now() < until) {
    for (const { name, ip, port } of fleet.keepers) {
      const { status, body } = await call(ip, port, {
        path: '/celerydrift/config',
        timeoutMs: 1000,
      });
      const version = status === 200 ? JSON.parse(body.toString()).version : undefined;
      record.add('operator reads at', name, 'and gets', status, `version ${version}`);
      if (version === FIRST_VERSION) found += 1;
    }
    await sleep(300);
  }
  return found;
}

async function play() {
  await fleet.start();
  const status = await fleet.putConfig(document);
  record.say('the first desired state, version', FIRST_VERSION, 'is answered', status);
  // A refusal would be clear, and no break.
  if (status !== 200) return false;
  for (const server of servers) await server.start();
  const found = await readBack();
  record.say(found, 'reads after that got it');
  let served = 0;
  for (let i = 0; i < REQUESTS; i += 1) {
    const { ip, port } = fleet.entries[i % fleet.entries.length];
    const headers = {
      Host: 'desk.example',
      [HEADER.id]: `r${i}`,
      [HEADER.timeLeft]: '1500',
      [HEADER.key]: 'key-of-the-mill',
    };
    record.add('sent', `r${i}`);
    const answer = await call(ip, port, { path: '/case/1', headers, timeoutMs: 1500 });
    record.add('answered', `r${i}`, answer.status);
    if (answer.status === 200) served += 1;
  }
  record.say(served, 'of', REQUESTS, 'requests that it allows are served');
  return found === 0;
}

let code = 2;
try {
  code = (await play()) ? 1 : 0;
} catch (error) {
  record.say('the case could not run:', String(error));
} finally {
  servers.forEach((server) => server.stop());
  fleet.stop();
  record.write();
}
process.exit(code);
