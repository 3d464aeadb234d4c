/**
 * Every daemon's view of the control state: subtrees, registered daemons and planned stops, as of a
 * log index. A view only moves forward. A daemon that fell behind compares digests with its
 * upstream and fetches only the items that differ.
 */
import * as hashing from '../shared/hashing';
import * as tree from '../settings/tree';
import * as stop from '../stop/stop';
import * as state from './state';

/** An item of a view, with the key under which digests compare it. */
export interface ViewItem {
  key: string;
  delta: state.Delta;
}

/** Digests of the buckets of items; the items in equal buckets need no comparison. */
export interface Digest {
  index: number;
  buckets: number[];
}

export const BUCKET_COUNT = 64;

/** Deltas that are kept for followers that are slightly behind. */
export const MAX_DELTAS = 1_024;

function keyOf(delta: state.Delta): string {
  if (delta.kind === 'subtree') return `subtree/${delta.name}`;
  return `${delta.kind}/${delta.id}`;
}

export class View {
  index = 0;

  readonly subtrees = new Map<string, tree.Subtree>();

  readonly daemons = new Map<string, state.RegisteredDaemon>();

  readonly stops = new Map<string, stop.Stop>();

  private deltas: state.Delta[] = [];

  /** Index before which followers can't be served from `deltas`. */
  private deltasAfter = 0;

  /**
   * Applies deltas up to `index`; those that aren't newer are ignored, so the view never reverts.
   */
  advance(deltas: readonly state.Delta[], index: number): boolean {
    if (index <= this.index) return false;
    deltas.filter((delta) => delta.index > this.index).forEach((delta) => this.applyDelta(delta));
    this.index = index;
    this.trimDeltas();
    return true;
  }

  /** Replaces the differing items after a comparison of digests made at `index`. */
  replace(items: readonly ViewItem[], removed: readonly string[], index: number): boolean {
    if (index <= this.index) return false;
    removed.forEach((key) => this.removeItem(key));
    items.forEach(({ delta }) => this.store(delta));
    this.index = index;
    this.deltas = [];
    this.deltasAfter = index;
    return true;
  }

  /** Deltas after `index`; undefined when they no longer reach back that far. */
  since(index: number): state.Delta[] | undefined {
    if (index < this.deltasAfter) return undefined;
    return this.deltas.filter((delta) => delta.index > index);
  }

  digest(hash: hashing.Hash): Digest {
    const buckets = new Array<number>(BUCKET_COUNT).fill(0);
    this.items().forEach((item) => {
      const bucket = hash(item.key) % BUCKET_COUNT;
      // Addition makes the digest independent of the order in which items arrived.
      buckets[bucket] = ((buckets[bucket] ?? 0) + hash(JSON.stringify(item.delta))) % 2 ** 32;
    });
    return { index: this.index, buckets };
  }

  /** The items in buckets whose digest differs from the other side's. */
  itemsIn(hash: hashing.Hash, buckets: ReadonlySet<number>): ViewItem[] {
    return this.items().filter(({ key }) => buckets.has(hash(key) % BUCKET_COUNT));
  }

  /** Keys in those buckets that are here but not in `kept`, as the other side has removed them. */
  keysMissingFrom(
    hash: hashing.Hash,
    buckets: ReadonlySet<number>,
    kept: ReadonlySet<string>,
  ): string[] {
    return this.itemsIn(hash, buckets)
      .map(({ key }) => key)
      .filter((key) => !kept.has(key));
  }

  /** Replaces the view by a replica's own state, if that is newer. */
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

  private items(): ViewItem[] {
    // The index of an item's last change is left out, as two views may have received it by
    // different paths.
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
