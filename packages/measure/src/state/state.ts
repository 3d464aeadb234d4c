/**
 * Scenario `state`: the memory of one item of each kind of state that a daemon keeps, and the duration of operations
 * over all items. docs/CAPACITY.md uses the results as slopes.
 */
import * as crypto from 'node:crypto';
import * as domain from '@celerydrift/domain';
import * as teams from '../teams';

export interface Result {
  /** Heap per item, bytes. */
  bytesPerSubtree: number;
  bytesPerDaemon: number;
  bytesPerTarget: number;
  bytesPerClaim: number;
  bytesPerTombstone: number;
  /** Milliseconds to compute the digest of a view of a thousand subtrees and a thousand daemons. */
  digestMs: number;
  /** Milliseconds to build the directory of a thousand subtrees. */
  directoryMs: number;
  /** Milliseconds to rebuild it from the former one after a change of one subtree. */
  directoryAfterChangeMs: number;
  /** Milliseconds in which a daemon computes its own cell among 810 daemons and 2,400 targets. */
  cellMs: number;
  /** Milliseconds to place one request among 32 targets. */
  placeMs: number;
  snapshotMsPerThousandClaims: number;
}

const ITEMS = 1_000;

const CLAIMS = 20_000;

function usedHeapBytes(): number {
  (globalThis as { gc?: () => void }).gc?.();
  return process.memoryUsage().heapUsed;
}

function measureBytes<T>(count: number, make: () => T): { bytes: number; value: T } {
  const before = usedHeapBytes();
  const value = make();
  return { bytes: (usedHeapBytes() - before) / count, value };
}

function meanMs(action: () => unknown, times: number): number {
  action();
  const since = performance.now();
  for (let i = 0; i < times; i++) action();
  return (performance.now() - since) / times;
}

/** Copies a string into memory of its own, like one received over the network. */
function unsharedCopy(text: string): string {
  return Buffer.from(text).toString();
}

function makeSubtree(i: number, index: number): domain.settings.tree.Subtree {
  const text = unsharedCopy(teams.FITTERS.settings.replaceAll('kisumu', `org-${i}`));
  return { name: `team-${i}`, revision: 1, text, author: 'a', at: 0, index };
}

function makeTarget(i: number): domain.target.target.Target {
  return {
    name: unsharedCopy(`engine-${i}`),
    incarnation: 1,
    sequence: 1,
    kind: 'engine',
    address: unsharedCopy(`10.0.${i}.1:8000`),
    dataCentre: `dc-${i % 17}`,
    status: 'serving',
    fencing: 'checked',
    service: '',
    models: [{ base: 'base', adapter: '', version: '1' }],
    memoryTokens: 450_000,
    load: { queuedTokens: 0, streams: 0, freeTokens: 450_000 },
  };
}

function fillLedger(count: number): domain.ledger.ledger.Ledger {
  const shard = new domain.ledger.ledger.Ledger();
  for (let i = 0; i < count; i++) {
    const key = `fitters/kisumu/parts/${crypto.randomUUID()}`;
    const attempt = crypto.randomUUID();
    const content = crypto.createHash('sha256').update(key).digest('hex');
    const claim = { kind: 'claim', key, organisation: `o${i % 99}`, content, attempt } as const;
    shard.apply({ ...claim, deadline: 1_000, at: i });
    const answer = {
      status: 201,
      contentType: 'application/json',
      body: unsharedCopy('x'.repeat(200)),
    };
    const settle = { kind: 'settle', key, attempt, settlement: 'completed' } as const;
    shard.apply({ ...settle, answer, at: i });
  }
  return shard;
}

function measurePlacementMs(hash: domain.shared.hashing.Hash): number {
  const policy = new domain.routing.policy.ElasticReserve(domain.shared.random.seeded(1));
  const dispatcher = new domain.routing.dispatcher.Dispatcher('dc-1', hash, policy);
  dispatcher.setTargets(Array.from({ length: 32 }, (_value, i) => makeTarget(i)));
  let now = 0;
  let requests = 0;
  const model = { base: 'base', adapter: '', version: '1' };
  return meanMs(() => {
    requests += 1;
    now += 5;
    const request: domain.routing.dispatcher.Request = {
      id: `r${requests}`,
      organisation: 'o',
      share: 1,
      priority: 'normal',
      model,
      promptTokens: 3_000,
      answerTokens: 200,
      prefixKeys: [requests, requests + 1],
      enqueuedAt: now,
      deadline: now + 60_000,
      excluded: new Set(),
    };
    dispatcher.enqueue(request, now);
    dispatcher.poll(now);
    if (requests > 100) {
      dispatcher.firstToken(`r${requests - 10}`, now);
      dispatcher.ended(`r${requests - 100}`, now);
    }
  }, 5_000);
}

export async function run(_quick: boolean, _log: (line: string) => void): Promise<Result> {
  const hash = await domain.shared.hashing.load();
  const view = new domain.control.view.View();
  const indexes = Array.from({ length: ITEMS }, (_value, i) => i);
  const subtrees = measureBytes(ITEMS, () => {
    const list = indexes.map((i) => makeSubtree(i, i + 1));
    const deltas = list.map((each, i): domain.control.state.Delta => {
      return { kind: 'subtree', index: i + 1, name: each.name, subtree: each };
    });
    view.advance(deltas, ITEMS);
    return new domain.settings.directory.Directory(list);
  });
  const daemons = measureBytes(ITEMS, () => {
    indexes.forEach((i) => {
      const daemon = { id: unsharedCopy(`vm-${i}`), address: unsharedCopy(`10.1.${i}.1:8083`) };
      const registered = { ...daemon, dataCentre: `dc-${i % 17}`, replica: '' };
      const index = ITEMS + 1 + i;
      view.advance([{ kind: 'daemon', index, id: daemon.id, daemon: registered }], index);
    });
    return view;
  });
  const targets = measureBytes(ITEMS, () => new Map(indexes.map((i) => [`e${i}`, makeTarget(i)])));
  const claims = measureBytes(CLAIMS, () => fillLedger(CLAIMS));
  const tombstones = measureBytes(CLAIMS, () => {
    const shard = fillLedger(CLAIMS);
    const { retention } = domain.ledger.ledger.DEFAULT_LIMITS;
    shard.apply({ kind: 'release', key: '', attempt: '', at: retention + CLAIMS + 1 });
    return shard;
  });
  const unchanged = [...view.subtrees.values()];
  const changed = unchanged.map((each, i) => (i === 0 ? { ...each, index: 1e6 } : each));
  const { Directory } = domain.settings.directory;
  const formerDirectory = subtrees.value;
  const placedAt = (prefix: string, i: number): domain.routing.cell.Member => {
    return { id: `${prefix}${i}`, dataCentre: `dc-${i % 17}` };
  };
  const fleet = Array.from({ length: 810 }, (_value, i) => placedAt('vm', i));
  const engines = Array.from({ length: 2_400 }, (_value, i) => placedAt('e', i));
  const self = fleet[0];
  return {
    bytesPerSubtree: subtrees.bytes,
    bytesPerDaemon: daemons.bytes,
    bytesPerTarget: targets.bytes,
    bytesPerClaim: claims.bytes,
    bytesPerTombstone: tombstones.bytes,
    digestMs: meanMs(() => view.digest(hash), 20),
    directoryMs: meanMs(() => new Directory(unchanged), 5),
    directoryAfterChangeMs: meanMs(() => new Directory(changed, formerDirectory), 20),
    cellMs: meanMs(() => domain.routing.cell.cellOf(hash, self, fleet, engines), 20),
    placeMs: measurePlacementMs(hash),
    snapshotMsPerThousandClaims: meanMs(() => claims.value.snapshot(), 5) / (CLAIMS / 1_000),
  };
}
