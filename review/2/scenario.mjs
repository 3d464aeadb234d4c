/* eslint-disable */
/**
 * The keeper that leads acknowledges a change and loses its disk; the next one that leads does so 1.75 s after it was
 * elected, and the third one as soon as the first has been back for `syncS`. Each restarts at once at its address with an
 * empty disk and `bootstrap` set to false, so that no more than two machines are lost at any moment, as many as
 * `faultTolerance` allows.
 */
import * as path from 'node:path';
import process from 'node:process';
import * as url from 'node:url';
import { Traffic, check, desired, leaderOf, put, wipe } from '../harness/core.mjs';
import { BOUNDS, Deployment, sleep } from '../harness/deployment.mjs';
import { RunRecord } from '../harness/record.mjs';

const HERE = path.dirname(url.fileURLToPath(import.meta.url));
const HAS_TROUBLE = process.env.TROUBLE !== '0';

/** From the election of a new leader to its loss; the program replaces a voter that a leader hasn't heard for 2 s. */
const SECOND_LOSS_MS = 1_750;

/** The third loss comes this long after the first machine has ceased to count as lost. */
const MARGIN_MS = 150;

/** The check begins `recoverS` after the machines are back, and lasts this long. */
const CHECK_MS = 15_000;

async function main() {
  const record = new RunRecord(path.join(HERE, 'record.txt'));
  const deployment = await Deployment.create({ keepers: 5, entries: 3 });
  const traffic = new Traffic(deployment, record);
  await deployment.start(desired(7));
  await traffic.start();
  await sleep(3_000);
  const calmFrom = Date.now();
  await sleep(5_000);
  const servedBefore = traffic.served(calmFrom, Date.now() - 1_000);

  let version = 7;
  /** Has the leader acknowledge a change, and takes its disk right after. */
  const strike = async () => {
    const leader = await leaderOf(deployment.keepers);
    if (leader === undefined) return undefined;
    version += 1;
    const { status } = await put(deployment, leader, version);
    const at = Date.now();
    record.note(
      `${leader.name}, which leads, answers ${status} to version ${version}${HAS_TROUBLE ? ', and loses its disk' : ''}`,
    );
    if (status !== 200) return undefined;
    const back = HAS_TROUBLE ? wipe(deployment, leader) : Promise.resolve(at);
    void back.then((ms) => record.note(`${leader.name} is back ${ms - at} ms after its loss`));
    return { leader, at, back };
  };
  const first = await strike();
  if (first === undefined) return 2;
  while (HAS_TROUBLE && (await leaderOf(deployment.keepers)) === first.leader) await sleep(20);
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

  const { reads, found, older, served } = await check(deployment, traffic, record, {
    forMs: CHECK_MS,
    version,
  });
  await traffic.stop();
  await deployment.stop();
  const isBroken = found === 0 || older > 0;
  const summary = [
    `trouble: ${HAS_TROUBLE}`,
    `acknowledged by the leaders: versions 8 to ${version}`,
    `losses at 0, ${second.at - first.at} and ${third.at - first.at} ms; the first ceased to count at ${firstCountsUntil - first.at} ms`,
    `reads from ${BOUNDS.recoverS} s after the machines were back, for ${CHECK_MS / 1_000} s: ${reads}, of which version ${version}: ${found}, older: ${older}`,
    `share of requests served before: ${servedBefore.toFixed(3)}, in the time of the reads: ${served.toFixed(3)}`,
    `CONFIG: ${isBroken ? "broken, the acknowledged desired state doesn't come" : 'held'}`,
    `RECOVER: ${servedBefore >= 0.25 && served < 0.25 ? 'broken' : 'held'}`,
  ];
  record.write(summary);
  process.stdout.write(`${summary.join('\n')}\n`);
  if (servedBefore < 0.9) return 2;
  return isBroken ? 10 : 0;
}

main().then(
  (code) => process.exit(code),
  (error) => {
    process.stderr.write(`${error.stack}\n`);
    process.exit(2);
  },
);
