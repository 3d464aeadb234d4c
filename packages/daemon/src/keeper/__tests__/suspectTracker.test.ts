/** How a leader handles crash reports from entries. */
import * as chai from 'chai';
import * as domain from '@celerydrift/domain';
import * as observer from '../../observability/observer';
import * as suspectTracker from '../suspectTracker';

const { expect } = chai;

const CONTENT = '4-content';

describe('suspect tracker', () => {
  /*
   * Guards against a request that is refused at every entry for seconds although no target crashed: an entry was cut
   * off from all targets, took each for crashed and reported so once it was back, while all targets had gone on
   * announcing themselves.
   */
  it('ignores crash reports of targets that announced themselves since', () => {
    const quarantine = new domain.quarantine.quarantine.Quarantine();
    const published: domain.quarantine.suspect.SuspectReport[] = [];
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

  /**
   * Guards against a new leader that mistakes followers' registry records for announcements of the targets
   * themselves, so that crashes of the request that causes them don't count.
   */
  it('accepts a crash report although registry records with the target were merged since', () => {
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

  /** Guards against a part that an earlier, still running request clears, and against entries of an earlier version. */
  it('clears a part by a request that was sent after its last crash, and grants it one canary run at a time', () => {
    const quarantine = new domain.quarantine.quarantine.Quarantine();
    const [part] = domain.quarantine.partFingerprint.ofParts(['a1']);
    const tracker = new suspectTracker.SuspectTracker({
      quarantine,
      registry: new domain.registry.registry.Registry(),
      isAllocated: () => true,
      observer: new observer.Observer('test', 'fatal', undefined),
      now: () => 10_000,
      publish: () => undefined,
    });
    quarantine.reportCrash(part, 'a/1', { sentAt: 0, isTrial: false }, 9_000);
    const permit = (id: string, fingerprints?: string[]): string => {
      const common = { id, entry: 'e0', service: 'engines', excluded: [] };
      return tracker.permit({ ...common, content: part, ...(fingerprints && { fingerprints }) })
        .kind;
    };
    expect([permit('r1', [part, '4-r1']), permit('r2', [part]), permit('r3')]).to.deep.equal([
      ...['granted', 'busy', 'busy'],
    ]);
    tracker.trialEnded({ content: part, id: 'r1', ranWhole: true, sentAgoMs: 1_500 });
    expect(quarantine.standing(part)).to.equal('suspected');
    tracker.trialEnded({ content: part, id: 'r1', ranWhole: true, sentAgoMs: 500 });
    expect(quarantine.standing(part)).to.equal('free');
  });
});
