/** Standard output under a flood of lines, within one turn of the event loop, so that nothing leaves the buffer. */
import * as chai from 'chai';
import * as boundedOutput from '../boundedOutput';
import * as observer from '../observer';

const { expect } = chai;

/** A descriptor that can't be written to. */
const CLOSED = 99_999;

describe('BoundedOutput', () => {
  // In a flood of short lines the rate is the limit, of long ones the buffer.
  [1, 2_000].forEach((characters) => {
    // Guards against an incident whose log has no line that says why a request was refused.
    it(`keeps lines in a flood of lower levels, of ${characters} characters, within bounds`, () => {
      const output = new boundedOutput.BoundedOutput(CLOSED, () => 0);
      const line = 'x'.repeat(characters);
      let lines = 0;
      (['info', 'warn', 'error'] as const).forEach((level) => {
        for (let i = 0; i < 20_000; i += 1) {
          const isTaken = output.write(line, level);
          if (i < 20) expect(isTaken, `${level} ${i}`).to.equal(true);
          lines += Number(isTaken);
        }
      });
      expect(lines).to.be.at.most(3_000);
      expect(lines * characters).to.be.at.most(512 * 1_024);
    });
  });

  it('gets the level of each line from the observer, which reports the dropped ones by level', () => {
    const output = new boundedOutput.BoundedOutput(CLOSED, () => 0);
    const observe = new observer.Observer('test', 'info', undefined, output);
    for (let i = 0; i < 20_000; i += 1) observe.log('requestEnded');
    observe.log('foreignResponse');
    observe.logDroppedLines(output.takeDroppedLines());
    expect(observe.counters()['lines.dropped.info']).to.be.above(10_000);
    expect(output.takeDroppedLines()).to.deep.equal({ debug: 0, info: 0, warn: 0, error: 0 });
    expect(observe.counters()).to.not.have.property('lines.dropped.warn');
  });
});
