/** Counts of the cases in which the guarantee of a refusal was at stake. */
import * as chai from 'chai';
import * as observations from '../observations';
import * as refusalCounts from '../refusalCounts';

const { expect } = chai;

function unsafeCall(request: string, status: number): observations.RequestRecord {
  const ending = { kind: 'answered', status, isSigned: false, body: '' } as const;
  const origin = { entry: 0, incarnation: 1, key: 'k', sentAt: 0, endedAt: 1 };
  return { request, kind: 'unsafe', path: '/unsafe/call', ...origin, ending };
}

describe('soak: refusal counts', () => {
  it('tells refusals after a copy, after an arrival and without either apart', () => {
    const observed = observations.empty();
    observed.asked.push(unsafeCall('r1', 503), unsafeCall('r2', 429), unsafeCall('r3', 503));
    observed.asked.push(unsafeCall('r4', 502));
    observed.ran.push({ request: 'r1', target: 't', at: 0 });
    observed.refused.push({ request: 'r2', target: 't', at: 0 });
    observed.copied.push({ form: 'twice', request: 'r1', at: 0 });
    observed.copied.push({ form: 'delayed', request: 'r4', at: 0 });
    observed.copied.push({ form: 'delayed', request: undefined, at: 0 });
    const counts = refusalCounts.count(observed);
    expect(counts).to.include({ metCopy: 2, refusedAfterCopy: 1, refusedAfterArrival: 2 });
    expect(counts).to.include({ twice: 1, delayed: 2, pieces: 0 });
    expect(refusalCounts.sum([counts, counts])).to.include({ metCopy: 4, delayed: 4 });
  });
});
