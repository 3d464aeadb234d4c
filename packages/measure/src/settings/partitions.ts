/**
 * Network partitions between daemons that run in this process, so that single connections can be cut. Measures how long
 * a daemon on the isolated side goes on admitting requests under settings that have been replaced.
 */
import * as fs from 'node:fs';
import * as os from 'node:os';
import * as path from 'node:path';
import * as daemonPackage from '@celerydrift/daemon';
import * as fleet from '../fleet';
import * as processes from '../processes';
import * as teams from '../teams';

type Daemon = daemonPackage.daemon.Daemon;

interface Member {
  daemon: Daemon;
  peerAddress: string;
  operatorUrl: string;
}

export interface PartitionShape {
  name: string;
  /** Indexes of the isolated daemons in the order of `orderByRole`, where the leader is 0. */
  isolated: readonly number[];
  durationMs: number;
}

/** Partitions of five daemons; the first three have disks, and the first of these leads. */
export const SHAPES: readonly PartitionShape[] = [
  { name: 'oneEntryCut', isolated: [4], durationMs: 7_000 },
  { name: 'twoEntriesCutTogether', isolated: [3, 4], durationMs: 7_000 },
  { name: 'leaderCut', isolated: [0], durationMs: 7_000 },
  { name: 'leaderAndEntryCut', isolated: [0, 4], durationMs: 7_000 },
  { name: 'replicasCutFromEntries', isolated: [0, 1, 2], durationMs: 7_000 },
];

const DAEMONS = 5;

const SAMPLE_INTERVAL_MS = 20;

function settingsText(name: string, index: number, ports: number[], folder: string): string {
  const peerAddress = (i: number): string => `127.0.0.1:${ports[i * 4 + 3]}`;
  const [callers, targets, operators, peers] = ports.slice(index * 4);
  const hasDisk = index < 3;
  return `[daemon]
name = ${name}
data-centre = dc-${(index % 3) + 1}
[listen]
callers = 127.0.0.1:${callers}
targets = 127.0.0.1:${targets}
operators = 127.0.0.1:${operators}
peers = 127.0.0.1:${peers}
[peers]
seeds = ${[0, 1, 2].map(peerAddress).join(',')}
secret = secret-of-the-partition-run
[data]
founders = ${[0, 1, 2].map(peerAddress).join(',')}
${hasDisk ? `folder = ${path.join(folder, name)}` : ''}
[security]
target-secret = secret-of-the-partition-run
operator-token = sha256:${fleet.sha256(fleet.OPERATOR_TOKEN)}
[observe]
level = fatal
`;
}

async function startAll(folder: string): Promise<Member[]> {
  const ports = await processes.freePorts(DAEMONS * 4);
  const members: Member[] = [];
  for (let i = 0; i < DAEMONS; i++) {
    const configuration = daemonPackage.configuration.read(
      settingsText(`vm-${i}`, i, ports, folder),
    );
    if (configuration.err) throw new Error(JSON.stringify(configuration.val));
    const started = await daemonPackage.daemon.Daemon.start(configuration.val, (error) => {
      throw error;
    });
    if (started.err) throw new Error(started.val.detail);
    members.push({
      daemon: started.val,
      peerAddress: `127.0.0.1:${ports[i * 4 + 3]}`,
      operatorUrl: `http://127.0.0.1:${ports[i * 4 + 2]}`,
    });
  }
  return members;
}

async function applyChange(
  members: readonly Member[],
  subtree: string,
  id: string,
  basedOn: number,
): Promise<number | undefined> {
  for (const { operatorUrl } of members) {
    const response = await fetch(`${operatorUrl}/v1/settings/${subtree}`, {
      method: 'PUT',
      headers: { authorization: `Bearer ${fleet.OPERATOR_TOKEN}` },
      body: JSON.stringify({ id, basedOn, text: `; ${id}\n${teams.FITTERS.settings}` }),
      signal: AbortSignal.timeout(15_000),
    }).catch(() => undefined);
    if (response?.status === 200) return ((await response.json()) as { index: number }).index;
  }
  return undefined;
}

function isLeader({ daemon }: Member): boolean {
  return daemon.control.host?.isLeader === true;
}

/** Orders the daemons: the leader, then the others with disks, then the rest. */
function orderByRole(members: readonly Member[]): Member[] {
  const rank = (member: Member): number => {
    if (isLeader(member)) return 0;
    return member.daemon.control.host === undefined ? 2 : 1;
  };
  return [...members].sort((a, b) => rank(a) - rank(b));
}

function setPartition(
  isolated: readonly Member[],
  others: readonly Member[],
  isCut: boolean,
): void {
  isolated.forEach((a) => {
    others.forEach((b) => {
      if (isCut) {
        a.daemon.peers.blockedAddresses.add(b.peerAddress);
        b.daemon.peers.blockedAddresses.add(a.peerAddress);
      } else {
        a.daemon.peers.blockedAddresses.delete(b.peerAddress);
        b.daemon.peers.blockedAddresses.delete(a.peerAddress);
      }
    });
  });
}

async function waitUntilReady(members: readonly Member[], timeoutMs = 15_000): Promise<boolean> {
  const until = Date.now() + timeoutMs;
  while (members.some(({ daemon }) => daemon.unready() !== undefined)) {
    if (Date.now() > until) return false;
    await processes.sleep(20);
  }
  return true;
}

export interface PartitionResult {
  /** Longest time after the acceptance of a change for which a daemon admitted requests without it, milliseconds. */
  servedStaleMs: number;
  /** Number of changes accepted during the partition. */
  accepted: number;
  /** Number of daemons that admitted requests at the end of the partition. */
  admitting: number;
  /** Whether all daemons became ready after the partition. */
  healed: boolean;
}

async function runPartition(
  members: readonly Member[],
  shape: PartitionShape,
): Promise<PartitionResult> {
  const sorted = orderByRole(members);
  const isolated = shape.isolated.map((index) => sorted[index]);
  const others = sorted.filter((member) => !isolated.includes(member));
  const acceptances: { index: number; at: number }[] = [];
  let servedStaleMs = 0;
  const sample = (): void => {
    const now = Date.now();
    members.forEach(({ daemon }) => {
      if (daemon.unready() !== undefined) return;
      const missing = acceptances.find(({ index }) => index > daemon.control.view.index);
      if (missing !== undefined) servedStaleMs = Math.max(servedStaleMs, now - missing.at);
    });
  };
  setPartition(isolated, others, true);
  const timer = setInterval(sample, SAMPLE_INTERVAL_MS);
  const until = Date.now() + shape.durationMs;
  for (let n = 0; Date.now() < until; n++) {
    const subtree = `team-${shape.name.toLowerCase()}`;
    const index = await applyChange([...others, ...isolated], subtree, `${subtree}-${n}`, n);
    if (index !== undefined) acceptances.push({ index, at: Date.now() });
    else n -= 1;
    await processes.sleep(100);
  }
  const admitting = members.filter(({ daemon }) => daemon.unready() === undefined).length;
  clearInterval(timer);
  setPartition(isolated, others, false);
  const healed = await waitUntilReady(members);
  return { servedStaleMs, accepted: acceptances.length, admitting, healed };
}

export async function run(
  shapes: readonly PartitionShape[],
  log: (line: string) => void,
): Promise<Record<string, PartitionResult>> {
  const folder = fs.mkdtempSync(path.join(os.tmpdir(), 'celerydrift-'));
  const members = await startAll(folder);
  const results: Record<string, PartitionResult> = {};
  try {
    while ((await applyChange(members, 'fitters', 'first', 0)) === undefined)
      await processes.sleep(100);
    await waitUntilReady(members);
    for (const shape of shapes) {
      const result = await runPartition(members, shape);
      results[shape.name] = result;
      log(`${shape.name}: ${JSON.stringify(result)}`);
      await processes.sleep(500);
    }
  } finally {
    await Promise.all(members.map(({ daemon }) => daemon.halt()));
    fs.rmSync(folder, { recursive: true, force: true });
  }
  return results;
}
