/** Responses that bring bytes without a pause, and the turns that they take. */
import * as chai from 'chai';
import * as pacedResponse from '../pacedResponse';

const { expect } = chai;

/** More than one turn brings, bytes. */
const LARGE_PART_BYTES = 1_000_000;

function nextTurn(): Promise<void> {
  return new Promise((resolve) => {
    setImmediate(resolve);
  });
}

describe('a response that brings bytes without a pause', () => {
  let events: string[];

  beforeEach(() => {
    events = [];
  });

  function responseOf(name: string): pacedResponse.PacedResponse {
    const controller = {
      abort: () => undefined,
      pause: () => events.push(`${name} paused`),
      resume: () => events.push(`${name} resumed`),
    };
    return new pacedResponse.PacedResponse(controller, () => undefined);
  }

  // Guards against callers who wait while one response after the other is read in the same turn of the event loop.
  it('waits, and one goes on in each turn', async () => {
    responseOf('a').received(LARGE_PART_BYTES);
    responseOf('b').received(LARGE_PART_BYTES);
    expect(events).to.deep.equal(['a paused', 'b paused']);
    await nextTurn();
    expect(events.slice(2)).to.deep.equal(['a resumed']);
    await nextTurn();
    expect(events.slice(3)).to.deep.equal(['b resumed']);
  });

  // Guards against parts of a byte, of which a read brings thousands.
  it('waits after many small parts', () => {
    const tested = responseOf('a');
    for (let i = 0; i < 63; i++) tested.received(1);
    expect(events).to.deep.equal([]);
    tested.received(1);
    expect(events).to.deep.equal(['a paused']);
  });

  // Guards against responses that callers who take all of it read outside of the order of turns.
  it('waits for its turn behind others once its caller has taken enough', async () => {
    const tested = responseOf('a');
    tested.pause();
    responseOf('b').received(LARGE_PART_BYTES);
    tested.resume();
    await nextTurn();
    expect(events.slice(2)).to.deep.equal(['b resumed']);
    await nextTurn();
    expect(events.slice(3)).to.deep.equal(['a resumed']);
  });

  // Guards against a response that is read on although its caller takes too little of it.
  it('isn’t read on at its turn while its caller holds it back', async () => {
    const tested = responseOf('a');
    tested.received(LARGE_PART_BYTES);
    tested.pause();
    await nextTurn();
    expect(events).to.deep.equal(['a paused', 'a paused']);
    tested.resume();
    await nextTurn();
    expect(events.slice(2)).to.deep.equal(['a resumed']);
  });
});
