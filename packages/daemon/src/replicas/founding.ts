/**
 * Founding of the replica set, once in the life of a fleet. All founders must be there with empty
 * data folders, and no daemon that answers may know of a set already: a VM that lost its disk, or all
 * founders after they were replaced, must never found a second set beside the first.
 */
import type * as domain from '@celerydrift/domain';
import type * as peerClient from '../rpc/peerClient';
import type * as replicaSet from './replicaSet';

/** What a daemon says of itself. */
export interface Identity {
  daemon: string;
  replica: string;
  address: string;
  dataCentre: string;
  founded: boolean;
  /** Founding members, to be taken over by a founder that was interrupted. */
  members: domain.replication.messages.Member[];
}

export interface Options {
  set: replicaSet.ReplicaSet;
  client: peerClient.PeerClient;
  founders: readonly string[];
  seeds: readonly string[];
  address: string;
}

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

/** One try at founding or at taking up an interrupted founding; true when this replica is founded. */
export async function attempt({ set, client, ...options }: Options): Promise<boolean> {
  if (set.isFounded) return true;
  const otherAddresses = options.founders.filter((address) => address !== options.address);
  const otherFounders = await identifyAll(client, otherAddresses);
  const interrupted = otherFounders.find(({ members }) => members.some(({ id }) => id === set.id));
  if (interrupted !== undefined) {
    await set.found(interrupted.members);
    return true;
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
  await set.found(members);
  return true;
}
