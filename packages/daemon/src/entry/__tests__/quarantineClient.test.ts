/** What an entry holds against a request, and who has the last word on it. */
import * as chai from 'chai';
import * as domain from '@celerydrift/domain';
import { Ok } from 'ts-results';
import * as clock from '../../clock';
import * as observer from '../../observability/observer';
import * as quarantineClient from '../quarantineClient';

const { expect } = chai;

const CONTENT = '4-content';

function request(requestId: string): quarantineClient.RequestInfo {
  return { requestId, bodyBytes: 4, fingerprint: () => CONTENT, service: 'plain', excluded: [] };
}

describe('an entry that was cut off from all targets', () => {
  /*
   * One entry in eight refused a lookup with 502 until it was restarted. It had been cut off and taken three targets for ended; the
   * leader knew better and changed nothing, so it told nobody, and what the entry had noted by itself stayed.
   */
  it('takes the word of its leader, who knows that they live', async () => {
    const quarantine = new domain.quarantine.quarantine.Quarantine();
    const nothing = new domain.quarantine.quarantine.Quarantine().report(CONTENT, 0);
    const made = new quarantineClient.QuarantineClient({
      name: 'e0',
      holding: { quarantine, registry: new domain.registry.registry.Registry() },
      link: { leader: '10.0.0.1:1' },
      client: {
        call: async <T>() => {
          await clock.pause(1);
          return Ok({ kind: 'taken', reports: [nothing] } as T);
        },
      },
      liveness: { isAlive: async () => false },
      observer: new observer.Observer('test', 'fatal', undefined),
      now: clock.steady,
    });
    for (const target of ['a', 'b', 'c']) {
      const sent = { target, address: '10.0.0.2:1', sentAt: clock.steady(), isTrial: true };
      await made.checkForCrash(request('r1'), sent);
    }
    await clock.pause(10);
    expect([quarantine.size, (await made.permit(request('r2'))).kind]).to.deep.equal([
      0,
      'granted',
    ]);
  });
});

describe('a trial that ends while nobody leads', () => {
  /** Guards against a trial that the leader never hears the end of: all copies of an innocent request were refused for a minute. */
  it('is told to the leader as soon as there is one', async () => {
    const quarantine = new domain.quarantine.quarantine.Quarantine();
    ['a', 'b'].forEach((lifetime) => {
      quarantine.blame(CONTENT, lifetime, { sentAt: 0, isTrial: true }, 1);
    });
    const link = { leader: '10.0.0.1:1' };
    const reports: unknown[] = [];
    const made = new quarantineClient.QuarantineClient({
      name: 'e0',
      holding: { quarantine, registry: new domain.registry.registry.Registry() },
      link,
      client: {
        call: async <T>(_address: string, method: string, content: object) => {
          if (method === 'trialEnded') reports.push(content);
          const granted = { kind: 'granted', endings: 2, target: undefined };
          return Ok((method === 'permit' ? granted : { kind: 'taken' }) as T);
        },
      },
      liveness: { isAlive: async () => true },
      observer: new observer.Observer('test', 'fatal', undefined),
      now: clock.steady,
    });
    const permit = await made.permit(request('r1'));
    if (permit.kind !== 'granted') throw new Error(permit.kind);
    link.leader = '';
    permit.end(true);
    await clock.pause(150);
    expect(reports).to.deep.equal([]);
    link.leader = '10.0.0.2:1';
    await clock.pause(150);
    made.close();
    expect(reports).to.deep.equal([{ content: CONTENT, id: 'r1', ranWhole: true }]);
  });
});

describe('a request that its entry suspects and the leader does not yet', () => {
  /** Guards against runs of a culprit that counted as one, as if they had been under way together: it was never convicted. */
  it('runs as a trial', async () => {
    const quarantine = new domain.quarantine.quarantine.Quarantine();
    quarantine.blame(CONTENT, 'a', { sentAt: 0, isTrial: false }, 1);
    const made = new quarantineClient.QuarantineClient({
      name: 'e0',
      holding: { quarantine, registry: new domain.registry.registry.Registry() },
      link: { leader: '10.0.0.1:1' },
      client: {
        call: async <T>() => Ok({ kind: 'granted', endings: 0, target: undefined } as T),
      },
      liveness: { isAlive: async () => true },
      observer: new observer.Observer('test', 'fatal', undefined),
      now: clock.steady,
    });
    const permit = await made.permit(request('r1'));
    made.close();
    expect(permit.kind === 'granted' && permit.endings).to.equal(1);
  });
});
