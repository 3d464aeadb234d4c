/** How an entry keeps the status of the entries that relay its messages. */
import * as chai from 'chai';
import { Err, Ok } from 'ts-results';
import type * as peerClient from '../../rpc/peerClient';
import * as relayPeers from '../relayPeers';

const { expect } = chai;

const RELAY = { address: '10.0.0.1:1', dataCentre: 'dc0' };

const READY = { isReady: true, active: 0, lost: [] };

const TIMEOUT = {
  kind: 'timeout',
  address: RELAY.address,
  method: 'relayStatus',
  mayHaveArrived: true,
  detail: '150 ms',
} as const;

describe('relays whose connection went silent', () => {
  /** Guards against an entry without paths that refuses its callers although a relay would answer on a new connection. */
  it('are asked over a new connection', async () => {
    const peers = new relayPeers.RelayPeers({
      client: {
        call: async <T>(
          _address: string,
          _method: string,
          _request: unknown,
          { fresh }: peerClient.CallOptions = {},
        ) => (fresh === true ? Ok(READY as T) : Err(TIMEOUT)),
      },
      dataCentre: 'dc0',
      now: () => 0,
    });
    peers.replace([RELAY]);
    await peers.refresh();
    expect(peers.isAvailable).to.equal(false);
    await peers.refresh();
    expect(peers.isAvailable).to.equal(true);
  });
});
