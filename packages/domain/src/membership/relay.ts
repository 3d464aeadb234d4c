/**
 * Who follows whom for settings. Two daemons of each data centre are relays, picked by rendezvous
 * hashing from the live members; they follow the replicas, the others follow a relay. The leader's
 * fan-out is bounded by data centres, a relay's by the daemons of its own.
 */
import * as hashing from '../shared/hashing';

export const RELAYS_PER_DATA_CENTRE = 2;

export function relaysOf(
  hash: hashing.Hash,
  dataCentre: string,
  daemons: readonly string[],
): string[] {
  return hashing.rendezvous(hash, `relay/${dataCentre}`, daemons).slice(0, RELAYS_PER_DATA_CENTRE);
}

/**
 * Whom `self` may follow, best first. Another relay and then the replicas are there for when the
 * first choice is silent, so one dead or cut-off relay never keeps a change from a daemon.
 */
export function upstreams(
  hash: hashing.Hash,
  self: string,
  dataCentre: string,
  live: readonly string[],
  replicas: readonly string[],
): string[] {
  const others = replicas.filter((id) => id !== self);
  const ranked = hashing.rendezvous(hash, `upstream/${self}`, others);
  const relays = relaysOf(hash, dataCentre, live);
  if (relays.includes(self)) return ranked;
  const preferred = hashing.rendezvous(hash, `upstream/${self}`, relays);
  return [...preferred, ...ranked.filter((id) => !preferred.includes(id))];
}
