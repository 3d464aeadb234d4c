/** The order of turns of those that take much of the event loop. */
import * as chai from 'chai';
import * as turns from '../turns';

const { expect } = chai;

const TESTED_TURNS = 10;

function nextTurn(): Promise<void> {
  return new Promise((resolve) => {
    setImmediate(resolve);
  });
}

describe('turns of the event loop', () => {
  // Guards against a single waiter that takes twice as many turns each time, so that nothing else goes on.
  it('come once in each turn for one that asks again during its turn', async () => {
    const waiter = {};
    let taken = 0;
    const proceed = (): void => {
      taken += 1;
      if (taken < 1_000) turns.wait(waiter, proceed);
    };
    turns.wait(waiter, proceed);
    for (let i = 0; i < TESTED_TURNS; i++) await nextTurn();
    expect(taken).to.be.within(1, TESTED_TURNS + 1);
    taken = 1_000;
  });
});
