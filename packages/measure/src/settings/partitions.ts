/**
 * Partitions of every shape between daemons that run in this process, so that single paths can be cut:
 * how long does a daemon on the wrong side go on admitting under settings that no longer hold?
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
  /** Indexes of the side that is cut off; the leader is 0 after sorting. */
  isolated: readonly number[];
  durationMs: number;
}

/** Five daemons, the first three with disks; the leader is moved to the front. */
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
  const peer = (i: number): string => `127.0.0.1:${ports[i * 4 + 3]}`;
  const [callers, targets, operators, peers] = ports.slice(index * 4);
  const disk = index < 3;
  return `[daemon]
name = ${name}
data-centre = dc-${(index % 3) + 1}
[listen]
callers = 127.0.0.1:${callers}
targets = 127.0.0.1:${targets}
operators = 127.0.0.1:${operators}
peers = 127.0.0.1:${peers}
[peers]
seeds = ${[0, 1, 2].map(peer).join(',')}
secret = secret-of-the-partition-run
[data]
founders = ${[0, 1, 2].map(peer).join(',')}
${disk ? `folder = ${path.join(folder, name)}` : ''}
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
    const read = daemonPackage.configuration.read(settingsText(`vm-${i}`, i, ports, folder));
    if (read.err) throw new Error(JSON.stringify(read.val));
    const started = await daemonPackage.daemon.Daemon.start(read.val, (error) => {
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
  for (const { operatorUrl: operators } of members) {
    const answer = await fetch(`${operators}/v1/settings/${subtree}`, {
      method: 'PUT',
      headers: { authorization: `Bearer ${fleet.OPERATOR_TOKEN}` },
      body: JSON.stringify({ id, basedOn, text: `; ${id}\n${teams.FITTERS.settings}` }),
      signal: AbortSignal.timeout(15_000),
    }).catch(() => undefined);
    if (answer?.status === 200) return ((await answer.json()) as { index: number }).index;
  }
  return undefined;
}

function isLeader({ daemon }: Member): boolean {
  return daemon.control.host?.isLeader === true;
}

/** The leader first, the other daemons with disks next, the rest last. */
function orderByRole(members: readonly Member[]): Member[] {
  const rank = (member: Member): number => {
    if (isLeader(member)) return 0;
    return member.daemon.control.host === undefined ? 2 : 1;
  };
  return [...members].sort((a, b) => rank(a) - rank(b));
}

function setPartition(side: readonly Member[], rest: readonly Member[], cut: boolean): void {
  side.forEach((a) => {
    rest.forEach((b) => {
      if (cut) {
        a.daemon.peers.cut.add(b.peerAddress);
        b.daemon.peers.cut.add(a.peerAddress);
      } else {
        a.daemon.peers.cut.delete(b.peerAddress);
        b.daemon.peers.cut.delete(a.peerAddress);
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
  /** Longest time after an acceptance for which some daemon admitted without the change. */
  servedStaleMs: number;
  accepted: number;
  /** Daemons that admitted at the end of the partition. */
  admitting: number;
  healed: boolean;
}

async function runPartition(
  members: readonly Member[],
  shape: PartitionShape,
): Promise<PartitionResult> {
  const sorted = orderByRole(members);
  const side = shape.isolated.map((index) => sorted[index]);
  const rest = sorted.filter((member) => !side.includes(member));
  const acceptances: { index: number; at: number }[] = [];
  let servedStaleMs = 0;
  const sample = (): void => {
    const now = Date.now();
    members.forEach(({ daemon }) => {
      if (daemon.unready() !== undefined) return;
      const missed = acceptances.find(({ index }) => index > daemon.control.view.index);
      if (missed !== undefined) servedStaleMs = Math.max(servedStaleMs, now - missed.at);
    });
  };
  setPartition(side, rest, true);
  const timer = setInterval(sample, SAMPLE_INTERVAL_MS);
  const until = Date.now() + shape.durationMs;
  for (let n = 0; Date.now() < until; n++) {
    const subtree = `team-${shape.name.toLowerCase()}`;
    const index = await applyChange([...rest, ...side], subtree, `${subtree}-${n}`, n);
    if (index !== undefined) acceptances.push({ index, at: Date.now() });
    else n -= 1;
    await processes.sleep(100);
  }
  const admitting = members.filter(({ daemon }) => daemon.unready() === undefined).length;
  clearInterval(timer);
  setPartition(side, rest, false);
  const healed = await waitUntilReady(members);
  return { servedStaleMs, accepted: acceptances.length, admitting, healed };
}

export async function run(
  shapes: readonly PartitionShape[],
  say: (line: string) => void,
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
      say(`${shape.name}: ${JSON.stringify(result)}`);
      await processes.sleep(500);
    }
  } finally {
    await Promise.all(members.map(({ daemon }) => daemon.halt()));
    fs.rmSync(folder, { recursive: true, force: true });
  }
  return results;
}
