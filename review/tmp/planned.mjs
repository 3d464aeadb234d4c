/* eslint-disable */
/**
 * A core machine is replaced as planned: its successor runs for longer than `syncS`, then the old one gets SIGTERM and
 * doesn't come back. A second later two other core machines lose their disks at once, as many as `faultTolerance` allows.
 */
import * as fs from 'node:fs';
import * as path from 'node:path';
import process from 'node:process';
import * as url from 'node:url';
import { BOUNDS, Deployment, ZONE_NAMES, call, sleep } from '../harness/deployment.mjs';
import { RunRecord } from '../harness/record.mjs';
import { HOST, Requester } from '../harness/requester.mjs';
import { Server } from '../harness/server.mjs';

const HERE = path.dirname(url.fileURLToPath(import.meta.url));
const HAS_TROUBLE = process.env.TROUBLE !== '0';

/** Longer than `syncS`, so that the old machine stops counting as lost the moment that it is removed. */
const SUCCESSOR_RUNS_MS = 2 * BOUNDS.syncS * 1_000;
const WIPE_AFTER_MS = 1_000;
const DOWN_MS = 1_000;

/** The check begins `recoverS` after the machines are back, and lasts this long. */
const CHECK_MS = 15_000;

const KEY = 'n2ctnfzs989anu6wsjnb';

const desired = (version) => ({
  version,
  routes: [
    { name: 'lookup', host: HOST, pathPrefix: '/lookup/', kind: 'safe', timeoutMs: 1_000, sloMs: 193, priority: 1, service: 'yard-app', maxAttempts: 2, public: false },
    ...(version > 7 ? [{ name: `added-${version}`, host: HOST, pathPrefix: `/added-${version}/`, kind: 'safe', timeoutMs: 1_000, sloMs: 193, priority: 1, service: 'yard-app', maxAttempts: 2, public: false }] : []),
  ],
  services: [{ name: 'yard-app', healthPath: '/health', maxConns: 49, protocol: 'h1', tls: false }],
  limits: { maxHeaderBytes: 16_384, maxBodyBytes: 4_194_304, headerTimeoutMs: 3_000, idleTimeoutMs: 15_000 },
  tenants: [{ name: 'hule930', apiKeys: [KEY], priority: 1 }],
});

async function main() {
  const record = new RunRecord(path.join(HERE, 'record.txt'));
  const deployment = await Deployment.create({ keepers: 5, entries: 3 });
  const servers = ZONE_NAMES.map((zone, i) => new Server(deployment, { id: `i-yard${i}`, service: 'yard-app', zone, events: record.add }));
  await deployment.start(desired(7));
  await Promise.all(servers.map((server) => server.start()));
  const requester = new Requester(deployment, { key: KEY, events: record.add });
  let isOver = false;
  const answers = [];
  const traffic = (async () => {
    for (let i = 0; !isOver; i++) {
      const at = Date.now();
      void requester.send(deployment.entries[i % 3], { path: '/lookup/2f', method: 'GET' }).then(({ status }) => answers.push({ at, status }));
      await sleep(50);
    }
  })();
  const served = (from, to) => {
    const all = answers.filter(({ at }) => at >= from && at < to);
    return all.length === 0 ? 0 : all.filter(({ status }) => status === 200).length / all.length;
  };

  await sleep(3_000);
  const calmFrom = Date.now();
  const old = deployment.keepers[4];
  const successor = deployment.machine('keeper', 5, deployment.hostOf(6));
  successor.fields.bootstrap = false;
  deployment.keepers.push(successor);
  successor.start();
  record.note(`${successor.name} starts with an empty disk, as the successor of ${old.name}`);
  await sleep(SUCCESSOR_RUNS_MS);
  const servedBefore = served(calmFrom, Date.now() - 1_000);

  record.note(`SIGTERM to ${old.name}, for good`);
  old.signal('SIGTERM');
  await old.ended;
  record.note(`${old.name} has ended`);
  deployment.keepers = deployment.keepers.filter((each) => each !== old);
  await sleep(WIPE_AFTER_MS);
  await deployment.submit(desired(8));
  record.note('version 8 is acknowledged');
  const lost = deployment.keepers.slice(2, 4);
  if (HAS_TROUBLE) {
    record.note(`${lost.map(({ name }) => name).join(' and ')} lose their disks`);
    await Promise.all(lost.map((each) => each.kill()));
    lost.forEach(({ fields }) => {
      fs.rmSync(fields.dataDir, { recursive: true, force: true });
      fs.mkdirSync(fields.dataDir, { recursive: true });
    });
    await sleep(DOWN_MS);
    lost.forEach((each) => each.start());
    record.note(`${lost.map(({ name }) => name).join(' and ')} are back with empty disks`);
  }
  await sleep(BOUNDS.recoverS * 1_000);

  const checkFrom = Date.now();
  const reads = [];
  while (Date.now() < checkFrom + CHECK_MS) {
    const results = await Promise.all(deployment.controls.map((keeper) => call(keeper, 'GET', '/celerydrift/config')));
    results.forEach(({ status, body }, i) => {
      const version = status === 200 ? JSON.parse(body).version : undefined;
      reads.push({ status, version });
      record.add({ event: 'read', at: deployment.keepers[i].name, status, version });
    });
    await sleep(500);
  }
  const servedAfter = served(checkFrom, Date.now() - 2_000);
  isOver = true;
  await traffic;
  await sleep(1_500);
  requester.close();
  servers.forEach((server) => server.stop());
  await deployment.stop();

  const found = reads.filter(({ version }) => version === 8).length;
  const older = reads.filter(({ version }) => version !== undefined && version < 8).length;
  const isGone = found === 0 || older > 0;
  const isDown = servedBefore >= 0.25 && servedAfter < 0.25;
  const summary = [
    `trouble: ${HAS_TROUBLE}`,
    `reads from ${BOUNDS.recoverS} s after the machines were back, for ${CHECK_MS / 1_000} s: ${reads.length}, of which version 8: ${found}, older: ${older}`,
    `share of requests served before: ${servedBefore.toFixed(3)}, in the time of the reads: ${servedAfter.toFixed(3)}`,
    `LOST: the acknowledged desired state is ${isGone ? 'gone' : 'there'}`,
    `RECOVER: ${isDown ? 'broken' : 'held'}`,
  ];
  record.write(summary);
  process.stdout.write(`${summary.join('\n')}\n`);
  if (servedBefore < 0.9) return 2;
  return isGone ? 10 : 0;
}

main().then(
  (code) => process.exit(code),
  (error) => {
    process.stderr.write(`${error.stack}\n`);
    process.exit(2);
  },
);
