/** Who gets a free place, who waits, and how much work that is. */
import * as chai from 'chai';
import * as waitingLine from '../waitingLine';

const { expect } = chai;

class Bench {
  readonly line = new waitingLine.WaitingLine<string>();

  readonly ends: string[] = [];

  places = 0;

  attempts = 0;

  wait(name: string, since: number, inTimeMs = 300, needed = 1): void {
    this.line.add({
      tokens: needed,
      pauseMs: 250,
      service: 's',
      isRestricted: false,
      since,
      inTimeUntil: since + inTimeMs,
      until: since + 1_000,
      attempt: () => {
        this.attempts += 1;
        if (this.places < needed) return undefined;
        this.places -= needed;
        return name;
      },
      resolve: (found) => this.ends.push(found ?? `${name} refused`),
    });
  }
}

describe('waiting line', () => {
  it('gives a place to the oldest that can still be in time, then to those that are late', () => {
    const bench = new Bench();
    bench.wait('late', 0);
    bench.wait('older', 400);
    bench.wait('newer', 450);
    bench.places = 2;
    bench.line.serve(500);
    bench.places = 1;
    bench.line.serve(500);
    expect(bench.ends).to.deep.equal(['older', 'newer', 'late']);
  });

  it('ends a wait when its time is over', () => {
    const bench = new Bench();
    bench.wait('one', 0);
    bench.line.serve(999);
    bench.line.serve(1_000);
    expect([bench.ends, bench.line.length]).to.deep.equal([['one refused'], 0]);
  });

  /*
   * In a burst callers were refused by the hundred while engines were free. 300 requests waited; each
   * end of an answer tried them all again, a third of a millisecond each; the leader was busy for seconds, was
   * voted out, and entries chose engines by themselves.
   */
  it('makes a few attempts at a time, however many wait, and reaches everyone', () => {
    const bench = new Bench();
    for (let i = 0; i < 300; i++) bench.wait(`large ${i}`, 0, 5_000, 9 + (i % 7));
    bench.wait('small', 1, 5_000);
    bench.line.serve(10);
    expect(bench.attempts).to.be.at.most(8);
    bench.places = 1;
    bench.line.serve(10);
    expect(bench.ends).to.deep.equal(['small']);
  });

  it("doesn't let one that comes now overtake one that can still be in time", () => {
    const bench = new Bench();
    bench.wait('one', 0);
    expect([bench.line.hasInTime(299), bench.line.hasInTime(300)]).to.deep.equal([true, false]);
  });
});
