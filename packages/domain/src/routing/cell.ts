/**
 * Determines which daemon places requests for which others. Daemons that place independently on
 * views of the others that are seconds old collide: every seventh short request met a request of
 * another daemon on its target. So the targets are split into cells, and in each cell one daemon, the
 * allocator, places all requests and knows every dispatch exactly. Rendezvous hashing picks the
 * allocators, so no election is needed; a daemon that can't reach its allocator places by itself
 * until another takes over.
 */
import * as hashing from '../shared/hashing';

/** Targets per cell; a fleet of 20 to 25 servers fits into one. */
export const CELL_TARGETS = 32;

/** Fleets of up to this many daemons share cells across all data centres. */
export const SMALL_FLEET = 16;

/** A daemon or a target. */
export interface Member {
  id: string;
  dataCentre: string;
}

export interface Cell {
  /** Names of the targets that the daemon uses. */
  targets: string[];
  /** Id of the daemon that places its requests. */
  allocator: string;
}

function cellIndex(hash: hashing.Hash, kind: string, name: string, count: number): number {
  return hash(`cell/${kind}/${name}`) % count;
}

/** The cell of the daemon `self`; `daemons` are the live ones, with or without itself. */
export function cellOf(
  hash: hashing.Hash,
  self: Member,
  daemons: readonly Member[],
  targets: readonly Member[],
): Cell {
  const small = daemons.length <= SMALL_FLEET;
  const isNearby = (member: Member): boolean => small || member.dataCentre === self.dataCentre;
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
