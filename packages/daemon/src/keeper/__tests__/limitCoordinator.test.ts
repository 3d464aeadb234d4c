/** How a leader coordinates targets that name a rate limit. */
import * as chai from 'chai';
import * as domain from '@celerydrift/domain';
import * as observer from '../../observability/observer';
import * as limitCoordinator from '../limitCoordinator';

const { expect } = chai;

type RateLimit = domain.rateLimits.rateLimits.RateLimit;

const ENDPOINTS = [1, 2].map((i) => ({ service: 's', address: `10.0.0.${i}:80` }));

const LIMITED: RateLimit = { ...ENDPOINTS[0], perSecond: 1 };
const ENDED: RateLimit = { ...ENDPOINTS[0], perSecond: undefined };

describe('limit coordinator', () => {
  let now: number;
  let limits: domain.rateLimits.rateLimits.RateLimits;
  let published: RateLimit[];
  let coordinator: limitCoordinator.LimitCoordinator;

  beforeEach(() => {
    now = 0;
    limits = new domain.rateLimits.rateLimits.RateLimits();
    published = [];
    coordinator = new limitCoordinator.LimitCoordinator({
      limits,
      registry: { isServed: () => true },
      observer: new observer.Observer('test', 'fatal', undefined),
      now: () => now,
      publish: (changes) => published.push(...changes),
    });
    coordinator.setLeading(true);
  });

  it('publishes a changed limit once', () => {
    coordinator.report({ limits: [LIMITED], spent: [] });
    coordinator.report({ limits: [LIMITED], spent: [] });
    expect(published).to.deep.equal([LIMITED]);
  });

  it('grants requests one by one, to the target with the most capacity left', () => {
    coordinator.report({ limits: [LIMITED, { ...ENDPOINTS[1], perSecond: 2 }], spent: [] });
    now = 500;
    const request = { places: ENDPOINTS, purpose: 'request' } as const;
    expect(coordinator.grant(request)).to.deep.equal({ kind: 'granted', place: ENDPOINTS[1] });
    expect(coordinator.grant(request)).to.deep.equal({ kind: 'wait', waitMs: 500 });
  });

  it('grants probes of lost paths to any entry now and then, and says when to ask again', () => {
    coordinator.report({ limits: [LIMITED], spent: [] });
    const probe = { places: [ENDPOINTS[0]], purpose: 'path' } as const;
    const granted = { kind: 'granted', place: ENDPOINTS[0] };
    expect(coordinator.grant(probe)).to.deep.equal(granted);
    now = 3_000;
    expect(coordinator.grant(probe)).to.deep.equal({ kind: 'wait', waitMs: 2_000 });
    now = 5_000;
    expect(coordinator.grant(probe)).to.deep.equal(granted);
  });

  it('counts messages that entries sent without a grant', () => {
    coordinator.report({ limits: [LIMITED], spent: [{ ...ENDPOINTS[0], count: 2 }] });
    now = 2_000;
    const request = { places: [ENDPOINTS[0]], purpose: 'request' } as const;
    expect(coordinator.grant(request)).to.deep.equal({ kind: 'wait', waitMs: 1_000 });
  });

  /**
   * Guards against limits that a follower brings back after they ended, because it was cut off meanwhile: callers
   * would be refused for no reason.
   */
  it('merges limits from followers of another leader, except those that ended here', () => {
    coordinator.merge([LIMITED]);
    coordinator.report({ limits: [ENDED], spent: [] });
    coordinator.merge([LIMITED]);
    expect([limits.all(), published]).to.deep.equal([[], [LIMITED, ENDED]]);
    coordinator.report({ limits: [LIMITED], spent: [] });
    expect(limits.all()).to.deep.equal([LIMITED]);
  });

  it('grants nothing after its leadership ended', () => {
    coordinator.report({ limits: [LIMITED], spent: [] });
    coordinator.setLeading(false);
    now = 60_000;
    const request = { places: [ENDPOINTS[0]], purpose: 'check' } as const;
    expect(coordinator.grant(request).kind).to.equal('wait');
  });
});
