/** What a restarted entry puts into force before a leader has answered its first poll. */
import * as chai from 'chai';
import * as domain from '@celerydrift/domain';
import { Ok } from 'ts-results';
import * as ports from '../../__tests__/__fixtures__/ports';
import * as roleSettings from '../../configuration/roleSettings';
import * as messages from '../../fleet/messages';
import * as packedCatalogue from '../../fleet/packedCatalogue';
import * as observer from '../../observability/observer';
import * as peerClient from '../../rpc/peerClient';
import * as entry from '../entry';
import * as harness from './__fixtures__/harness';

const { expect } = chai;

const SECRET = 'a-secret-of-the-test';

const CATALOGUE: domain.catalogue.catalogue.Catalogue = {
  version: 1,
  routes: [],
  services: [],
  organisations: undefined,
  limits: { maxHeaderBytes: 1, maxBodyBytes: 1, headerTimeoutMs: 1, idleTimeoutMs: 1 },
};

const PUSH: messages.FleetUpdate = {
  edition: packedCatalogue.pack(1, Buffer.from(JSON.stringify(CATALOGUE))),
  mark: messages.NO_VERSION,
  since: messages.NO_VERSION,
  records: [],
  suspects: [],
  limits: [],
};

describe('a restarted entry', () => {
  /** Guards against an entry that serves by a pushed catalogue and doesn't know the evacuations. */
  it('puts no pushed catalogue into force without the evacuations', async () => {
    const observe = new observer.Observer('test', 'fatal', undefined);
    const [callers, readiness, peers, keeper] = [
      await ports.freePort(),
      await ports.freePort(),
      await ports.freePort(),
      await ports.freePort(),
    ];
    const settings = roleSettings.read(`[daemon]
role = entry
name = e
data-centre = dc0
[listen]
callers = 127.0.0.1:${callers}
readiness = 127.0.0.1:${readiness}
peers = 127.0.0.1:${peers}
[keepers]
seeds = 127.0.0.1:${keeper}
secret = ${SECRET}
`);
    const tested = new entry.Entry({
      settings: settings.unwrap(),
      control: {
        parseCall: () => ({ kind: 'read' }),
        parseAnnouncement: () => {
          throw new Error('not used');
        },
        parseDepartedLifetime: () => undefined,
        parseCatalogue: (document) =>
          Ok(JSON.parse(document.toString()) as domain.catalogue.catalogue.Catalogue),
      },
      traffic: harness.PROTOCOL,
      observer: observe,
      random: domain.shared.random.seeded(1),
    });
    await tested.start();
    const leader = new peerClient.PeerClient(SECRET, undefined, observe);
    const push = async (update: messages.FleetUpdate): Promise<number[]> => {
      await leader.call(`127.0.0.1:${peers}`, 'learn', update);
      const { catalogueVersion, evacuations } = tested.gauges();
      return [catalogueVersion, evacuations];
    };
    const order = { dataCentre: 'dc1', startedAt: 0, requestedBy: '' };
    const alone = await push(PUSH);
    const together = await push({ ...PUSH, evacuations: { revision: 3, evacuations: [order] } });
    leader.close();
    await tested.stop();
    expect([alone, together]).to.deep.equal([
      [0, 0],
      [1, 1],
    ]);
  });
});
