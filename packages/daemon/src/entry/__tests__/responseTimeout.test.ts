/** When a response is overdue, and when its target is given up. */
import * as chai from 'chai';
import type * as domain from '@celerydrift/domain';
import * as responseTimeout from '../responseTimeout';

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

describe('response timeout', () => {
  it('derives its thresholds from what callers of a route tolerate', () => {
    const thresholds = [
      responseTimeout.thresholdsOf(route('streaming', 300, 250), 100),
      responseTimeout.thresholdsOf(route('streaming', 1_500, 600), 400),
      responseTimeout.thresholdsOf(route('streaming', 3_000, 1_000), 700),
      responseTimeout.thresholdsOf(route('safe', 193, 1_000), 0),
    ];
    expect(thresholds).toMatchSnapshot();
  });

  /*
   * Guards against retries caused by prefill. In a burst of long prompts engines prefilled for a second between the
   * events of short streams. Given up after 0.6 s, a thousand prompts were sent again, which added still more prefill.
   */
  it('tolerates the inter-token gap that the prefill of a long prompt causes', () => {
    const thresholds = responseTimeout.thresholdsOf(route('streaming', 300, 250), 100);
    const flowing = { sentAt: 0, lastEventAt: 500 };
    const statuses = [1_050, 1_150, 1_950, 2_050].map((now) =>
      responseTimeout.classify(thresholds, flowing, now),
    );
    expect(statuses).to.deep.equal(['fine', 'overdue', 'overdue', 'timedOut']);
  });

  /*
   * Guards against a second prefill of a prompt whose engine is about to respond. A prompt of 178k tokens was given up
   * 0.3 s before its first token. Its engine was alive, and late only because prefill parts of later prompts ran first.
   */
  it('expires only when callers are about to leave', () => {
    const thresholds = responseTimeout.thresholdsOf(route('streaming', 3_000, 1_000), 800);
    const prefilling = { sentAt: 0, lastEventAt: 0 };
    const statuses = [1_400, 3_500, 5_900, 6_100].map((now) =>
      responseTimeout.classify(thresholds, prefilling, now),
    );
    expect(statuses).to.deep.equal(['fine', 'overdue', 'overdue', 'timedOut']);
  });

  it('leaves a second target time to respond to a long prompt within its objective', () => {
    const predictedMs = 500;
    const thresholds = responseTimeout.thresholdsOf(route('streaming', 3_000, 1_000), predictedMs);
    const probeMs = 300;
    expect(thresholds.overdueFirstMs + probeMs + predictedMs).to.be.lessThan(3_000);
  });
});
