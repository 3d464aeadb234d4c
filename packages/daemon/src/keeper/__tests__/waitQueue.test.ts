/** Who gets a free place, who waits, and how much work that is. */
import * as chai from 'chai';
import * as waitQueue from '../waitQueue';

const { expect } = chai;

class Fixture {
  readonly queue = new waitQueue.WaitQueue<string>();

  readonly outcomes: string[] = [];

  places = 0;

  attempts = 0;

  wait(name: string, since: number, inTimeMs = 300, needed = 1): void {
    this.queue.add({
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
      resolve: (found) => this.outcomes.push(found ?? `${name} refused`),
    });
  }
}

describe('waiting line', () => {
  it('gives a place to the oldest that can still be in time, then to those that are late', () => {
    const fixture = new Fixture();
    fixture.wait('late', 0);
    fixture.wait('older', 400);
    fixture.wait('newer', 450);
    fixture.places = 2;
    fixture.queue.serve(500);
    fixture.places = 1;
    fixture.queue.serve(500);
    expect(fixture.outcomes).to.deep.equal(['older', 'newer', 'late']);
  });

  it('ends a wait when its time is over', () => {
    const fixture = new Fixture();
    fixture.wait('one', 0);
    fixture.queue.serve(999);
    fixture.queue.serve(1_000);
    expect([fixture.outcomes, fixture.queue.length]).to.deep.equal([['one refused'], 0]);
  });

  /*
   * In a burst callers were refused by the hundred while engines were free. 300 requests waited; each
   * end of an answer tried them all again, a third of a millisecond each; the leader was busy for seconds, was
   * voted out, and entries chose engines by themselves.
   */
  it('makes a few attempts at a time, however many wait, and reaches everyone', () => {
    const fixture = new Fixture();
    for (let i = 0; i < 300; i++) fixture.wait(`large ${i}`, 0, 5_000, 9 + (i % 7));
    fixture.wait('small', 1, 5_000);
    fixture.queue.serve(10);
    expect(fixture.attempts).to.be.at.most(8);
    fixture.places = 1;
    fixture.queue.serve(10);
    expect(fixture.outcomes).to.deep.equal(['small']);
  });

  it("doesn't let one that comes now overtake one that can still be in time", () => {
    const fixture = new Fixture();
    fixture.wait('one', 0);
    expect([fixture.queue.hasInTime(299), fixture.queue.hasInTime(300)]).to.deep.equal([
      true,
      false,
    ]);
  });
});
