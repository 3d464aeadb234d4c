/** Tests of splitting streams at events and of one entry's share of the repeat budget. */
import * as chai from 'chai';
import * as fc from 'fast-check';
import * as eventSplitter from '../eventSplitter';
import * as repeatBudget from '../repeatBudget';

const { expect } = chai;

const STREAM = 'id: 1\ndata: a\n\nid: 2\r\ndata: b\r\n\r\nversions: 3\nid: 3\ndata: c\n\n';

describe('event splitter', () => {
  /*
   * Guards against an event whose beginning is passed on twice: a target breaks off within an
   * event, and the stream continues at another target after the last whole one.
   */
  it('passes on only whole events, however the bytes are split', () => {
    fc.assert(
      fc.property(fc.array(fc.integer({ min: 1, max: 9 }), { maxLength: 60 }), (sizes) => {
        const splitter = new eventSplitter.EventSplitter();
        const bytes = Buffer.from(`${STREAM}id: 4\ndata: half`);
        let at = 0;
        let passedText = '';
        let events = 0;
        let lastId: string | undefined;
        [...sizes, bytes.length].forEach((size) => {
          const cut = splitter.push(bytes.subarray(at, at + size));
          at += size;
          passedText += cut.bytes.toString();
          events += cut.events;
          lastId = cut.lastId ?? lastId;
        });
        expect(passedText).to.equal(STREAM);
        expect({ events, lastId }).to.deep.equal({ events: 3, lastId: '3' });
        expect(splitter.isInsideEvent).to.equal(true);
      }),
      { seed: 11 },
    );
  });

  // Guards against an event in many small parts that keeps the process busy or takes many times its size.
  it('takes time and memory in proportion to an event', () => {
    const splitter = new eventSplitter.EventSplitter();
    const byte = Buffer.from('x');
    const bytes = 300_000;
    const startedAt = performance.now();
    for (let i = 0; i < bytes; i++) splitter.push(byte);
    expect(performance.now() - startedAt).to.be.below(1_000);
    expect([splitter.partialBytes, splitter.heldBytes <= 2 * bytes]).to.deep.equal([bytes, true]);
  });
});

describe('repeat budget', () => {
  /*
   * Guards against repeats that overload a failing service: all entries lose their targets at once,
   * each repeats all it may, and one of them has just started and counts only itself.
   */
  it('keeps all entries together under the bound while entries start', () => {
    const rule = { ratio: 0.2, slack: 100, windowMs: 10_000 };
    const entries = Array.from({ length: 8 }, () => new repeatBudget.RepeatBudget(rule));
    entries.forEach((entry) => entry.setEntryCount(8, 0));
    let firsts = 0;
    let repeats = 0;
    for (let now = 0; now < 10_000; now += 100) {
      entries.forEach((entry) => {
        entry.countFirstAttempt(now);
        firsts += 1;
        while (entry.spend(now)) repeats += 1;
      });
    }
    expect(repeats).to.be.lessThan(rule.ratio * firsts + rule.slack);
    expect(repeats).to.be.greaterThan(100);
  });

  it('releases repeats when they leave the window', () => {
    const entry = new repeatBudget.RepeatBudget({ ratio: 0, slack: 10, windowMs: 1_000 });
    entry.setEntryCount(1, 0);
    const spendAll = (now: number): number => {
      let count = 0;
      while (entry.spend(now)) count += 1;
      return count;
    };
    expect([spendAll(0), spendAll(500), spendAll(1_100)]).to.deep.equal([7, 0, 7]);
  });

  /*
   * Guards against a share of the slack that is too large: after three changes of leader within
   * five seconds, each new leader knew few entries and reported that number, and a service got 796
   * repeats where 790 were allowed.
   */
  it('uses the largest reported number of entries within the window', () => {
    const rule = { ratio: 0, slack: 194, windowMs: 10_000 };
    const entry = new repeatBudget.RepeatBudget(rule);
    let repeats = 0;
    [59, 59, 3, 20, 59, 2].forEach((entries, i) => {
      entry.setEntryCount(entries, i * 1_000);
      while (entry.spend(i * 1_000)) repeats += 1;
    });
    expect(repeats).to.be.at.most(rule.slack / 59);
  });

  it('spends no slack before the number of entries is reported', () => {
    const entry = new repeatBudget.RepeatBudget({ ratio: 1, slack: 100, windowMs: 1_000 });
    expect(entry.spend(0)).to.equal(false);
    entry.countFirstAttempt(0);
    entry.countFirstAttempt(0);
    expect([entry.spend(0), entry.spend(0)]).to.deep.equal([true, false]);
  });

  /*
   * Guards against a call of a healthy service that fails for lack of a repeat, as the entry has
   * spent its repeats on another service whose engines fail.
   */
  it('keeps the budgets of services separate', () => {
    const budgets = new repeatBudget.RepeatBudgets({ ratio: 0, slack: 30, windowMs: 1_000 });
    budgets.setEntryCount(10, 0);
    const failing = [1, 2, 3, 4].map(() => budgets.of('engines').spend(10));
    expect(failing).to.deep.equal([true, true, false, false]);
    expect(budgets.of('plain').spend(20)).to.equal(true);
    expect(budgets.of('engines').spend(30)).to.equal(false);
  });
});
