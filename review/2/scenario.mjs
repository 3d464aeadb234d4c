/* eslint-disable */
/**
 * The keeper that leads acknowledges a change and loses its disk; the next one that leads does so 1.75 s after it was
 * elected, and the third one as soon as the first has been back for `syncS`. Each restarts at once at its address with an empty disk and
 * `bootstrap` set to false, so that no more than two machines are lost at any moment, as many as `faultTolerance` allows.
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

/** From the election of a new leader to its loss; the program replaces a voter that a leader hasn't heard for 2 s. */
const SECOND_LOSS_MS = 1_750;

/** The third loss comes this long after the first machine has ceased to count as lost. */
const MARGIN_MS = 150;

/** Port of the metrics in the deploy file. */
const METRICS_PORT = 9464;

/** The check begins `recoverS` after the machines are back, and lasts this long. */
const CHECK_MS = 15_000;

const KEY = 'n2ctnfzs989anu6wsjnb';

const desired = (version) => ({
  version,
  routes: [
    {
      name: 'lookup',
      host: HOST,
      pathPrefix: '/lookup/',
      kind: 'safe',
      timeoutMs: 1_000,
      sloMs: 193,
      priority: 1,
      service: 'yard-app',
      maxAttempts: 2,
      public: false,
    },
    ...(version > 7
      ? [
          {
            name: `added-${version}`,
            host: HOST,
            pathPrefix: `/added-${version}/`,
            kind: 'safe',
            timeoutMs: 1_000,
            sloMs: 193,
            priority: 1,
            service: 'yard-app',
            maxAttempts: 2,
            public: false,
          },
        ]
      : []),
  ],
  services: [{ name: 'yard-app', healthPath: '/health', maxConns: 49, protocol: 'h1', tls: false }],
  limits: {
    maxHeaderBytes: 16_384,
    maxBodyBytes: 4_194_304,
    headerTimeoutMs: 3_000,
    idleTimeoutMs: 15_000,
  },
  tenants: [{ name: 'hule930', apiKeys: [KEY], priority: 1 }],
});

/** The keeper that leads, by its metrics; waits for one. */
async function leaderOf(deployment, withinMs = 5_000) {
  const until = Date.now() + withinMs;
  while (Date.now() < until) {
    const pages = await Promise.all(
      deployment.keepers.map(async (keeper) => {
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
  }
  return undefined;
}

/** Resolves once another keeper than this one leads. */
async function nextLeader(deployment, previous) {
  while ((await leaderOf(deployment)) === previous) await sleep(20);
}

/** The machine loses its disk and restarts at once; resolves with the time at which it answers again. */
async function wipe(deployment, machine) {
  await machine.kill();
  fs.rmSync(machine.fields.dataDir, { recursive: true, force: true });
  fs.mkdirSync(machine.fields.dataDir, { recursive: true });
  machine.start();
  const control = { host: machine.ip, port: deployment.ports.control };
  for (;;) {
    const { status } = await call(control, 'GET', '/celerydrift/config', '', 1_500);
    if (status !== 0) return Date.now();
    await sleep(10);
  }
}

async function main() {
  const record = new RunRecord(path.join(HERE, 'record.txt'));
  const deployment = await Deployment.create({ keepers: 5, entries: 3 });
  const servers = ZONE_NAMES.map(
    (zone, i) =>
      new Server(deployment, { id: `i-yard${i}`, service: 'yard-app', zone, events: record.add }),
  );
  await deployment.start(desired(7));
  await Promise.all(servers.map((server) => server.start()));
  const requester = new Requester(deployment, { key: KEY, events: record.add });
  let isOver = false;
  const answers = [];
  const traffic = (async () => {
    for (let i = 0; !isOver; i++) {
      const at = Date.now();
      void requester
        .send(deployment.entries[i % 3], { path: '/lookup/2f', method: 'GET' })
        .then(({ status }) => answers.push({ at, status }));
      await sleep(50);
    }
  })();
  const served = (from, to) => {
    const all = answers.filter(({ at }) => at >= from && at < to);
    return all.length === 0 ? 0 : all.filter(({ status }) => status === 200).length / all.length;
  };

  await sleep(3_000);
  const calmFrom = Date.now();
  await sleep(5_000);
  const servedBefore = served(calmFrom, Date.now() - 1_000);

  let version = 7;
  /** Has the leader acknowledge a change, and takes its disk right after. */
  const strike = async () => {
    const leader = await leaderOf(deployment);
    if (leader === undefined) return undefined;
    version += 1;
    const { status } = await call(
      { host: leader.ip, port: deployment.ports.control },
      'PUT',
      '/celerydrift/config',
      JSON.stringify(desired(version)),
    );
    const at = Date.now();
    record.note(
      `${leader.name}, which leads, answers ${status} to version ${version}${HAS_TROUBLE ? ', and loses its disk' : ''}`,
    );
    if (status !== 200) return undefined;
    const back = HAS_TROUBLE ? wipe(deployment, leader) : Promise.resolve(at);
    void back.then((ms) =>
      record.note(
        `${leader.name} has been back for ${Date.now() - ms} ms, ${ms - at} ms after its loss`,
      ),
    );
    return { leader, at, back };
  };
  const first = await strike();
  if (first === undefined) return 2;
  if (HAS_TROUBLE) await nextLeader(deployment, first.leader);
  await sleep(SECOND_LOSS_MS);
  const second = await strike();
  if (second === undefined) return 2;
  const firstCountsUntil = (await first.back) + BOUNDS.syncS * 1_000;
  await sleep(Math.max(0, firstCountsUntil + MARGIN_MS - Date.now()));
  const third = await strike();
  if (third === undefined) return 2;
  record.note(`the first loss ceased to count ${third.at - firstCountsUntil} ms before the third`);
  const backAt = Math.max(...(await Promise.all([second.back, third.back])));
  await sleep(Math.max(0, backAt + BOUNDS.recoverS * 1_000 - Date.now()));

  const checkFrom = Date.now();
  const reads = [];
  while (Date.now() < checkFrom + CHECK_MS) {
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
  const servedAfter = served(checkFrom, Date.now() - 2_000);
  isOver = true;
  await traffic;
  await sleep(1_500);
  requester.close();
  servers.forEach((server) => server.stop());
  await deployment.stop();

  const found = reads.filter((read) => read.version === version).length;
  const older = reads.filter((read) => read.version !== undefined && read.version < version).length;
  const isGone = found === 0 || older > 0;
  const isDown = servedBefore >= 0.25 && servedAfter < 0.25;
  const summary = [
    `trouble: ${HAS_TROUBLE}`,
    `acknowledged by the leaders: versions 8 to ${version}`,
    `losses at 0, ${second.at - first.at} and ${third.at - first.at} ms; the first ceased to count at ${firstCountsUntil - first.at} ms`,
    `reads from ${BOUNDS.recoverS} s after the machines were back, for ${CHECK_MS / 1_000} s: ${reads.length}, of which version ${version}: ${found}, older: ${older}`,
    `share of requests served before: ${servedBefore.toFixed(3)}, in the time of the reads: ${servedAfter.toFixed(3)}`,
    `CONFIG: the acknowledged desired state ${isGone ? (older > 0 ? 'is read in an older version' : "doesn't come") : 'is read'}`,
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
