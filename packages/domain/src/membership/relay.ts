/**
 * Distribution tree for settings. Two daemons in each data centre are relays, picked by rendezvous
 * hashing from the live members. Relays poll the replicas, all others poll a relay. The fan-out of
 * the leader is bounded by the number of data centres, that of a relay by the daemons in its own.
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
 * Upstreams of a daemon that isn't a relay, in order of preference. The other relay and then the
 * replicas are fallbacks, so one dead or cut-off relay never keeps a change from a daemon.
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
