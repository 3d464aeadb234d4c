/** The laboratory: engines compute as predicted, and the same seed gives the same result. */
import * as chai from 'chai';
import * as domain from '@celerydrift/domain';
import * as eventQueue from '../../mixed/eventQueue';
import * as decisions from '../decisions';
import * as engines from '../engine';
import * as laboratory from '../allocationSimulation';
import * as loads from '../workloads';

const { expect } = chai;

const [USUAL_WORKLOAD] = loads.WORKLOADS;

const SHORT_WORKLOAD: loads.Workload = { ...USUAL_WORKLOAD, seconds: 6 };

function simulate(changed: Partial<domain.allocation.weights.Weights> = {}): laboratory.Outcome[] {
  const weights = { ...domain.allocation.weights.WEIGHTS, ...changed };
  return new laboratory.AllocationSimulation({ load: SHORT_WORKLOAD, seed: 3, weights }).run();
}

describe('laboratory', () => {
  /*
   * A model of the engines that differs from the one that places requests would judge policies by its own errors. The
   * parts of four prompts on one engine end where the planner's queue says, within the steps that it leaves out.
   */
  it('reads in the order that the planner predicts', () => {
    const events = new eventQueue.EventQueue();
    const engine = new engines.Engine(USUAL_WORKLOAD.engine, events);
    const queue = new domain.allocation.readQueue.ReadQueue({ isWriting: false, passMs: () => 45 });
    const ends: number[][] = [];
    [171_000, 122_000, 206_000, 283_000].forEach((tokens, i) => {
      const at = 250 * i;
      events.at(at, () => {
        const readMs = domain.allocation.cost.readMs(USUAL_WORKLOAD.engine, tokens, 6);
        const reading = new domain.allocation.reading.Reading(`r${i}`, 1, 3_000, at);
        reading.addPlace(queue);
        queue.add({ reading, isPart: true, leftMs: readMs }, at);
        engine.prefill(`r${i}`, tokens, 6, () => ends.push([i, events.now]));
      });
      events.at(749, () => undefined);
    });
    const predicted: number[] = [];
    events.at(751, () => {
      queue.waitingShares(751).forEach(({ endsAt }) => predicted.push(endsAt));
    });
    while (events.size > 0) events.next();
    expect(ends.map(([i]) => i)).to.deep.equal([3, 2, 1, 0]);
    ends.forEach(([, at], i) => {
      expect(at / predicted[i]).to.be.within(0.97, 1.15);
    });
  });

  it('gives the same outcomes for the same seed, and every request has one', () => {
    const first = simulate();
    expect(simulate()).to.deep.equal(first);
    expect(first.length).to.be.greaterThan(100);
  });

  it('shows what helpers are worth', () => {
    const whole = decisions.score(simulate());
    const alone = decisions.score(simulate({ mostParts: 1 }));
    expect(whole.worth - alone.worth).to.be.greaterThan(0.02);
    expect(whole.worth).to.be.within(0.85, 1);
  });

  it('asks for the same requests whatever is switched off', () => {
    const asked = (outcomes: readonly laboratory.Outcome[]): number[] =>
      outcomes.map(({ arrivedAt }) => arrivedAt).sort((a, b) => a - b);
    expect(asked(simulate({ packGain: 0 }))).to.deep.equal(asked(simulate()));
  });
});
