/** Tests which time counts towards the timeouts of callers. */
import * as chai from 'chai';
import * as awakeTime from '../awakeTime';

const { expect } = chai;

describe('soak: awake time', () => {
  /** Guards against responses reported as missing that arrived while the soak test itself was stalled. */
  it('excludes time in which the process was stalled', () => {
    let now = 0;
    const awake = new awakeTime.AwakeTime(() => now);
    const read = [50, 100, 2_953, 3_003].map((at) => {
      now = at;
      return awake.ms;
    });
    expect(read).to.deep.equal([50, 100, 200, 250]);
  });
});
