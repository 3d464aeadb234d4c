/** When an entry may send a request to a cold target. */
import * as chai from 'chai';
import * as domain from '@celerydrift/domain';
import * as coldGrants from '../coldGrants';

const { expect } = chai;

const ENDPOINT = { service: 's', address: '10.0.0.1:80' };
const RECORD = { ...ENDPOINT, id: 't' } as domain.registry.registry.Announcement;

describe('grants for cold targets', () => {
  let clocks: { steady: number; timeOfDay: number };
  let limits: domain.rateLimits.rateLimits.RateLimits;
  let grants: coldGrants.ColdGrants;

  const pass = (ms: number, suspendedMs = 0): void => {
    clocks = { steady: clocks.steady + ms, timeOfDay: clocks.timeOfDay + ms + suspendedMs };
  };

  beforeEach(() => {
    clocks = { steady: 0, timeOfDay: 0 };
    limits = new domain.rateLimits.rateLimits.RateLimits();
    limits.set({ ...ENDPOINT, perSecond: 17, source: 'cold' }, 0);
    const registry = { get: () => RECORD };
    grants = new coldGrants.ColdGrants({ limits, registry, readClocks: () => clocks });
  });

  it('admit one request each, for a short time', () => {
    grants.add('t', grants.begin());
    expect([grants.take('t'), grants.take('t')]).to.deep.equal([true, false]);
    grants.add('t', grants.begin());
    pass(160);
    expect(grants.take('t')).to.equal(false);
  });

  /** Guards against an entry that slept and adds its old grants to those that the leader gave out since. */
  it('are void after a suspension, during which the monotonic clock may have stopped', () => {
    grants.add('t', grants.begin());
    pass(1, 5_000);
    expect(grants.take('t')).to.equal(false);
    const ticket = grants.begin();
    pass(1, 5_000);
    grants.add('t', ticket);
    expect(grants.take('t')).to.equal(false);
  });

  /** Guards against placements from before the news that a target is cold that are used after it. */
  it('are needed as soon as the target is known to be cold', () => {
    limits.set({ ...ENDPOINT, perSecond: undefined, source: 'cold' }, 0);
    grants.add('t', grants.begin());
    expect(grants.take('t')).to.equal(true);
    limits.set({ ...ENDPOINT, perSecond: 17, source: 'cold' }, 0);
    expect(grants.take('t')).to.equal(false);
  });
});
