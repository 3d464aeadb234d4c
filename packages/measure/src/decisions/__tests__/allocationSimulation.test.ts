/** Tests that the simulated engines match the planner's predictions and that a seed fixes the result. */
import * as chai from 'chai';
import * as domain from '@celerydrift/domain';
import * as eventQueue from '../../mixed/eventQueue';
import * as decisions from '../decisions';
import * as engines from '../engine';
import * as allocationSimulation from '../allocationSimulation';
import * as workloads from '../workloads';

const { expect } = chai;

const [USUAL_WORKLOAD] = workloads.WORKLOADS;

const SHORT_WORKLOAD: workloads.Workload = { ...USUAL_WORKLOAD, seconds: 6 };

function simulate(
  changedWeights: Partial<domain.allocation.weights.Weights> = {},
): allocationSimulation.Outcome[] {
  const weights = { ...domain.allocation.weights.WEIGHTS, ...changedWeights };
  return new allocationSimulation.AllocationSimulation({
    workload: SHORT_WORKLOAD,
    seed: 3,
    weights,
  }).run();
}

describe('allocationSimulation', () => {
  /*
   * If the simulated engines differed from the planner's model of engines, the simulation would measure that difference
   * instead of the policies. Parts of four prompts on one engine must end when the planner's queue predicts, within the
   * engine steps that the prediction leaves out.
   */
  it('prefills in the order that the planner predicts', () => {
    const events = new eventQueue.EventQueue();
    const engine = new engines.Engine(USUAL_WORKLOAD.engine, events);
    const queue = new domain.allocation.prefillQueue.PrefillQueue({
      isDecoding: false,
      engineStepMs: () => 45,
    });
    const ends: number[][] = [];
    [171_000, 122_000, 206_000, 283_000].forEach((tokens, i) => {
      const at = 250 * i;
      events.at(at, () => {
        const prefillMs = domain.allocation.cost.prefillMs(USUAL_WORKLOAD.engine, tokens, 6);
        const promptPrefill = new domain.allocation.prefill.Prefill(`r${i}`, 1, 3_000, at);
        promptPrefill.addPart(queue);
        queue.add({ prefill: promptPrefill, isPart: true, leftMs: prefillMs }, at);
        engine.prefill(`r${i}`, tokens, 6, () => ends.push([i, events.now]));
      });
      events.at(749, () => undefined);
    });
    const predicted: number[] = [];
    events.at(751, () => {
      queue.pendingParts(751).forEach(({ endsAt }) => predicted.push(endsAt));
    });
    while (events.size > 0) events.next();
    expect(ends.map(([i]) => i)).to.deep.equal([3, 2, 1, 0]);
    ends.forEach(([, at], i) => {
      expect(at / predicted[i]).to.be.within(0.97, 1.15);
    });
  });

  it('gives the same outcomes for the same seed, one for each request', () => {
    const first = simulate();
    expect(simulate()).to.deep.equal(first);
    expect(first.length).to.be.greaterThan(100);
  });

  it('shows that prefill helpers increase earned worth', () => {
    const complete = decisions.score(simulate());
    const withoutHelpers = decisions.score(simulate({ maxParts: 1 }));
    expect(complete.worth - withoutHelpers.worth).to.be.greaterThan(0.02);
    expect(complete.worth).to.be.within(0.85, 1);
  });

  it('draws the same requests whatever mechanism is switched off', () => {
    const arrivalTimes = (outcomes: readonly allocationSimulation.Outcome[]): number[] =>
      outcomes.map(({ arrivedAt }) => arrivedAt).sort((a, b) => a - b);
    expect(arrivalTimes(simulate({ packBonus: 0 }))).to.deep.equal(arrivalTimes(simulate()));
  });
});
