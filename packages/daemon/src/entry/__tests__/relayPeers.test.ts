/** How an entry keeps the status of the entries that relay its messages. */
import * as chai from 'chai';
import { Err, Ok } from 'ts-results';
import type * as peerClient from '../../rpc/peerClient';
import * as clock from '../../clock';
import type * as relayProtocol from '../relayProtocol';
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

describe('relays that are asked about a target', () => {
  /** Relays that answer after some time, milliseconds. */
  const reach = async (
    answers: readonly (relayProtocol.ReachAnswer & { afterMs: number })[],
  ): Promise<{ result: string | undefined; tookMs: number }> => {
    const peers = new relayPeers.RelayPeers({
      client: {
        call: async <T>(address: string) => {
          const { afterMs, ...answer } = answers[Number(address)];
          await clock.sleep(afterMs);
          return Ok(answer as T);
        },
      },
      dataCentre: 'dc0',
      now: () => 0,
    });
    peers.replace(answers.map((_, i) => ({ address: String(i), dataCentre: 'dc0' })));
    const startedAt = clock.steady();
    const result = await peers.reach({ target: 't', address: '10.0.0.9:1' }, []);
    return { result, tookMs: clock.steady() - startedAt };
  };

  /** Guards against a target that is taken for dead because a VM that has lost its own paths answers first. */
  it('are believed that it is alive, even after another one was refused', async () => {
    const { result } = await reach([
      { isAlive: false, afterMs: 1 },
      { isAlive: true, afterMs: 30 },
    ]);
    expect(result).to.equal('alive');
  });

  /** Guards against requests that wait for a frozen VM before they continue at another target. */
  it('are not waited for long once one was refused', async () => {
    const { result, tookMs } = await reach([
      { isAlive: false, afterMs: 1 },
      { isAlive: false, afterMs: 1_000 },
    ]);
    expect([result, tookMs < 300]).to.deep.equal(['refused', true]);
  });

  it('say that it is silent if none was refused', async () => {
    const silent = { isAlive: false, isSilent: true, afterMs: 1 };
    expect((await reach([silent, silent])).result).to.equal('silent');
  });
});
