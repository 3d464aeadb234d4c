/**
 * Tests of the order in which engines prefill, and of the cost of one more prefill for those in
 * progress.
 */
import * as chai from 'chai';
import * as load from '../load';
import * as loadForecast from '../loadForecast';
import * as planner from '../planner';
import * as prefills from '../prefill';
import * as prefillQueue from '../prefillQueue';
import * as fixture from './__fixtures__/engine';

const { expect } = chai;

const IDLE: prefillQueue.DecodeState = { isDecoding: false, engineStepMs: () => 45 };
const BUSY: prefillQueue.DecodeState = { isDecoding: true, engineStepMs: () => 40 };

/** Adds a prompt whose only part is in `queue`. */
function addPart(
  queue: prefillQueue.PrefillQueue,
  name: string,
  part: { leftMs: number; isPart: boolean },
  now: number,
): prefills.Prefill {
  const started = new prefills.Prefill(name, 1_000, 3_000, now);
  queue.add({ prefill: started, ...part }, now);
  started.addPart(queue);
  return started;
}

describe('what an engine prefills next', () => {
  /*
   * Guards against predictions that ignore the engines' order: a prompt of 171k tokens that was
   * predicted after 0.8 s came after 2.8 s. Its engines were idle when it began, but on one of them
   * parts of four later prompts preempted its own, each newer one first.
   */
  it('is the newest part, where nothing decodes', () => {
    const queue = new prefillQueue.PrefillQueue(IDLE);
    const first = addPart(queue, 'a', { leftMs: 610, isPart: true }, 0);
    const second = addPart(queue, 'b', { leftMs: 516, isPart: true }, 280);
    expect([first.endsAt(280), second.endsAt(280)]).to.deep.equal([1_126, 796]);
    const third = addPart(queue, 'c', { leftMs: 846, isPart: true }, 694);
    const ends = [first, second, third].map((each) => each.endsAt(694));
    expect(ends).to.deep.equal([1_972, 1_642, 1_540]);
  });

  it('is a part before a whole prompt, and whole prompts in order of arrival', () => {
    const queue = new prefillQueue.PrefillQueue(IDLE);
    const whole = addPart(queue, 'whole', { leftMs: 100, isPart: false }, 0);
    const next = addPart(queue, 'next', { leftMs: 100, isPart: false }, 0);
    const part = addPart(queue, 'part', { leftMs: 300, isPart: true }, 50);
    expect([whole, next, part].map((each) => each.endsAt(50))).to.deep.equal([400, 500, 350]);
  });

  /*
   * A step of an engine with decoding requests prefills everything queued at its beginning. Later
   * arrivals wait for its end, and all prompts of one step have their first token at its end.
   */
  it('is everything queued, where a request decodes', () => {
    const queue = new prefillQueue.PrefillQueue(BUSY);
    const first = addPart(queue, 'a', { leftMs: 100, isPart: true }, 0);
    expect(first.endsAt(0)).to.equal(20 + 100 + 40);
    const late = addPart(queue, 'late', { leftMs: 50, isPart: true }, 30);
    expect([first.endsAt(30), late.endsAt(30)]).to.deep.equal([160, 160 + 50 + 40]);
  });

  it('is nothing of a request that has ended', () => {
    const queue = new prefillQueue.PrefillQueue(IDLE);
    const first = addPart(queue, 'a', { leftMs: 100, isPart: true }, 0);
    addPart(queue, 'b', { leftMs: 500, isPart: true }, 50);
    queue.remove('b', 150);
    expect(first.endsAt(150)).to.equal(200);
    expect(queue.isIdle(200)).to.equal(true);
  });
});

describe('a part on an engine that prefills for others', () => {
  const { ENGINE } = fixture;

  const PROMPT = {
    answerTokens: 800,
    objectiveMs: 3_000,
    pauseMs: 1_000,
    waitedMs: 0,
    dataCentre: 'east',
  };

  function fleet(size: number): load.Load[] {
    return Array.from({ length: size }, (_unused, i) => {
      const about = { id: `t${i}`, service: 's', address: `10.0.0.${i}:80`, dataCentre: 'east' };
      return new load.Load(ENGINE, { ...about, slots: 11, bornAt: 0, state: 'ready', sequence: 1 });
    });
  }

  /** Adds a prompt to the engines that the planner chooses. */
  function startPrefill(
    loads: load.Load[],
    name: string,
    tokens: number,
    now: number,
  ): prefills.Prefill {
    const prompt = { ...PROMPT, tokens };
    const decision = new planner.Planner(ENGINE).decide(prompt, loads, now);
    const started = new prefills.Prefill(name, planner.valueOf(prompt), PROMPT.objectiveMs, now);
    if (decision.kind !== 'begin') throw new Error(`no plan for ${name}`);
    const { helpers, decoder, partMs, decoderTokens } = decision.plan;
    const task = { request: name, prefillMs: partMs, contextTokens: 0, value: 0 };
    const part: Omit<prefillQueue.PrefillPart, 'leftMs'> = {
      prefill: started,
      isPart: helpers.length > 0,
    };
    decoder.add(
      { ...task, role: 'decoder', memoryTokens: decoderTokens, maxGapMs: PROMPT.pauseMs },
      part,
      now,
    );
    helpers.forEach((each) => {
      each.load.add({ ...task, role: 'helper', memoryTokens: 0, maxGapMs: Infinity }, part, now);
    });
    return started;
  }

  /*
   * Guards against dividing consecutive long prompts among nearly all engines, as each alone would
   * be in time: each delayed the previous ones, and these were late. Dividing each among some of
   * the engines leaves time for all.
   */
  it('is added only as far as the other prompts tolerate', () => {
    const loads = fleet(12);
    const started = [0, 100, 200].map((now, i) => startPrefill(loads, `r${i}`, 200_000, now));
    const waits = started.map((each, i) => each.endsAt(200) - 100 * i);
    expect(Math.max(...waits)).to.be.lessThan(0.75 * PROMPT.objectiveMs);
  });

  /*
   * Guards against helpers with parts of several prompts: in a burst of long prompts the same
   * engines prefilled for all, the newest first, and most were late, as the planner can't predict
   * later prompts.
   */
  it('is added to no engine that prefills a part of another prompt', () => {
    const loads = fleet(12);
    ['a', 'b', 'c', 'd'].forEach((name, i) => startPrefill(loads, name, 150_000, i * 50));
    const helping = loads.map((each) => each.helpingCount(150));
    expect(Math.max(...helping)).to.equal(1);
  });

  it('costs the penalty of each delayed prompt once, however many engines delay it', () => {
    const delayed = new prefills.Prefill('a', 1_000, 3_000, 0);
    const delay = { prefill: delayed, sooner: 1_000 };
    const twice = loadForecast.delayPenalty([
      { ...delay, later: 2_400 },
      { ...delay, later: 2_100 },
    ]);
    expect(Math.round(twice)).to.equal(375);
    expect(loadForecast.delayPenalty([{ ...delay, later: 1_500 }])).to.equal(0);
  });

  /*
   * Guards against a half prefilled prompt that becomes late, as a newer one which could have
   * waited preempts it on all engines. Started after the first has ended, the newer one is in time
   * as well.
   */
  it('is deferred where that has a lower penalty', () => {
    const loads = fleet(4);
    startPrefill(loads, 'first', 250_000, 0);
    const decideAt = (now: number, waitedMs: number): planner.Decision => {
      const prompt = { ...PROMPT, tokens: 100_000, waitedMs };
      return new planner.Planner(ENGINE).decide(prompt, loads, now, { mayWait: true });
    };
    const first = decideAt(100, 0);
    if (first.kind !== 'later') throw new Error(first.kind);
    expect(first.inMs).to.be.within(1_500, 1_800);
    expect(decideAt(1_900, 1_800).kind).to.equal('begin');
  });

  it('is started at once where a deferral has no benefit', () => {
    const prompt = { ...PROMPT, tokens: 100_000 };
    const decision = new planner.Planner(ENGINE).decide(prompt, fleet(4), 0, { mayWait: true });
    expect(decision.kind).to.equal('begin');
  });
});
