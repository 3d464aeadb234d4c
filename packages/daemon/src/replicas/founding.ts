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

async function ask(
  client: peerClient.PeerClient,
  addresses: readonly string[],
): Promise<Identity[]> {
  const answers = await Promise.all(
    addresses.map((address) =>
      client.call<Identity>(address, 'identify', {}, { timeoutMs: 1_000 }),
    ),
  );
  return answers.flatMap((answer) => (answer.ok ? [answer.val] : []));
}

/** One try at founding or at taking up an interrupted founding; true when this replica is founded. */
export async function attempt({ set, client, ...options }: Options): Promise<boolean> {
  if (set.isFounded) return true;
  const others = options.founders.filter((address) => address !== options.address);
  const founders = await ask(client, others);
  const interrupted = founders.find(({ members }) => members.some(({ id }) => id === set.id));
  if (interrupted !== undefined) {
    await set.found(interrupted.members);
    return true;
  }
  const first = [...options.founders].sort()[0] === options.address;
  if (!first || founders.length < others.length) return false;
  const peers = await ask(client, options.seeds);
  if ([...founders, ...peers].some(({ founded }) => founded)) return false;
  const members = [
    set.member('voter'),
    ...founders.map(({ replica, address, dataCentre }) => {
      return { id: replica, address, dataCentre, role: 'voter' } as const;
    }),
  ];
  const taken = await Promise.all(
    others.map((address) => client.call(address, 'found', { members })),
  );
  if (!taken.every(({ ok }) => ok)) return false;
  await set.found(members);
  return true;
}
