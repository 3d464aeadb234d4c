/** What a leader does about targets that name a limit. */
import * as chai from 'chai';
import * as domain from '@celerydrift/domain';
import * as observer from '../../observability/observer';
import * as limiting from '../limiting';

const { expect } = chai;

type RateLimit = domain.rateLimits.rateLimits.RateLimit;

const PLACES = [1, 2].map((i) => ({ service: 's', address: `10.0.0.${i}:80` }));

const LIMITED: RateLimit = { ...PLACES[0], perSecond: 1 };
const ENDED: RateLimit = { ...PLACES[0], perSecond: undefined };

describe('a leader that knows limits', () => {
  let now: number;
  let limits: domain.rateLimits.rateLimits.RateLimits;
  let published: RateLimit[];
  let made: limiting.Limiting;

  beforeEach(() => {
    now = 0;
    limits = new domain.rateLimits.rateLimits.RateLimits();
    published = [];
    made = new limiting.Limiting({
      limits,
      registry: { isServed: () => true },
      observer: new observer.Observer('test', 'fatal', undefined),
      now: () => now,
      publish: (changes) => published.push(...changes),
    });
    made.turn(true);
  });

  it('tells its followers what changed, once', () => {
    made.told({ limits: [LIMITED], spent: [] });
    made.told({ limits: [LIMITED], spent: [] });
    expect(published).to.deep.equal([LIMITED]);
  });

  it('gives out one request after the other, to the target with most room', () => {
    made.told({ limits: [LIMITED, { ...PLACES[1], perSecond: 2 }], spent: [] });
    now = 500;
    const question = { places: PLACES, purpose: 'request' } as const;
    expect(made.grant(question)).to.deep.equal({ kind: 'granted', place: PLACES[1] });
    expect(made.grant(question)).to.deep.equal({ kind: 'wait', waitMs: 500 });
  });

  it('counts what entries sent without asking', () => {
    made.told({ limits: [LIMITED], spent: [{ ...PLACES[0], count: 2 }] });
    now = 2_000;
    const question = { places: [PLACES[0]], purpose: 'request' } as const;
    expect(made.grant(question)).to.deep.equal({ kind: 'wait', waitMs: 1_000 });
  });

  /** Guards against limits that come back after their end with a follower that was cut off, and refuse callers for nothing. */
  it('takes limits from followers of another leader, but none that it has seen end', () => {
    made.merge([LIMITED]);
    made.told({ limits: [ENDED], spent: [] });
    made.merge([LIMITED]);
    expect([limits.all(), published]).to.deep.equal([[], [LIMITED, ENDED]]);
    made.told({ limits: [LIMITED], spent: [] });
    expect(limits.all()).to.deep.equal([LIMITED]);
  });

  it('gives out nothing once it leads no more', () => {
    made.told({ limits: [LIMITED], spent: [] });
    made.turn(false);
    now = 60_000;
    const question = { places: [PLACES[0]], purpose: 'check' } as const;
    expect(made.grant(question).kind).to.equal('wait');
  });
});
