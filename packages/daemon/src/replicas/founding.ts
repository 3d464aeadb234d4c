/**
 * Bootstraps the replica set, once per fleet. All founders must be reachable with empty data folders, and
 * no daemon that answers may already know of a replica set: a VM that lost its disk, or a full set of
 * replaced founders, must never create a second replica set beside the first.
 */
import type * as domain from '@celerydrift/domain';
import type * as peerClient from '../rpc/peerClient';
import type * as replicaSet from './replicaSet';

/** A daemon's answer to `identify`. */
export interface Identity {
  daemon: string;
  replica: string;
  address: string;
  dataCentre: string;
  founded: boolean;
  /** Founding members; a founder whose bootstrap was interrupted adopts them. */
  members: domain.replication.messages.Member[];
}

export interface Options {
  set: replicaSet.ReplicaSet;
  client: peerClient.PeerClient;
  founders: readonly string[];
  seeds: readonly string[];
  address: string;
}

/** Identities of the daemons that answer, in the order of the addresses. */
async function identifyAll(
  client: peerClient.PeerClient,
  addresses: readonly string[],
): Promise<Identity[]> {
  const responses = await Promise.all(
    addresses.map((address) =>
      client.call<Identity>(address, 'identify', {}, { timeoutMs: 1_000 }),
    ),
  );
  return responses.flatMap((response) => (response.ok ? [response.val] : []));
}

/**
 * Tries once to found the replica set or to resume an interrupted founding; true when this replica is
 * founded. Only the founder whose address sorts first initiates, so that two founders don't start at once.
 */
export async function attempt({ set, client, ...options }: Options): Promise<boolean> {
  if (set.isFounded) return true;
  const otherAddresses = options.founders.filter((address) => address !== options.address);
  const otherFounders = await identifyAll(client, otherAddresses);
  const interrupted = otherFounders.find(({ members }) => members.some(({ id }) => id === set.id));
  if (interrupted !== undefined) {
    return set.found(interrupted.members);
  }
  const isInitiator = [...options.founders].sort()[0] === options.address;
  if (!isInitiator || otherFounders.length < otherAddresses.length) return false;
  const seedIdentities = await identifyAll(client, options.seeds);
  if ([...otherFounders, ...seedIdentities].some(({ founded }) => founded)) return false;
  const members = [
    set.member('voter'),
    ...otherFounders.map(({ replica, address, dataCentre }) => {
      return { id: replica, address, dataCentre, role: 'voter' } as const;
    }),
  ];
  const acknowledgements = await Promise.all(
    otherAddresses.map((address) => client.call(address, 'found', { members })),
  );
  if (!acknowledgements.every(({ ok }) => ok)) return false;
  return set.found(members);
}
