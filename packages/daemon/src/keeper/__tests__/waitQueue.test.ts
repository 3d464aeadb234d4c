/** Order of the wait queue and the work per round. */
import * as chai from 'chai';
import * as waitQueue from '../waitQueue';

const { expect } = chai;

class Fixture {
  readonly queue = new waitQueue.WaitQueue<string>();

  readonly outcomes: string[] = [];

  freeSlots = 0;

  attempts = 0;

  wait(name: string, since: number, inTimeMs = 300, needed = 1): void {
    this.queue.add({
      tokens: needed,
      pauseMs: 250,
      service: 's',
      organisation: '',
      urgency: 0,
      objectiveMs: 600,
      callerSince: since,
      isReturning: false,
      isRestricted: false,
      since,
      inTimeUntil: since + inTimeMs,
      until: since + 1_000,
      attempt: () => {
        this.attempts += 1;
        if (this.freeSlots < needed) return undefined;
        this.freeSlots -= needed;
        return name;
      },
      resolve: (found) => this.outcomes.push(found ?? `${name} refused`),
    });
  }
}

describe('wait queue', () => {
  it('places the oldest request that can still be on time first, and late ones last', () => {
    const fixture = new Fixture();
    fixture.wait('late', 0);
    fixture.wait('older', 400);
    fixture.wait('newer', 450);
    fixture.freeSlots = 2;
    fixture.queue.serve(500);
    fixture.freeSlots = 1;
    fixture.queue.serve(500);
    expect(fixture.outcomes).to.deep.equal(['older', 'newer', 'late']);
  });

  it('ends a wait when it expires', () => {
    const fixture = new Fixture();
    fixture.wait('one', 0);
    fixture.queue.serve(999);
    fixture.queue.serve(1_000);
    expect([fixture.outcomes, fixture.queue.length]).to.deep.equal([['one refused'], 0]);
  });

  /*
   * Guards against a leader that is voted out in a burst: 300 requests waited, each completed answer tried them all
   * again at a third of a millisecond each, and entries without a leader chose engines by themselves, so that callers
   * were refused while engines were free.
   */
  it('limits the attempts per round, and still reaches every request', () => {
    const fixture = new Fixture();
    for (let i = 0; i < 300; i++) fixture.wait(`large ${i}`, 0, 5_000, 9 + (i % 7));
    fixture.wait('small', 1, 5_000);
    fixture.queue.serve(10);
    expect(fixture.attempts).to.be.at.most(8);
    fixture.freeSlots = 1;
    fixture.queue.serve(10);
    expect(fixture.outcomes).to.deep.equal(['small']);
  });

  /** Guards against late requests that are refused beside free engines because another service's requests wait. */
  it('distinguishes the services of queued requests', () => {
    const fixture = new Fixture();
    fixture.wait('one', 0);
    const has = ['s', 'other'].map((service) => fixture.queue.hasInTime(0, service));
    expect(has).to.deep.equal([true, false]);
  });

  it('reports whether a queued request can still be on time', () => {
    const fixture = new Fixture();
    fixture.wait('one', 0);
    expect([fixture.queue.hasInTime(299), fixture.queue.hasInTime(300)]).to.deep.equal([
      true,
      false,
    ]);
  });
});
