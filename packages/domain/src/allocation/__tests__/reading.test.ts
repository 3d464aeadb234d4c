/** In which order engines read, and what one more reading costs those that are read already. */
import * as chai from 'chai';
import * as load from '../load';
import * as outlook from '../outlook';
import * as planner from '../planner';
import * as reading from '../reading';
import * as readQueue from '../readQueue';
import * as fixture from './__fixtures__/engine';

const { expect } = chai;

const IDLE: readQueue.DecodeState = { isWriting: false, passMs: () => 45 };
const BUSY: readQueue.DecodeState = { isWriting: true, passMs: () => 40 };

/** A reading whose only place is one queue. */
function added(
  queue: readQueue.ReadQueue,
  name: string,
  share: { leftMs: number; isPart: boolean },
  now: number,
): reading.Reading {
  const made = new reading.Reading(name, 1_000, 3_000, now);
  queue.add({ reading: made, ...share }, now);
  made.addPlace(queue);
  return made;
}

describe('what an engine reads next', () => {
  /*
   * A review of 171k tokens that was predicted after 0.8 s came after 2.8 s, with all of its engines idle when it
   * began: parts of four later prompts went before its own on one of them, each newer one before the older.
   */
  it('is the newest part, where nobody writes', () => {
    const queue = new readQueue.ReadQueue(IDLE);
    const first = added(queue, 'a', { leftMs: 610, isPart: true }, 0);
    const second = added(queue, 'b', { leftMs: 516, isPart: true }, 280);
    expect([first.endsAt(280), second.endsAt(280)]).to.deep.equal([1_126, 796]);
    const third = added(queue, 'c', { leftMs: 846, isPart: true }, 694);
    const ends = [first, second, third].map((each) => each.endsAt(694));
    expect(ends).to.deep.equal([1_972, 1_642, 1_540]);
  });

  it('is a part before a prompt that is read alone, and those in the order of their arrival', () => {
    const queue = new readQueue.ReadQueue(IDLE);
    const whole = added(queue, 'whole', { leftMs: 100, isPart: false }, 0);
    const next = added(queue, 'next', { leftMs: 100, isPart: false }, 0);
    const part = added(queue, 'part', { leftMs: 300, isPart: true }, 50);
    expect([whole, next, part].map((each) => each.endsAt(50))).to.deep.equal([400, 500, 350]);
  });

  /*
   * A writer's pass reads all that waits when it begins. What comes later waits for its end, however urgent, and
   * all that is read in one pass has its first token at the end of that pass.
   */
  it('is all that waits, where somebody writes', () => {
    const queue = new readQueue.ReadQueue(BUSY);
    const first = added(queue, 'a', { leftMs: 100, isPart: true }, 0);
    expect(first.endsAt(0)).to.equal(20 + 100 + 40);
    const late = added(queue, 'late', { leftMs: 50, isPart: true }, 30);
    expect([first.endsAt(30), late.endsAt(30)]).to.deep.equal([160, 160 + 50 + 40]);
  });

  it('is nothing of a request that has ended', () => {
    const queue = new readQueue.ReadQueue(IDLE);
    const first = added(queue, 'a', { leftMs: 100, isPart: true }, 0);
    added(queue, 'b', { leftMs: 500, isPart: true }, 50);
    queue.remove('b', 150);
    expect(first.endsAt(150)).to.equal(200);
    expect(queue.isIdle(200)).to.equal(true);
  });
});

describe('a part on an engine that reads for others', () => {
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

  /** Gives a prompt to the engines that the planner chooses. */
  function begin(loads: load.Load[], name: string, tokens: number, now: number): reading.Reading {
    const prompt = { ...PROMPT, tokens };
    const decision = new planner.Planner(ENGINE).decide(prompt, loads, now, false);
    const made = new reading.Reading(name, planner.valueOf(prompt), PROMPT.objectiveMs, now);
    if (decision.kind !== 'begin') throw new Error(`no plan for ${name}`);
    const { helpers, decoder, partMs, decoderTokens } = decision.plan;
    const task = { request: name, prefillMs: partMs, contextTokens: 0, value: 0 };
    const part = { reading: made, isPart: helpers.length > 0 };
    decoder.add(
      { ...task, role: 'decoder', memoryTokens: decoderTokens, maxGapMs: PROMPT.pauseMs },
      part,
      now,
    );
    helpers.forEach((each) => {
      each.load.add({ ...task, role: 'helper', memoryTokens: 0, maxGapMs: Infinity }, part, now);
    });
    return made;
  }

  /*
   * Long prompts in a row were all to be read by nearly all engines, as each alone was in time that way; each held up
   * those before it, and these came late. The engines had time for all, each on some of them.
   */
  it('is given only as far as the others bear', () => {
    const loads = fleet(12);
    const made = [0, 100, 200].map((now, i) => begin(loads, `r${i}`, 200_000, now));
    const waits = made.map((each, i) => each.endsAt(200) - 100 * i);
    expect(Math.max(...waits)).to.be.lessThan(0.75 * PROMPT.objectiveMs);
  });

  /*
   * In a burst of long prompts all were read by the same engines, each newer one first, and most of them late; parts of
   * later prompts came before the planner could know of them. An engine reads for one prompt at a time.
   */
  it('is given to no engine that reads a part for another prompt', () => {
    const loads = fleet(12);
    ['a', 'b', 'c', 'd'].forEach((name, i) => begin(loads, name, 150_000, i * 50));
    const helping = loads.map((each) => each.helpingCount(150));
    expect(Math.max(...helping)).to.equal(1);
  });

  it('costs what the delayed ones lose, each once, however many engines delay it', () => {
    const delayed = new reading.Reading('a', 1_000, 3_000, 0);
    const delay = { prefill: delayed, sooner: 1_000 };
    const twice = outlook.delayPenalty([
      { ...delay, later: 2_400 },
      { ...delay, later: 2_100 },
    ]);
    expect(Math.round(twice)).to.equal(375);
    expect(outlook.delayPenalty([{ ...delay, later: 1_500 }])).to.equal(0);
  });

  /*
   * A review that was half read came late, for one that could have waited: the newer one's parts went first on all of
   * its engines. Begun when these have ended, the newer one is in time as well.
   */
  it('is begun later where that spoils less', () => {
    const loads = fleet(4);
    begin(loads, 'first', 250_000, 0);
    const decide = (now: number, waitedMs: number): planner.Decision => {
      const prompt = { ...PROMPT, tokens: 100_000, waitedMs };
      return new planner.Planner(ENGINE).decide(prompt, loads, now, true);
    };
    const sooner = decide(100, 0);
    if (sooner.kind !== 'later') throw new Error(sooner.kind);
    expect(sooner.inMs).to.be.within(1_500, 1_800);
    expect(decide(1_900, 1_800).kind).to.equal('begin');
  });

  it('is begun at once where waiting wins nothing', () => {
    const prompt = { ...PROMPT, tokens: 100_000 };
    const decision = new planner.Planner(ENGINE).decide(prompt, fleet(4), 0, true);
    expect(decision.kind).to.equal('begin');
  });
});
