/** What a restarted entry puts into force before a leader has answered its first poll. */
import * as chai from 'chai';
import * as domain from '@celerydrift/domain';
import * as ports from '../../__tests__/__fixtures__/ports';
import * as smallFleet from '../../__tests__/__fixtures__/smallFleet';
import * as roleSettings from '../../configuration/roleSettings';
import type * as messages from '../../fleet/messages';
import * as packedCatalogue from '../../fleet/packedCatalogue';
import * as observer from '../../observability/observer';
import * as peerClient from '../../rpc/peerClient';
import * as entry from '../entry';
import * as harness from './__fixtures__/harness';

const { expect } = chai;

const LIMITS = { maxHeaderBytes: 1, maxBodyBytes: 1, headerTimeoutMs: 1, idleTimeoutMs: 1 };
const CATALOGUE = { version: 1, routes: [], services: [], limits: LIMITS };

describe('a restarted entry', () => {
  /** Guards against an entry that serves by a pushed catalogue and doesn't know the evacuations. */
  it('puts no pushed catalogue into force without the evacuations', async () => {
    const observe = new observer.Observer('test', 'fatal', undefined);
    const address = async (): Promise<string> => `127.0.0.1:${await ports.freePort()}`;
    const peers = await address();
    const settings = roleSettings.read(`[daemon]
role = entry
name = e
data-centre = dc0
[listen]
callers = ${await address()}
readiness = ${await address()}
peers = ${peers}
[keepers]
seeds = ${await address()}
secret = ${smallFleet.SECRET}
`);
    const tested = new entry.Entry({
      settings: settings.unwrap(),
      control: smallFleet.CONTROL,
      traffic: harness.PROTOCOL,
      observer: observe,
      random: domain.shared.random.seeded(1),
    });
    await tested.start();
    const leader = new peerClient.PeerClient(smallFleet.SECRET, undefined, observe);
    const push = async (more: Partial<messages.FleetUpdate>): Promise<(number | undefined)[]> => {
      const edition = packedCatalogue.pack(1, Buffer.from(JSON.stringify(CATALOGUE)));
      await leader.call(peers, 'learn', { ...smallFleet.NO_CHANGES, edition, ...more });
      const { catalogueVersion, evacuations }: Partial<Record<string, number>> = tested.gauges();
      return [catalogueVersion, evacuations];
    };
    const order = { dataCentre: 'dc1', startedAt: 0, requestedBy: '' };
    const alone = await push({});
    const together = await push({ evacuations: { revision: 3, evacuations: [order] } });
    leader.close();
    await tested.stop();
    expect([...alone, ...together]).to.deep.equal([undefined, 0, 1, 1]);
  });
});
