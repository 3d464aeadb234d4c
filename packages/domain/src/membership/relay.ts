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
 * Whom a daemon that is no relay may follow, best first. Another relay and then the replicas are there
 * for when the first choice is silent, so one dead or cut-off relay never keeps a change from a daemon.
 */
export function upstreams(
  hash: hashing.Hash,
  self: string,
  relays: readonly string[],
  replicas: readonly string[],
): string[] {
  const preferred = hashing.rendezvous(hash, `upstream/${self}`, relays);
  const rest = replicas.filter((id) => !preferred.includes(id));
  return [...preferred, ...hashing.rendezvous(hash, `upstream/${self}`, rest)];
}
