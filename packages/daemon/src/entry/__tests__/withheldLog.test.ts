/** Lines about targets that relays withhold. */
import * as chai from 'chai';
import * as withheldLog from '../withheldLog';

const { expect } = chai;

describe('the log of targets that relays withhold', () => {
  /** Guards against a line for each target and status where most targets ask to back off. */
  it('has one bounded line for each change', () => {
    const lines: Record<string, unknown>[] = [];
    const log = new withheldLog.WithheldLog({ log: (_event, fields = {}) => lines.push(fields) });
    const many = Array.from({ length: 50 }, (_, i) => ({ target: `t${i}`, forMs: i }));
    [many, many, many.slice(1), many].forEach((each) => log.update(each));
    expect(lines.map(({ begun, leftOut, forMs }) => [begun, leftOut, forMs])).to.deep.equal([
      [50, 50, 49],
      [1, 50, 0],
    ]);
    expect(lines[0].targets).to.have.lengthOf(8);
  });
});
