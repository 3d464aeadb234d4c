/** When calls to a plain service go to its cold targets. */
import * as chai from 'chai';
import * as domain from '@celerydrift/domain';
import type * as fleetState from '../../fleet/fleetState';
import * as observer from '../../observability/observer';
import type * as rateLimitClient from '../rateLimitClient';
import * as targetSelector from '../targetSelector';

const { expect } = chai;

const WARM: domain.registry.registry.Announcement = {
  id: 'warm',
  service: 's',
  address: '10.0.0.1:80',
  dataCentre: 'a',
  slots: 8,
  state: 'ready',
  bornAt: 1,
  sequence: 1,
};
const COLD = { ...WARM, id: 'cold', address: '10.0.0.2:80' };

describe('calls to a service with a cold target', () => {
  let grant: rateLimitClient.Grant;
  let asked: number;
  let now: number;
  let granted: string[];
  let selector: targetSelector.TargetSelector;

  beforeEach(() => {
    grant = { kind: 'granted', place: COLD };
    asked = 0;
    now = 0;
    granted = [];
    const registry = new domain.registry.registry.Registry();
    const limits = new domain.rateLimits.rateLimits.RateLimits();
    [WARM, COLD].forEach((record) => registry.announce(record, 0));
    limits.set({ ...COLD, perSecond: 17, source: 'cold' }, 0);
    selector = new targetSelector.TargetSelector({
      name: 'e',
      dataCentre: 'a',
      fleetState: { registry, limits } as unknown as fleetState.FleetState,
      link: {} as targetSelector.Options['link'],
      client: {} as targetSelector.Options['client'],
      limits: {
        grant: async () => {
          asked += 1;
          return grant;
        },
        grantProbe: async (places) => places[0],
        spent: () => undefined,
      },
      coldGrants: { begin: () => 0, add: (target) => granted.push(target) },
      signals: { unavailable: () => [], waitMs: () => 0 },
      observer: new observer.Observer('test', 'fatal', undefined),
      random: domain.shared.random.seeded(1),
      now: () => now,
    });
  });

  async function call(): Promise<string> {
    const request = { tokens: 0, answerTokens: 0, objectiveMs: 0, pauseMs: 0, waitedMs: 0 };
    const choice = await selector.choose({
      ...request,
      id: 'r',
      service: 's',
      excluded: [],
      patienceMs: 0,
    });
    return choice.kind === 'placed' ? choice.placement.target : choice.kind;
  }

  /** Guards against cold targets that get calls while warm ones are idle, or none while these are busy. */
  it('go there once every warm target is busier, with a grant', async () => {
    const targets = [await call(), await call(), await call()];
    expect([targets, granted]).to.deep.equal([['warm', 'cold', 'warm'], ['cold']]);
  });

  /** Guards against a leader that is asked for each call although cold targets take few. */
  it('stay at warm targets, without a question each, while the leader grants none', async () => {
    grant = { kind: 'wait', waitMs: 60 };
    const targets = [await call(), await call(), await call()];
    expect([targets, asked]).to.deep.equal([['warm', 'warm', 'warm'], 1]);
    now = 60;
    await call();
    expect(asked).to.equal(2);
  });
});
