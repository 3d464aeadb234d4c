/** Outcomes, retries, limits over many daemons, and the check of streams. */
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
   * A clerk is told that a parts hold was not run, sends it again, and it goes out twice. "Not run"
   * may be said only if no attempt can have reached the service.
   */
  it('says "not run" only when every attempt proves it', () => {
    const told = PROGRESS.map((progress) => [
      progress,
      outcome.outcomeOf([attempt(progress)], true),
      outcome.outcomeOf([attempt(progress)], false),
      outcome.outcomeOf([attempt('notSent'), attempt(progress)], false),
    ]);
    expect(told).toMatchSnapshot();
  });
});

describe('retry', () => {
  it('never repeats what may have run and may not be repeated, nor past the deadline', () => {
    const source = random.seeded(1);
    const wish = fastCheck.record({
      progress: fastCheck.constantFrom(...PROGRESS),
      repeatable: fastCheck.boolean(),
      left: fastCheck.integer({ min: -10, max: 3_000 }),
      after: fastCheck.integer({ min: 0, max: 2_000 }),
      count: fastCheck.integer({ min: 1, max: 6 }),
    });
    fastCheck.assert(
      fastCheck.property(wish, ({ progress, repeatable, left, after, count }) => {
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
   * All engines are down for a while and callers see errors for minutes after: each request was tried
   * four times, so the outage was followed by four times the load. The budget bounds the retries.
   */
  it('bounds retries in an outage to a share of first attempts', () => {
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
   * Six engines ended under one prompt within a second. It crashed each that began to run it, and the attempts that cover a
   * long outage were all spent on it.
   */
  it('gets no fourth', () => {
    const source = random.seeded(1);
    const kinds = [1, 2, 3].map((count) => {
      const attempts = Array.from({ length: count }, () => attempt('answering'));
      return retry.decide(attempts, true, 60_000, 0, new retry.Budget(), source).kind;
    });
    expect(kinds).to.deep.equal(['retry', 'retry', 'giveUp']);
  });
});

describe('circuit', () => {
  it('opens by the share of failures, and closes after one good trial', () => {
    const tested = new circuit.Circuit();
    const seen: string[] = [];
    const note = (): number => seen.push(tested.state);
    tested.failed(0);
    note();
    [1, 2, 3].forEach((at) => tested.failed(at));
    note();
    tested.tick(500);
    note();
    tested.tick(1_100);
    note();
    tested.failed(1_200);
    tested.tick(2_300);
    note();
    tested.tick(3_300);
    tested.succeeded();
    note();
    expect(seen.join(' ')).to.equal('closed open open trial open closed');
  });
});

describe('shared limit', () => {
  /** The naive limit: one bucket that sees every request. */
  function naive(rate: number, seconds: number): number {
    return rate * (seconds + 2);
  }

  /*
   * An organisation with a limit reaches eight daemons through the balancer and gets eight times its
   * limit, and the others' fitters wait behind it.
   */
  it('lets through no more than one bucket would, whatever daemons the demand comes to', () => {
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
        // Demand that moves between daemons may use each one's burst, as stated in CONFIGURATION.
        expect(admitted).to.be.at.most(naive(rate, 20) * 1.1);
        const asked = weights.reduce((sum, each) => sum + each, 0) * 500 * 0.1 * 20;
        if (asked > rate * 2) expect(admitted).to.be.at.least(rate * 20 * 0.7);
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
   * A foreman reads a stranger's text, or half of his own as if it were whole: frames of another
   * request came on a reused connection, or frames were lost on the way.
   */
  it('passes on exactly the next frames of its own request', () => {
    fastCheck.assert(
      fastCheck.property(fastCheck.array(FRAME), (frames) => {
        const tested = new stream.StreamCheck('mine');
        let next = 0;
        let ended = false;
        frames.forEach(({ request, position, last }) => {
          const finding = tested.take({ request, position, text: `${position}`, tokens: 1, last });
          const wanted = request === 'mine' && position === next && !ended;
          expect(finding.kind === 'next').to.equal(wanted);
          if (!wanted) return;
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
