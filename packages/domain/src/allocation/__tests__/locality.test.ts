/** Tests of uneven demand: one data centre has more callers than its engines can serve in time. */
import * as chai from 'chai';
import * as allocator from '../allocator';
import * as locality from '../locality';
import * as fixture from './__fixtures__/engine';

const { expect } = chai;

const { SERVICE, request, target } = fixture;

/** A fleet with three data centres, and four of five callers in one of them. */
function unevenFleet(
  engines = 60,
): (perSecond: number, seconds: number) => { nearby: number; late: number } {
  const placer = new allocator.Allocator();
  placer.setServices([SERVICE]);
  for (let i = 0; i < engines; i++) placer.observe({ ...target(i), dataCentre: `dc${i % 3}` });
  let now = 0;
  const running: { id: string; until: number }[] = [];
  return (perSecond: number, seconds: number): { nearby: number; late: number } => {
    const placed = Array.from({ length: perSecond * seconds }, (_each, i) => {
      now += 1_000 / perSecond;
      while (running.length > 0 && running[0].until <= now) {
        placer.endDispatch(running.shift()?.id ?? '', 'done', now);
      }
      const id = `${now}.${i}`;
      const dataCentre = `dc${[0, 1, 0, 0, 2, 0, 0, 0, 0, 0][i % 10]}`;
      running.push({ id, until: now + 2_000 });
      const { target: name = '', firstTokenMs = Infinity } =
        placer.place(request(id, { dataCentre }), now) ?? {};
      const isNearby = dataCentre === `dc${Number(name.slice(1)) % 3}`;
      return { isNearby, isLate: firstTokenMs > 300 };
    });
    const nearby = placed.filter(({ isNearby }) => isNearby).length;
    const late = placed.filter(({ isLate }) => isLate).length;
    return { nearby: nearby / placed.length, late };
  };
}

describe('uneven demand', () => {
  /** Guards against prompts that return with each one that spills over. */
  it('spills over above one limit, and returns only below a lower one', () => {
    const tested = new locality.Locality();
    const excesses = [0, 0.002, 0.01, 0.002, 0, 0.002, Infinity];
    const stays = excesses.map((excess) => tested.staysNearby('a', excess));
    expect(stays).to.deep.equal([true, true, false, false, true, true, false]);
    expect(tested.staysNearby('b', 0.002)).to.equal(true);
  });

  /*
   * Guards against traffic between data centres while there is room nearby, and against late answers
   * and refusals while there is room elsewhere. The load is 10 prompts a second, then 171, then 10.
   */
  it('leaves prompts nearby while that costs no time, in a fleet with few engines', () => {
    const load = unevenFleet();
    const usual = load(10, 6);
    const burst = load(171, 6);
    load(10, 4);
    expect([usual, load(10, 6)]).to.deep.equal([
      { nearby: 1, late: 0 },
      { nearby: 1, late: 0 },
    ]);
    // The 220 slots of that data centre are taken after two seconds, and then free at 110 a second, for
    // 137 callers: of 1,026 prompts at most 865 stay nearby.
    expect(burst.nearby).to.be.within(0.7, 865 / 1_026);
    expect(burst.late).to.equal(0);
  });

  /** Guards against traffic between data centres at the usual rate of a fleet of this size, 28 prompts a second. */
  it('leaves all prompts nearby at the usual rate of a larger fleet', () => {
    expect(unevenFleet()(28, 6)).to.deep.equal({ nearby: 1, late: 0 });
  });

  /** Guards against traffic between data centres where a busier engine is preferred to an idle one beside it. */
  it('leaves all prompts nearby in fleets with many engines in each data centre', () => {
    const results = [75, 150, 300].map((engines) => unevenFleet(engines)(28, 6));
    results.forEach((each) => expect(each).to.deep.equal({ nearby: 1, late: 0 }));
  });
});
