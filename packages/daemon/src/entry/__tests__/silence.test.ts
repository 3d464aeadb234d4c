/** When a target is given up for its silence. */
import * as chai from 'chai';
import type * as domain from '@celerydrift/domain';
import * as responseTimeout from '../silence';

const { expect } = chai;

function route(
  kind: domain.catalogue.catalogue.RouteKind,
  objectiveMs: number,
  pauseMs: number,
): domain.catalogue.catalogue.Route {
  return {
    name: kind,
    host: 'a.example',
    pathPrefix: '/',
    kind,
    timeoutMs: 10_000,
    objectiveMs,
    priority: 1,
    shares: [],
    maxAttempts: 2,
    isPublic: false,
    isResumable: true,
    pauseMs,
  };
}

describe('silence of a target', () => {
  it('is bounded by what its callers bear', () => {
    const thresholds = [
      responseTimeout.thresholdsOf(route('streaming', 300, 250), 100),
      responseTimeout.thresholdsOf(route('streaming', 1_500, 600), 400),
      responseTimeout.thresholdsOf(route('streaming', 3_000, 1_000), 700),
      responseTimeout.thresholdsOf(route('safe', 193, 1_000), 0),
    ];
    expect(thresholds).toMatchSnapshot();
  });

  /*
   * In a burst of long prompts each engine read for a second between the events of its short streams. Entries
   * took them for silent after 0.6 s and sent a thousand prompts a second time, and more engines were
   * busy reading.
   */
  it("isn't a pause that the reading of a long prompt makes", () => {
    const thresholds = responseTimeout.thresholdsOf(route('streaming', 300, 250), 100);
    const flowing = { sentAt: 0, lastEventAt: 500 };
    const statuses = [1_050, 1_150, 1_950, 2_050].map((now) =>
      responseTimeout.classify(thresholds, flowing, now),
    );
    expect(statuses).to.deep.equal(['fine', 'overdue', 'overdue', 'hopeless']);
  });

  /*
   * A prompt of 178k tokens was given up 0.3 s before its first token, and read once more elsewhere. Its engine lived,
   * and was late only because parts of later prompts went first.
   */
  it('is hopeless only when its callers are about to leave', () => {
    const thresholds = responseTimeout.thresholdsOf(route('streaming', 3_000, 1_000), 800);
    const prefilling = { sentAt: 0, lastEventAt: 0 };
    const statuses = [1_400, 3_500, 5_900, 6_100].map((now) =>
      responseTimeout.classify(thresholds, prefilling, now),
    );
    expect(statuses).to.deep.equal(['fine', 'overdue', 'overdue', 'hopeless']);
  });

  it('leaves a second target time to answer a long prompt within its objective', () => {
    const predictedMs = 500;
    const thresholds = responseTimeout.thresholdsOf(route('streaming', 3_000, 1_000), predictedMs);
    const probeMs = 300;
    expect(thresholds.overdueFirstMs + probeMs + predictedMs).to.be.lessThan(3_000);
  });
});
