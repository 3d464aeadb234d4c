/**
 * Tests of orders: fencing, targets that ignore it, the rate of the weight store, and models of the
 * older system.
 */
import * as chai from 'chai';
import * as fastCheck from 'fast-check';
import * as random from '../../shared/random';
import type * as document from '../../settings/document';
import * as target from '../../target/target';
import * as order from '../order';

const { expect } = chai;

function model(version: string): document.Model {
  return { name: 'm', base: 'b', adapter: 'a', version, organisations: ['*'] };
}

function loaded(version: string): target.Loaded {
  return { base: 'b', adapter: 'a', version };
}

function engine(name: string, models: target.Loaded[]): target.Target {
  return {
    name,
    incarnation: 1,
    sequence: 1,
    kind: 'engine',
    address: name,
    dataCentre: 'dc',
    status: 'serving',
    fencing: 'checked',
    service: '',
    models,
    memoryTokens: 1,
    load: { queuedTokens: 0, streams: 0, freeTokens: 1 },
  };
}

describe('differences', () => {
  it('loads the new version before it unloads the old, and only what this system loaded', () => {
    const base = { base: 'b', adapter: '', version: '0' };
    const ours = new Set([order.keyOf('e1', loaded('1')), order.keyOf('e2', loaded('1'))]);
    const targets = [
      engine('e1', [base, loaded('1')]),
      engine('e2', [base, loaded('1'), loaded('2')]),
      engine('older', [base, loaded('1'), loaded('2')]),
      engine('elsewhere', [{ ...base, base: 'other' }]),
    ];
    expect(order.differences([model('2')], targets, ours)).toMatchSnapshot();
  });
});

describe('issuer', () => {
  /*
   * Guards against the return of a model that was taken out of service: a former leader's order
   * arrives late, after the new leader's, at a target that ignores fencing numbers. Delays are
   * random up to `ORDER_DELAY_MS`, and the former leader sends until its lease ends.
   */
  it("leaves targets in the newest leader's state, fencing or not", () => {
    const delay = order.ORDER_DELAY_MS;
    const lease = 900;
    fastCheck.assert(
      fastCheck.property(fastCheck.integer(), fastCheck.boolean(), (seed, checksFencing) => {
        const source = random.seeded(seed);
        const fencing: target.Fencing = checksFencing ? 'checked' : 'ignored';
        const former = new order.Issuer(1, 0, 0, { loadsPerSecond: 100, repeatMs: 50 });
        const next = new order.Issuer(2, 1_000, lease + delay, {
          loadsPerSecond: 100,
          repeatMs: 50,
        });
        const inTransit: { order: order.Order; arrives: number }[] = [];
        const differencesFor = (version: string): order.Difference[] => [
          { kind: 'load', target: 'e', model: loaded(version), urgency: 0 },
        ];
        const send = (orders: order.Order[], now: number): void => {
          orders.forEach((each) => {
            inTransit.push({ order: each, arrives: now + source.uniform() * delay });
          });
        };
        for (let now = 0; now < 6_000; now += 50) {
          // Deposed at 1,000, the former leader continues until its lease ends.
          if (now < 1_000 + lease)
            send(
              former.issue(differencesFor('old'), () => fencing, now),
              now,
            );
          if (now >= 1_000)
            send(
              next.issue(differencesFor('new'), () => fencing, now),
              now,
            );
        }
        let latest: order.Fence = { term: 0, sequence: 0 };
        let state = '';
        inTransit
          .sort((a, b) => a.arrives - b.arrives)
          .forEach(
            ({
              order: {
                fence,
                model: { version },
              },
            }) => {
              if (checksFencing && order.isStale(fence, latest)) return;
              latest = fence;
              state = version;
            },
          );
        expect(state).to.equal('new');
      }),
      { seed: 21, numRuns: 300 },
    );
  });

  it('keeps to the rate of the weight store and puts first what restores service', () => {
    const issuer = new order.Issuer(1, 0, 0, { loadsPerSecond: 2, repeatMs: 1e9 });
    const loads = Array.from({ length: 20 }, (_v, i): order.Difference => {
      return { kind: 'load', target: `e${i}`, model: loaded('1'), urgency: i === 0 ? 0 : 1 };
    });
    const counts = [0, 1_000, 2_000, 2_100].map((now) => {
      return issuer.issue(loads, () => 'checked', now).map((each) => each.target);
    });
    expect(counts).toMatchSnapshot();
  });
});
