/** What a leader makes of ends that entries tell it of. */
import * as chai from 'chai';
import * as domain from '@celerydrift/domain';
import * as observer from '../../observability/observer';
import * as suspectTracker from '../suspectTracker';

const { expect } = chai;

const CONTENT = '4-content';

describe('a leader that is told of ends', () => {
  /*
   * A lookup that many callers send was refused at every entry for seconds. One entry had been cut off from all targets, took each
   * for ended, and told so when it was back; meanwhile all of them had gone on announcing themselves.
   */
  it('believes nobody about a target that has spoken since', () => {
    const quarantine = new domain.quarantine.quarantine.Quarantine();
    const published: domain.quarantine.suspect.Report[] = [];
    const tracker = new suspectTracker.SuspectTracker({
      quarantine,
      registry: { spokeAt: ({ id }) => (id === 'silent' ? 0 : 9_500), ready: () => [] },
      isAllocated: () => false,
      observer: new observer.Observer('test', 'fatal', undefined),
      now: () => 10_000,
      publish: (reports) => published.push(...reports),
    });
    const report = (id: string, agoMs: number): void => {
      tracker.blame({
        ended: [
          { content: CONTENT, lifetime: { id, bornAt: 1 }, isTrial: true, agoMs, sentAgoMs: agoMs },
        ],
      });
    };
    ['a', 'b', 'c'].forEach((id) => report(id, 5_000));
    expect([quarantine.size, published.length]).to.deep.equal([0, 0]);
    report('a', 10);
    report('silent', 5_000);
    expect(published.map(({ endings }) => endings.length)).to.deep.equal([1, 2]);
  });

  /** Guards against a new leader that takes followers' copies of the registry for the targets' own words: a culprit's ends didn't count. */
  it('believes an end although a copy of the registry came since that has the target', () => {
    const quarantine = new domain.quarantine.quarantine.Quarantine();
    const registry = new domain.registry.registry.Registry();
    const target = { id: 'a', bornAt: 1, state: 'ready', sequence: 7 } as const;
    const place = { service: 'plain', address: '10.0.0.2:1', dataCentre: 'east', slots: 4 };
    registry.announce({ ...target, ...place }, 1_000);
    registry.merge([{ ...target, ...place, sequence: 8 }], 9_900);
    const tracker = new suspectTracker.SuspectTracker({
      quarantine,
      registry,
      isAllocated: () => false,
      observer: new observer.Observer('test', 'fatal', undefined),
      now: () => 10_000,
      publish: () => undefined,
    });
    const run = { isTrial: true, agoMs: 5_000, sentAgoMs: 5_100 };
    tracker.blame({ ended: [{ content: CONTENT, lifetime: target, ...run }] });
    expect(quarantine.standing(CONTENT)).to.equal('suspected');
  });
});
