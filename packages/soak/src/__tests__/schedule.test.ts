/** Plans are reproducible from their seed and stay within the faults that a fleet tolerates. */
import * as chai from 'chai';
import * as layout from '../layout';
import * as schedule from '../schedule';

const { expect } = chai;

const LAYOUT = layout.LAYOUTS.small;

/** A keeper still counts as lost this long after its fault, seconds. */
const LOST_SECONDS = 5;

const KEEPER_FAULT = /^keeper(Kill|Pause|Cut|Wipe|Tear)|^disk/;

describe('soak: schedule', () => {
  it('draws the same plan from the same seed', () => {
    expect(schedule.drawPlan(7, 20, LAYOUT)).to.deep.equal(schedule.drawPlan(7, 20, LAYOUT));
    expect(schedule.drawPlan(7, 4, LAYOUT).steps).toMatchSnapshot();
  });

  it('never disturbs more than two keepers at once, nor any during a fault of all', () => {
    for (let seed = 0; seed < 300; seed++) {
      const { steps } = schedule.drawPlan(seed, 40, LAYOUT);
      steps.forEach((step, i) => {
        const active = steps.slice(0, i).filter((each) => {
          return each.at + each.forSeconds + LOST_SECONDS > step.at;
        });
        const lost = active.filter(({ kind }) => KEEPER_FAULT.test(kind)).length;
        const all = active.filter(({ kind }) => /^(keepers|fleet)Kill/.test(kind)).length;
        if (KEEPER_FAULT.test(step.kind)) expect(lost + 2 * all).to.be.at.most(1);
        if (/^(keepers|fleet)Kill/.test(step.kind)) expect(lost + all).to.equal(0);
      });
    }
  });

  it('repeats answers at all plain targets before the steps of each seed', () => {
    const plain = Array.from({ length: LAYOUT.services }, (_, i) => LAYOUT.engines + i);
    for (let seed = 0; seed < 300; seed++) {
      const { steps, repeating } = schedule.drawPlan(seed, 6, LAYOUT);
      expect(repeating[0].at).to.equal(schedule.FIRST_REPEATING_SECONDS);
      expect(repeating[0].at + repeating[0].forSeconds).to.be.above(steps[0].at);
      repeating.forEach(({ targets }) => expect(targets).to.include.members(plain));
    }
  });

  it('silences all targets before all other faults of each seed', () => {
    for (let seed = 0; seed < 300; seed++) {
      const { repeating, silencing } = schedule.drawPlan(seed, 6, LAYOUT);
      const [{ at, forSeconds, targets }] = silencing;
      expect(at).to.equal(schedule.FIRST_SILENCE_SECONDS);
      expect(at + forSeconds).to.be.below(repeating[0].at);
      expect(targets).to.have.lengthOf(LAYOUT.engines + LAYOUT.services);
    }
  });

  it('draws every kind sooner or later', () => {
    const drawn = new Set<string>();
    for (let seed = 0; seed < 300; seed++) {
      schedule.drawPlan(seed, 40, LAYOUT).steps.forEach(({ kind }) => drawn.add(kind));
    }
    expect([...drawn].sort()).toMatchSnapshot();
  });
});
