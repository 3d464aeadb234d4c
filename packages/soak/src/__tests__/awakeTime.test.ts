/** What counts as time in which a caller could have read its answer. */
import * as chai from 'chai';
import * as awakeTime from '../awakeTime';

const { expect } = chai;

describe('soak: awake time', () => {
  /** Guards against answers taken for missing that came while the soak itself stood still. */
  it('leaves out time in which the process stood still', () => {
    let now = 0;
    const made = new awakeTime.AwakeTime(() => now);
    const read = [50, 100, 2_953, 3_003].map((at) => {
      now = at;
      return made.ms;
    });
    expect(read).to.deep.equal([50, 100, 200, 250]);
  });
});
