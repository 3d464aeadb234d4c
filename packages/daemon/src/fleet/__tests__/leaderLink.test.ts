/** How a follower finds a leader among keepers that answer slowly. */
import * as chai from 'chai';
import { Err, Ok } from 'ts-results';
import * as clock from '../../clock';
import * as observer from '../../observability/observer';
import type * as peerClient from '../../rpc/peerClient';
import type * as fleetState from '../fleetState';
import * as leaderLink from '../leaderLink';
import * as messages from '../messages';

const { expect } = chai;

const KEEPERS = ['10.0.0.1:1', '10.0.0.2:1', '10.0.0.3:1', '10.0.0.4:1', '10.0.0.5:1'];

/** Time after which a follower gives up a poll, in milliseconds. */
const TIMEOUT_MS = 700;

const CONFIRMATION = {
  kind: 'confirmed',
  keepers: KEEPERS,
  entries: 1,
  lacksTargets: false,
  crowding: [],
  news: { edition: undefined, mark: messages.NO_VERSION, since: messages.NO_VERSION },
};

function linkOf(client: object, state: object = {}): leaderLink.LeaderLink {
  const known = {
    version: 0,
    registryVersion: messages.NO_VERSION,
    reportableSuspects: () => [],
    limits: { all: () => [] },
    evacuations: { revision: 0 },
    applyUpdate: () => true,
    ...state,
  };
  return new leaderLink.LeaderLink({
    name: 'entry',
    role: 'entry',
    address: '10.0.1.1:1',
    dataCentre: 'dc0',
    replica: () => undefined,
    seeds: KEEPERS,
    client: client as peerClient.PeerClient,
    fleetState: known as unknown as fleetState.FleetState,
    observer: new observer.Observer('test', 'fatal', undefined),
    readClocks: clock.readClocks,
    dispatches: () => [],
    onConfirmed: () => undefined,
  });
}

describe('leader link', () => {
  /*
   * Guards against a new leader that is overloaded by repeated polls: while hundreds of entries waited for its first
   * answer, each polled the same keepers again ten times a second; the leader answered every poll, the last ones
   * after their timeout, and the entries started again.
   */
  it('has at most one poll in flight to each keeper while it searches for a leader', async () => {
    const inFlight = new Map<string, number>();
    let maxInFlight = 0;
    const client = {
      dropOverdueConnection: () => undefined,
      call: async (address: string) => {
        inFlight.set(address, (inFlight.get(address) ?? 0) + 1);
        maxInFlight = Math.max(maxInFlight, ...inFlight.values());
        await clock.sleep(TIMEOUT_MS);
        inFlight.set(address, (inFlight.get(address) ?? 1) - 1);
        const detail = `${TIMEOUT_MS} ms`;
        return address === KEEPERS[4]
          ? Ok(CONFIRMATION)
          : Err({ kind: 'timeout', address, method: 'follow', mayHaveArrived: true, detail });
      },
    };
    const link = linkOf(client);
    link.start();
    await clock.sleep(2 * TIMEOUT_MS);
    link.stop();
    expect([maxInFlight, link.leader]).to.deep.equal([1, KEEPERS[4]]);
  });

  // Guards against an unexpected error in one poll that ends the process, or the polls.
  it('goes on polling after an unexpected error', async () => {
    let errors = 2;
    const fail = (): void => {
      errors -= 1;
      if (errors >= 0) throw new TypeError('unexpected');
    };
    const client = { dropOverdueConnection: () => undefined, call: async () => Ok(CONFIRMATION) };
    const link = linkOf(client, { applyUpdate: fail });
    link.start();
    while (link.leader === '' || errors >= 0) await clock.sleep(5);
    link.stop();
    expect(Number.isFinite(link.confirmationAgeMs)).to.equal(true);
  });
});
