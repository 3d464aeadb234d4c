/**
 * Which daemon places requests for whom. Daemons that place each for itself on second-old views of the
 * others collide: every seventh short request would meet another daemon's. So the targets
 * are split into cells, and in each cell one daemon, the allocator, places the requests of all; it knows
 * every dispatch exactly. Allocators are picked by rendezvous hashing, so there is nothing to elect, and
 * a daemon that can't reach its allocator places by itself until another takes over.
 */
import * as hashing from '../shared/hashing';

/** Targets in a cell. All of today's 20 to 25 servers fit into one. */
export const CELL_TARGETS = 32;

/** Fleets up to this many daemons share cells over all data centres. */
export const SMALL_FLEET = 16;

export interface Placed {
  id: string;
  dataCentre: string;
}

export interface Cell {
  /** Names of the targets that the daemon uses. */
  targets: string[];
  /** Id of the daemon that places. */
  allocator: string;
}

function cellIndex(hash: hashing.Hash, kind: string, name: string, count: number): number {
  return hash(`cell/${kind}/${name}`) % count;
}

/** The cell of the daemon `self`; `daemons` are the live ones, itself included or not. */
export function cellOf(
  hash: hashing.Hash,
  self: Placed,
  daemons: readonly Placed[],
  targets: readonly Placed[],
): Cell {
  const small = daemons.length <= SMALL_FLEET;
  const isNearby = (placed: Placed): boolean => small || placed.dataCentre === self.dataCentre;
  const nearbyTargets = targets.filter(isNearby).map(({ id }) => id);
  const nearbyDaemons = daemons.filter(isNearby).map(({ id }) => id);
  const count = Math.max(1, Math.ceil(nearbyTargets.length / CELL_TARGETS));
  const own = cellIndex(hash, 'daemon', self.id, count);
  const members = nearbyDaemons.filter((id) => cellIndex(hash, 'daemon', id, count) === own);
  const scope = small ? 'fleet' : self.dataCentre;
  const ranked = hashing.rendezvous(hash, `allocator/${scope}/${own}`, members);
  return {
    targets: nearbyTargets.filter((name) => cellIndex(hash, 'target', name, count) === own),
    allocator: ranked[0] ?? self.id,
  };
}
