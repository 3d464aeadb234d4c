/** How long a target is left out of use that fell silent and goes on. */
import * as chai from 'chai';
import * as domain from '@celerydrift/domain';
import * as clock from '../../clock';
import * as failureVerification from '../failureVerification';
import type * as livenessVerdict from '../livenessVerdict';

const { expect } = chai;

/** Time by which a target that responds to the second check is used again, milliseconds. */
const USED_AGAIN_MS = 1_200;

/** Requests that a target fails at the same time. */
const FAILED_REQUESTS = 5;

/** Whether a target that was given up is usable, as its leader sees it, with these results of its checks. */
async function isUsableAfter(verdicts: livenessVerdict.Verdict[]): Promise<boolean> {
  const health = new domain.allocation.targetHealth.TargetHealth();
  health.recordOutcome('broken', clock.steady() - 600);
  const next = async (): Promise<livenessVerdict.Verdict> => verdicts.shift() ?? 'silent';
  const verification = new failureVerification.FailureVerification({
    liveness: { check: next, askElsewhere: next },
    selector: {
      reportVerdict: (_target, isAlive) => {
        if (isAlive) health.retractFailure(clock.steady());
        else health.recordOutcome('unreachable', clock.steady());
      },
    },
  });
  void verification.verify({ target: 'a', address: '10.0.0.2:1', wasSent: true });
  await clock.sleep(USED_AGAIN_MS);
  return health.isUsable(clock.steady(), false);
}

describe('a target that was given up', () => {
  /** Guards against sound targets that are out of use for seconds after a silence of one or two. */
  it('is used again soon after it responds, and not before', async () => {
    const usable = await Promise.all([
      isUsableAfter(['silent', 'alive']),
      isUsableAfter(['silent', 'pathLost']),
      isUsableAfter(['silent', 'silent']),
      isUsableAfter(['dead', 'alive']),
    ]);
    expect(usable).to.deep.equal([true, true, false, false]);
  });

  /** Guards against requests that were given up together and whose checks use up the rate limit of their target. */
  it('is checked once a second, however many requests it failed', async () => {
    let checks = 0;
    const verdicts: boolean[] = [];
    const verification = new failureVerification.FailureVerification({
      liveness: {
        check: async () => {
          checks += 1;
          return checks > FAILED_REQUESTS ? 'alive' : 'silent';
        },
        askElsewhere: async () => 'unknown',
      },
      selector: { reportVerdict: (_target, isAlive) => verdicts.push(isAlive) },
    });
    for (let i = 0; i < FAILED_REQUESTS; i++) {
      void verification.verify({ target: 'a', address: '10.0.0.2:1', wasSent: true });
    }
    await clock.sleep(USED_AGAIN_MS);
    expect([checks - FAILED_REQUESTS, verdicts.filter((each) => each).length]).to.deep.equal([
      1, 1,
    ]);
  });
});
