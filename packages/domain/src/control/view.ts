/**
 * What every daemon holds of the control state: subtrees, registered daemons, planned stops, as of a
 * log index. A view only moves forward. A daemon that fell behind compares digests with its upstream
 * and fetches only the parts that differ.
 */
import * as hashing from '../shared/hashing';
import * as tree from '../settings/tree';
import * as stop from '../stop/stop';
import * as state from './state';

/** One item of a view, with the key under which digests compare it. */
export interface Part {
  key: string;
  delta: state.Delta;
}

/** Digest of each bucket of parts; equal buckets need no look at their parts. */
export interface Digest {
  index: number;
  buckets: number[];
}

export const BUCKET_COUNT = 64;

/** Deltas kept for followers that are a little behind. */
export const MAX_DELTAS = 1_024;

function keyOf(delta: state.Delta): string {
  if (delta.kind === 'subtree') return `subtree/${delta.name}`;
  return `${delta.kind}/${delta.id}`;
}

export class View {
  index = 0;

  readonly subtrees = new Map<string, tree.Subtree>();

  readonly daemons = new Map<string, state.Registered>();

  readonly stops = new Map<string, stop.Stop>();

  private deltas: state.Delta[] = [];

  /** Followers behind this index can't be served from `deltas`. */
  private deltasAfter = 0;

  /** Takes deltas up to `index`; what is not newer is left out, so nothing ever goes back. */
  advance(deltas: readonly state.Delta[], index: number): boolean {
    if (index <= this.index) return false;
    deltas.filter((delta) => delta.index > this.index).forEach((delta) => this.applyDelta(delta));
    this.index = index;
    this.trimDeltas();
    return true;
  }

  /** Replaces the differing parts after a comparison of digests made at `index`. */
  replace(parts: readonly Part[], removed: readonly string[], index: number): boolean {
    if (index <= this.index) return false;
    removed.forEach((key) => this.removeItem(key));
    parts.forEach(({ delta }) => this.store(delta));
    this.index = index;
    this.deltas = [];
    this.deltasAfter = index;
    return true;
  }

  /** Deltas after `index`, or undefined when they no longer reach back that far. */
  since(index: number): state.Delta[] | undefined {
    if (index < this.deltasAfter) return undefined;
    return this.deltas.filter((delta) => delta.index > index);
  }

  digest(hash: hashing.Hash): Digest {
    const buckets = new Array<number>(BUCKET_COUNT).fill(0);
    this.items().forEach((part) => {
      const bucket = hash(part.key) % BUCKET_COUNT;
      // Addition makes the digest independent of the order in which parts arrived.
      buckets[bucket] = ((buckets[bucket] ?? 0) + hash(JSON.stringify(part.delta))) % 2 ** 32;
    });
    return { index: this.index, buckets };
  }

  /** The parts in buckets whose digest differs from the other side's. */
  partsIn(hash: hashing.Hash, buckets: ReadonlySet<number>): Part[] {
    return this.items().filter(({ key }) => buckets.has(hash(key) % BUCKET_COUNT));
  }

  /** Keys in those buckets that are here but not in `kept`: the other side removed them. */
  keysBeyond(
    hash: hashing.Hash,
    buckets: ReadonlySet<number>,
    kept: ReadonlySet<string>,
  ): string[] {
    return this.partsIn(hash, buckets)
      .map(({ key }) => key)
      .filter((key) => !kept.has(key));
  }

  /** Starts over from a replica's own state, if that is newer. */
  adopt(source: state.State): boolean {
    if (source.index <= this.index) return false;
    this.subtrees.clear();
    source.tree.list().forEach((subtree) => this.subtrees.set(subtree.name, subtree));
    this.daemons.clear();
    source.daemons.forEach((daemon, id) => this.daemons.set(id, daemon));
    this.stops.clear();
    source.stops.forEach((announced, id) => this.stops.set(id, announced));
    this.index = source.index;
    this.deltas = [];
    this.deltasAfter = source.index;
    return true;
  }

  private items(): Part[] {
    // The index of a part's last change is left out: two views may have learnt it by other ways.
    const index = 0;
    const deltas: state.Delta[] = [
      ...[...this.subtrees].map(([name, subtree]): state.Delta => {
        return { kind: 'subtree', index, name, subtree };
      }),
      ...[...this.daemons].map(([id, daemon]): state.Delta => {
        return { kind: 'daemon', index, id, daemon };
      }),
      ...[...this.stops].map(([id, announced]): state.Delta => {
        return { kind: 'stop', index, id, stop: announced };
      }),
    ];
    return deltas.map((delta) => ({ key: keyOf(delta), delta }));
  }

  private applyDelta(delta: state.Delta): void {
    this.store(delta);
    this.deltas.push(delta);
  }

  private store(delta: state.Delta): void {
    if (delta.kind === 'subtree') this.set(this.subtrees, delta.name, delta.subtree);
    if (delta.kind === 'daemon') this.set(this.daemons, delta.id, delta.daemon);
    if (delta.kind === 'stop') this.set(this.stops, delta.id, delta.stop);
  }

  private set<T>(map: Map<string, T>, key: string, value: T | undefined): void {
    if (value === undefined || value === null) map.delete(key);
    else map.set(key, value);
  }

  private removeItem(key: string): void {
    const slash = key.indexOf('/');
    const name = key.slice(slash + 1);
    const kind = key.slice(0, slash);
    if (kind === 'subtree') this.subtrees.delete(name);
    if (kind === 'daemon') this.daemons.delete(name);
    if (kind === 'stop') this.stops.delete(name);
  }

  private trimDeltas(): void {
    if (this.deltas.length <= MAX_DELTAS) return;
    const cut = this.deltas.splice(0, this.deltas.length - MAX_DELTAS);
    this.deltasAfter = cut.at(-1)?.index ?? this.deltasAfter;
  }
}
