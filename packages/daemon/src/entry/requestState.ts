/** What is known of a request between two attempts, and what the quarantine is told of it. */
import type * as admittedRequest from './admittedRequest';
import type * as attempts from './attempts';
import type * as callerResponse from './callerResponse';
import type * as deliveries from './deliveries';
import type * as placementTerms from './placementTerms';
import type * as quarantineClient from './quarantineClient';
import type * as requestContent from './requestContent';
import type * as responseEnd from './responseEnd';
import * as retryPolicy from './retryPolicy';
import type * as unavailableTargets from './unavailableTargets';

export interface Dependencies {
  admitted: admittedRequest.AdmittedRequest;
  content: requestContent.RequestContent;
  terms: placementTerms.PlacementTerms;
  attempts: attempts.Attempts;
  deliveries: Pick<deliveries.Deliveries, 'mayHaveRun'>;
  reply: Pick<callerResponse.CallerResponse, 'isBegun' | 'isUnrecoverable'>;
  end: Pick<responseEnd.ResponseEnd, 'isOver'>;
  hasSuccessor: () => boolean;
  unavailableTargets: Pick<unavailableTargets.UnavailableTargets, 'of'>;
  quarantine: Pick<quarantineClient.QuarantineClient, 'standingOf'>;
  /** Whether the settings in force were confirmed recently enough to admit keys. */
  isFresh: () => boolean;
  now: () => number;
}

export class RequestState implements retryPolicy.State {
  /** Service that the request goes to; empty until it is selected. */
  service = '';

  constructor(private readonly dependencies: Dependencies) {}

  get isOver(): boolean {
    return this.dependencies.end.isOver;
  }

  get isBegun(): boolean {
    return this.dependencies.reply.isBegun;
  }

  get isUnrecoverable(): boolean {
    return this.dependencies.reply.isUnrecoverable;
  }

  get isRepeatable(): boolean {
    return retryPolicy.isRepeatable(this.dependencies.admitted.route);
  }

  get mayHaveRun(): boolean {
    return this.dependencies.deliveries.mayHaveRun;
  }

  get hasAttemptsLeft(): boolean {
    return this.dependencies.attempts.hasAttemptLeft(undefined);
  }

  get hasSuccessor(): boolean {
    return this.dependencies.hasSuccessor();
  }

  get standing(): quarantineClient.Standing {
    return this.dependencies.quarantine.standingOf(this.info);
  }

  get elapsedMs(): number {
    return this.dependencies.now() - this.dependencies.admitted.arrivedAt;
  }

  get timeLeftMs(): number {
    return this.dependencies.terms.timeLeftMs;
  }

  get patienceMs(): number {
    return this.dependencies.terms.patienceMs;
  }

  get isAdmissible(): boolean {
    return this.dependencies.admitted.organisation === undefined || this.dependencies.isFresh();
  }

  /** What the quarantine is told of the request. */
  get info(): quarantineClient.RequestInfo {
    const {
      admitted,
      content,
      attempts: made,
      unavailableTargets: unavailable,
    } = this.dependencies;
    const { service } = this;
    return {
      requestId: admitted.facts.requestId,
      bodyBytes: content.bodyBytes,
      fingerprint: () => content.fingerprint,
      sharedParts: () => content.sharedParts,
      service,
      excluded: [...made.targets, ...unavailable.of(service)],
    };
  }
}
