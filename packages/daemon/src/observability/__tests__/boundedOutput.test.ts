/** Standard output under a flood of lines, within one turn of the event loop, so that nothing leaves the buffer. */
import * as childProcess from 'node:child_process';
import * as chai from 'chai';
import * as boundedOutput from '../boundedOutput';
import * as observer from '../observer';

const { expect } = chai;

/** A descriptor that can't be written to. */
const CLOSED = 99_999;

describe('BoundedOutput', () => {
  // In a flood of short lines the rate is the limit, of long ones the buffer.
  [1, 2_000].forEach((characters) => {
    // Guards against a log without the line that says why a request was refused.
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

  // Guards against lines that are lost and torn, uncounted, where standard output shares a non-blocking pipe.
  it('writes all lines to a non-blocking pipe that is read slowly', async () => {
    const reader = childProcess.spawn('cat', {
      stdio: ['pipe', 'pipe', 'ignore'],
      timeout: 20_000,
    });
    const { fd } = (reader.stdin as unknown as { _handle: { fd: number } })._handle;
    const output = new boundedOutput.BoundedOutput(fd, () => 0);
    for (let i = 0; i < 400; i += 1) output.write(`${'x'.repeat(1_000)}\n`, 'error');
    let missing = 400 * 1_001;
    for await (const chunk of reader.stdout) {
      missing -= (chunk as Buffer).length;
      if (missing === 0) reader.stdin.end();
    }
    expect(missing).to.equal(0);
  });
});
