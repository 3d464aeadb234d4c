/** Tests of outcomes, retries, shared limits and the validation of streams. */
import * as chai from 'chai';
import * as fastCheck from 'fast-check';
import * as random from '../../shared/random';
import * as circuit from '../circuit';
import * as limit from '../limit';
import * as outcome from '../outcome';
import * as retry from '../retry';
import * as stream from '../stream';
import * as tokens from '../tokens';

const { expect } = chai;

const PROGRESS: readonly outcome.Progress[] = ['notSent', 'refusedByTarget', 'sent', 'answering'];

function attempt(progress: outcome.Progress, fault: outcome.Fault = 'connectionLost') {
  return { target: 't', progress, fault };
}

describe('outcome', () => {
  /*
   * Guards against a call that runs twice because the caller, told that it was not run, sends it
   * again. "Not run" may be reported only if no attempt can have reached the service.
   */
  it('says "not run" only when every attempt proves it', () => {
    const outcomes = PROGRESS.map((progress) => [
      progress,
      outcome.outcomeOf([attempt(progress)], true),
      outcome.outcomeOf([attempt(progress)], false),
      outcome.outcomeOf([attempt('notSent'), attempt(progress)], false),
    ]);
    expect(outcomes).toMatchSnapshot();
  });
});

describe('retry', () => {
  it('never retries a request that may have run and is not repeatable, nor past the deadline', () => {
    const source = random.seeded(1);
    const failure = fastCheck.record({
      progress: fastCheck.constantFrom(...PROGRESS),
      repeatable: fastCheck.boolean(),
      left: fastCheck.integer({ min: -10, max: 3_000 }),
      after: fastCheck.integer({ min: 0, max: 2_000 }),
      count: fastCheck.integer({ min: 1, max: 6 }),
    });
    fastCheck.assert(
      fastCheck.property(failure, ({ progress, repeatable, left, after, count }) => {
        const attempts = Array.from({ length: count }, () => attempt(progress));
        const budget = new retry.Budget();
        const decision = retry.decide(attempts, repeatable, left, after, budget, source);
        if (decision.kind === 'giveUp') return;
        expect(repeatable || outcome.proof(attempt(progress)) === 'notRun').to.equal(true);
        expect(decision.delayMs).to.be.within(after, Math.max(after, left - 0.001));
      }),
      { seed: 2, numRuns: 2_000 },
    );
  });

  /*
   * Guards against a retry storm: four attempts per request multiplied the load after an outage by
   * four, and errors continued for minutes.
   */
  it('bounds retries in an outage to a fraction of first attempts', () => {
    const budget = new retry.Budget();
    let spent = 0;
    for (let i = 0; i < 1_000; i++) {
      budget.firstAttempt();
      if (budget.spend()) spent += 1;
    }
    const { maxBalance, retriesPerFirstAttempt } = retry.DEFAULT_OPTIONS;
    expect(spent).to.be.at.most(maxBalance + 1_000 * retriesPerFirstAttempt + 1);
  });
});

describe('a request whose targets are lost', () => {
  /*
   * Guards against a request that crashes every engine it runs on: six engines crashed within a
   * second, as it was given all the attempts that are meant for long outages.
   */
  it('is not sent to a fourth target', () => {
    const source = random.seeded(1);
    const kinds = [1, 2, 3].map((count) => {
      const attempts = Array.from({ length: count }, () => attempt('answering'));
      return retry.decide(attempts, true, 60_000, 0, new retry.Budget(), source).kind;
    });
    expect(kinds).to.deep.equal(['retry', 'retry', 'giveUp']);
  });
});

describe('circuit', () => {
  it('opens by the failure share, and closes after one successful trial', () => {
    const tested = new circuit.Circuit();
    const states: string[] = [];
    const recordState = (): number => states.push(tested.state);
    tested.failed(0);
    recordState();
    [1, 2, 3].forEach((at) => tested.failed(at));
    recordState();
    tested.tick(500);
    recordState();
    tested.tick(1_100);
    recordState();
    tested.failed(1_200);
    tested.tick(2_300);
    recordState();
    tested.tick(3_300);
    tested.succeeded();
    recordState();
    expect(states.join(' ')).to.equal('closed open open trial open closed');
  });
});

describe('shared limit', () => {
  /** Reference: a single bucket that sees every request. */
  function singleBucket(rate: number, seconds: number): number {
    return rate * (seconds + 2);
  }

  /*
   * Guards against an organisation that gets eight times its limit by reaching eight daemons
   * through the load balancer, so that others wait.
   */
  it('admits no more than one bucket would, however the demand is spread over daemons', () => {
    const shares = fastCheck.array(fastCheck.integer({ min: 0, max: 20 }), {
      minLength: 8,
      maxLength: 8,
    });
    fastCheck.assert(
      fastCheck.property(shares, fastCheck.integer(), (weights, seed) => {
        const source = random.seeded(seed);
        const rate = 10_000;
        const limits = weights.map(() => new limit.SharedLimit(rate, 8, 0));
        let admitted = 0;
        for (let now = 0; now < 20_000; now += 50) {
          limits.forEach((each, i) => {
            for (let n = 0; n < weights[i]; n++) {
              if (source.uniform() < 0.1 && each.admit(500, now).kind === 'admitted') {
                admitted += 500;
              }
            }
          });
          if (now % 1_000 !== 0) continue;
          const rates = limits.map((each) => each.demandRate(now));
          const all = rates.reduce((sum, each) => sum + each, 0);
          limits.forEach((each, i) => each.rebalance(rate, all - rates[i], 8, now));
        }
        // Demand that moves between daemons may use each one's burst, as stated in docs/CONFIGURATION.md.
        expect(admitted).to.be.at.most(singleBucket(rate, 20) * 1.1);
        const demanded = weights.reduce((sum, each) => sum + each, 0) * 500 * 0.1 * 20;
        if (demanded > rate * 2) expect(admitted).to.be.at.least(rate * 20 * 0.7);
      }),
      { seed: 4, numRuns: 60 },
    );
  });
});

describe('stream check', () => {
  const FRAME = fastCheck.record({
    request: fastCheck.constantFrom('mine', 'other'),
    position: fastCheck.integer({ min: 0, max: 6 }),
    last: fastCheck.boolean(),
  });

  /*
   * Guards against passing on another request's text from a reused connection, or an incomplete
   * answer as complete after lost frames.
   */
  it('passes on exactly the next frames of its own request', () => {
    fastCheck.assert(
      fastCheck.property(fastCheck.array(FRAME), (frames) => {
        const tested = new stream.StreamCheck('mine');
        let next = 0;
        let ended = false;
        frames.forEach(({ request, position, last }) => {
          const finding = tested.accept({
            request,
            position,
            text: `${position}`,
            tokens: 1,
            last,
          });
          const isExpected = request === 'mine' && position === next && !ended;
          expect(finding.kind === 'next').to.equal(isExpected);
          if (!isExpected) return;
          next += 1;
          ended = last;
        });
        expect(tested.text).to.equal(Array.from({ length: next }, (_v, i) => `${i}`).join(''));
        expect(tested.isComplete).to.equal(ended);
      }),
      { seed: 6, numRuns: 2_000 },
    );
  });
});

describe('token estimate', () => {
  it('learns the ratio of a model and ignores impossible reports', () => {
    const tested = new tokens.Estimator();
    for (let i = 0; i < 60; i++) tested.learn('m', 3_000, 1_000);
    tested.learn('m', 3_000, 0);
    tested.learn('m', 3_000, 1e9);
    expect(tested.estimate('m', 3_000)).to.be.within(990, 1_010);
    expect(tested.estimate('other', 4_000)).to.equal(1_000);
  });
});
