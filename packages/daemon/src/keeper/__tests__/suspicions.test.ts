/** What a leader makes of ends that entries tell it of. */
import * as chai from 'chai';
import * as domain from '@celerydrift/domain';
import * as observer from '../../observability/observer';
import * as suspicions from '../suspicions';

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
    const made = new suspicions.Suspicions({
      quarantine,
      registry: { heardAt: ({ id }) => (id === 'silent' ? 0 : 9_500), ready: () => [] },
      isAllocated: () => false,
      observer: new observer.Observer('test', 'fatal', undefined),
      now: () => 10_000,
      publish: (reports) => published.push(...reports),
    });
    const tell = (id: string, agoMs: number): void => {
      made.blame({
        ended: [
          { content: CONTENT, lifetime: { id, bornAt: 1 }, isTrial: true, agoMs, sentAgoMs: agoMs },
        ],
      });
    };
    ['a', 'b', 'c'].forEach((id) => tell(id, 5_000));
    expect([quarantine.size, published.length]).to.deep.equal([0, 0]);
    tell('a', 10);
    tell('silent', 5_000);
    expect(published.map(({ endings }) => endings.length)).to.deep.equal([1, 2]);
  });
});
