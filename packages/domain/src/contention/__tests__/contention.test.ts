/** Decisions under loads that exceed a service, which places one request at a time at a fixed rate. */
import * as chai from 'chai';
import * as admission from '../admission';
import * as overload from '../overload';
import * as returnPlan from '../returnPlan';
import * as usualDemand from '../usualDemand';
import * as virtualTime from '../virtualTime';
import * as waitingOrder from '../waitingOrder';

const { expect } = chai;

interface Stream {
  organisation: string;
  perSecond: number;
  urgency?: number;
  tokens?: number;
  objectiveMs?: number;
  /** Factor on the rate during the burst. */
  burst?: number;
}

interface Request extends waitingOrder.Waiting {
  stream: number;
  at: number;
}

const SECONDS = 17;
const BURST = { fromMs: 5_000, toMs: 14_500 };
const PREDICTED = { usualMs: 80, shortestMs: 30 };

/** Requests of all streams at regular intervals, in order of arrival. */
function arrivalsOf(streams: readonly Stream[]): Request[] {
  const requests = streams.flatMap((stream, index) => {
    const { organisation, perSecond, urgency = 0, tokens = 5_000, objectiveMs = 300 } = stream;
    const items: Request[] = [];
    let at = index;
    while (at < SECONDS * 1_000) {
      const { inTimeUntil } = admission.boundsOf(
        { objectiveMs, waitedMs: 0, leavesInMs: 2_000, isReturning: false },
        PREDICTED,
        at,
      );
      const shared = { service: 's', organisation, urgency, tokens, objectiveMs };
      items.push({
        ...shared,
        callerSince: at,
        inTimeUntil,
        isReturning: false,
        stream: index,
        at,
      });
      const isBurst = at >= BURST.fromMs && at < BURST.toMs;
      at += 1_000 / (perSecond * (isBurst ? (stream.burst ?? 1) : 1));
    }
    return items;
  });
  return requests.sort((a, b) => a.at - b.at);
}

/** Share of the requests of each stream during the burst that are placed on time. */
function simulate(streams: readonly Stream[], capacity: number, isAdaptive = true): number[] {
  const order = new waitingOrder.WaitingOrder();
  const arriving = arrivalsOf(streams);
  const onTime = streams.map(() => 0);
  const asked = streams.map(() => 0);
  let waiting: Request[] = [];
  for (let now = 0; now < SECONDS * 1_000; now += 1_000 / capacity) {
    while (arriving.length > 0 && arriving[0].at <= now) {
      const [next] = arriving.splice(0, 1);
      order.demand.count(next.organisation, next.tokens, now);
      waiting.push(next);
    }
    if (isAdaptive) waiting = waiting.filter(({ inTimeUntil }) => inTimeUntil > now);
    const [next] = isAdaptive ? order.arrange(waiting, now) : waiting;
    if (next === undefined) continue;
    waiting = waiting.filter((each) => each !== next);
    order.served(next, now);
    if (next.at >= BURST.fromMs && next.at < BURST.toMs && next.inTimeUntil > now) {
      onTime[next.stream] += 1;
    }
  }
  arrivalsOf(streams).forEach(({ at, stream }) => {
    if (at >= BURST.fromMs && at < BURST.toMs) asked[stream] += 1;
  });
  return onTime.map((count, i) => count / asked[i]);
}

describe('contention', () => {
  /** Guards against a queue in which each request waits until it is just too late. */
  it('serves most short prompts on time in a burst at 1.2 times the capacity for 9.5 s', () => {
    const streams = [{ organisation: 'a', perSecond: 60, burst: 2 }];
    expect(simulate(streams, 100, false)[0]).to.be.below(0.25);
    expect(simulate(streams, 100)[0]).to.be.above(0.8);
  });

  /** Guards against an organisation that takes the share of others by sending more. */
  it('makes an organisation that multiplies its demand by six bear its own excess', () => {
    const [large, small, multiplied] = simulate(
      [
        { organisation: 'large', perSecond: 40 },
        { organisation: 'small', perSecond: 20 },
        { organisation: 'multiplied', perSecond: 20, burst: 6 },
      ],
      100,
    );
    expect([large, small].every((each) => each > 0.85)).to.equal(true);
    expect(multiplied).to.be.within(0.2, 0.6);
  });

  /** Guards against less urgent requests that are served rather than more urgent ones. */
  it('serves three urgency classes in their order', () => {
    const shares = simulate(
      [0, 1, 2].map((urgency) => ({ organisation: 'a', perSecond: 30, urgency, burst: 1.5 })),
      100,
    );
    expect(shares[0]).to.be.above(0.95);
    expect(shares[1]).to.be.at.least(shares[2]);
  });

  /** Guards against sizes that starve: the longest prompts count as 40 short ones of their organisation. */
  it('serves the longest prompts beside a burst of short ones', () => {
    const [, long] = simulate(
      [
        { organisation: 'a', perSecond: 60, burst: 2 },
        { organisation: 'b', perSecond: 2, tokens: 200_000, objectiveMs: 3_000 },
      ],
      100,
    );
    expect(long).to.be.above(0.9);
  });

  /** Guards against late requests that take every slot, and against late ones that are never served. */
  it('gives late requests a small share of the slots while others can be on time', () => {
    const order = new waitingOrder.WaitingOrder();
    const base = { service: 's', organisation: '', urgency: 0, tokens: 1, objectiveMs: 300 };
    const late = { ...base, callerSince: -1_000, inTimeUntil: -800, isReturning: true };
    let lateServed = 0;
    for (let now = 0; now < 10_000; now += 10) {
      const inTime = { ...base, callerSince: now, inTimeUntil: now + 200, isReturning: false };
      const [next] = order.arrange([late, inTime], now);
      order.served(next, now);
      lateServed += next === late ? 1 : 0;
    }
    expect(lateServed).to.be.within(8, 12);
    expect(order.arrange([late], 10_100)).to.deep.equal([]);
    expect(order.arrange([late], 10_200)).to.deep.equal([late]);
  });
});

describe('overload', () => {
  /** Guards against an order that alternates with each engine step. */
  it('begins after an objective of long waits and ends after two of short ones', () => {
    const tested = new overload.Overload(300);
    const changes: [number, overload.Change][] = [];
    for (let now = 0; now < 3_000; now += 50) {
      const waitedMs = now < 1_000 || now === 1_300 ? 100 : 50;
      const change = tested.observe(now < 1_800 ? waitedMs : 20, now);
      if (change !== undefined) changes.push([now, change]);
    }
    expect(changes).to.deep.equal([
      [350, 'began'],
      [2_450, 'ended'],
    ]);
  });
});

describe('admission', () => {
  const REQUEST = { objectiveMs: 300, waitedMs: 20, leavesInMs: 1_980, isReturning: false };

  /** Guards against refusals at the time limit of the wait instead of when being on time became impossible. */
  it('lets a first attempt wait as long as it can be on time, and a returning one until its caller leaves', () => {
    const predicted = { usualMs: 90, shortestMs: 40 };
    const first = admission.boundsOf(REQUEST, predicted, 1_000);
    const returning = admission.boundsOf({ ...REQUEST, isReturning: true }, predicted, 1_000);
    expect([first, returning]).to.deep.equal([
      { inTimeUntil: 1_160, until: 1_240 },
      { inTimeUntil: 1_160, until: 2_890 },
    ]);
  });

  it('adds the usual overhead of a kind to the prefill of the prompt', () => {
    const forecast = new admission.FirstEventForecast();
    const before = forecast.predict('k', 30, 50);
    for (let i = 0; i < 50; i++) forecast.observe('k', 130, 30);
    expect([before, forecast.predict('k', 60, 50)].map(({ usualMs }) => usualMs)).to.deep.equal([
      80, 160,
    ]);
  });
});

describe('return plan', () => {
  /** Guards against callers that return within the burst and are refused for good. */
  it('sends callers as far as a third of their time while arrivals exceed placements', () => {
    const plan = new returnPlan.ReturnPlan();
    for (let now = 0; now < 2_000; now += 4) plan.countArrival(now);
    for (let now = 0; now < 2_000; now += 5) plan.countPlacement(now);
    expect(plan.plan(1_800, 200, 2_000)).to.equal(600);
  });

  it('plans no more returns in a slot than the forecast room, and none beyond the bound', () => {
    const plan = new returnPlan.ReturnPlan();
    for (let now = 0; now < 5_000; now += 50) plan.countPlacement(now);
    const delays = [0, 1, 2, 3, 4, 5].map(() => plan.plan(1_800, 200, 5_000));
    expect(delays).to.deep.equal([200, 300, 400, 500, 600, 600]);
  });

  /** Guards against callers with minutes left that return after their refusal is forgotten. */
  it('plans no return that it would not recognise', () => {
    const plan = new returnPlan.ReturnPlan();
    for (let now = 0; now < 2_000; now += 4) plan.countArrival(now);
    expect(plan.plan(120_000, 200, 2_000)).to.equal(5_000);
  });

  it('recognises a refused request for ten seconds', () => {
    const refused = new returnPlan.RefusedRequests();
    refused.add('a', 0);
    expect([9_999, 10_000].map((now) => refused.has('a', now))).to.deep.equal([true, false]);
    expect(refused.has('b', 1)).to.equal(false);
  });
});

describe('usual demand', () => {
  /** Guards against a weight that follows a burst, so that the burst would displace others. */
  it('raises the weight of ten times the demand for ten seconds by at most a third', () => {
    const demand = new usualDemand.UsualDemand();
    for (let now = 0; now < 60_000; now += 100) demand.count('a', 500, now);
    const before = demand.weights(60_000).of('a');
    for (let now = 60_000; now < 70_000; now += 10) demand.count('a', 500, now);
    expect(before).to.be.within(4_500, 5_500);
    expect(demand.weights(70_000).of('a') / before).to.be.within(1.05, 1.33);
  });

  /** Guards against a large organisation that a new leader sees late and takes for a small one for minutes. */
  it('lets a large organisation that was seen late grow within a minute', () => {
    const demand = new usualDemand.UsualDemand();
    demand.count('dormant', 10, 0);
    for (let now = 0; now < 66_000; now += 100) {
      demand.count('big', 1_000, now);
      if (now >= 6_000) demand.count('late', 1_000, now);
      if (now % 1_000 === 0) demand.weights(now);
    }
    const weights = demand.weights(66_000);
    expect(weights.of('late') / weights.of('big')).to.be.above(0.4);
  });

  it('gives a rare organisation a quarter of the mean weight', () => {
    const demand = new usualDemand.UsualDemand();
    for (let now = 0; now < 30_000; now += 100) demand.count('a', 500, now);
    demand.count('b', 10, 30_000);
    const weights = demand.weights(30_000);
    expect(weights.of('b') / weights.of('a')).to.be.within(0.12, 0.13);
  });
});

describe('virtual time', () => {
  /** Guards against a flow that was idle and then is served alone until it has caught up. */
  it('starts a flow that was idle at the present time', () => {
    const time = new virtualTime.VirtualTime();
    [0, 10, 20].forEach((start) => {
      expect(time.startOf('busy')).to.equal(start);
      time.charge('busy', start, 10);
      time.advance(start);
    });
    expect([time.startOf('idle'), time.startOf('busy')]).to.deep.equal([20, 30]);
  });
});
